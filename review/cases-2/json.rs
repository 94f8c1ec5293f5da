//! JSON and base64, as far as the row store needs them.

use std::collections::BTreeMap;

/// Alphabet of base64.
const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; none if it is no JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    /// Returns the field of an object; null if there is none.
    pub fn field(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the entries of a list; none for other values.
    pub fn entries(&self) -> &[Json] {
        match self {
            Self::List(entries) => entries,
            _ => &[],
        }
    }

    /// Returns a text; empty for other values.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; 0 for other values.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.skip_space();
        let is_next = self.bytes[self.at..].starts_with(text.as_bytes());
        self.at += if is_next { text.len() } else { 0 };
        is_next.then_some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        while self.take("}").is_none() {
            if !fields.is_empty() {
                self.take(",")?;
            }
            self.skip_space();
            let name = self.string()?;
            self.take(":")?;
            fields.insert(name, self.value()?);
        }
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut entries = Vec::new();
        while self.take("]").is_none() {
            if !entries.is_empty() {
                self.take(",")?;
            }
            entries.push(self.value()?);
        }
        Some(Json::List(entries))
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            text.extend(letter.to_string().as_bytes());
                            self.at += 4;
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}

/// Encodes bytes as base64.
pub fn encode_base64(content: &[u8]) -> String {
    let mut text = String::new();
    for chunk in content.chunks(3) {
        let mut block = [0; 3];
        block[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for digit in 0..4 {
            let letter = ALPHABET[(bits >> (18 - 6 * digit)) as usize & 63];
            text.push(if digit <= chunk.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes base64; none if the text is not valid.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut content = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = ALPHABET.iter().position(|letter| *letter == byte)?;
        bits = (bits << 6) | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            content.push((bits >> count) as u8);
        }
    }
    Some(content)
}
