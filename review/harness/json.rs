//! Small JSON reader for the bodies that nodes send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub enum Value {
    #[default]
    Null,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    fn field(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.field(name) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.field(name) {
            Some(Value::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.field(name) {
            Some(Value::List(list)) => list,
            _ => &[],
        }
    }
}

/// Reads a value; what is no JSON reads as null.
pub fn parse(text: &str) -> Value {
    let mut reader = Reader {
        bytes: text.as_bytes(),
        at: 0,
    };
    reader.value().unwrap_or_default()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.next()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        match self.next()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            _ => Some(self.word()),
        }
    }

    fn table(&mut self) -> Option<Value> {
        let mut fields = BTreeMap::new();
        self.take(b'{')?;
        while self.take(b'}').is_none() {
            let name = self.text()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            self.take(b',');
        }
        Some(Value::Table(fields))
    }

    fn list(&mut self) -> Option<Value> {
        let mut list = Vec::new();
        self.take(b'[')?;
        while self.take(b']').is_none() {
            list.push(self.value()?);
            self.take(b',');
        }
        Some(Value::List(list))
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    text.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                other => text.push(other),
            }
        }
    }

    fn word(&mut self) -> Value {
        let start = self.at;
        let ends = |byte: &u8| matches!(byte, b',' | b'}' | b']');
        while self.bytes.get(self.at).is_some_and(|byte| !ends(byte)) {
            self.at += 1;
        }
        let word = String::from_utf8_lossy(&self.bytes[start..self.at]);
        word.trim().parse().map_or(Value::Null, Value::Number)
    }
}
