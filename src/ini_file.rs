//! Parser for INI text that keeps the line number of every section and key and reports all errors at once.
//!
//! `rust-ini` keeps no line numbers and stops at the first syntax error. This module therefore passes it one
//! line at a time. As a result, a value cannot span lines. Backslashes have no special meaning; a value that
//! contains ` ;` or ` #` must be quoted, because these start a comment.

use {
    crate::value_rule::ValueRule,
    ini::Ini,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
    thiserror::Error,
};

/// Longest text that is parsed, in bytes; longer text is rejected.
pub const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// Longest part of an invalid value that an error message quotes, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// Allowed forms of a line, for error messages.
const LINE_SYNTAX: &str = "one of: [section], key = value, ; comment";

/// An error in a settings or contract file.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{file}:{line}: [{section}] {key}: found {found}; allowed: {allowed}")]
#[serde(deny_unknown_fields)]
pub struct InputError {
    /// Name of the file as the user gave it.
    pub file: String,
    /// Section, or empty outside any section.
    pub section: String,
    /// Key, or empty if the error concerns a section or a whole line.
    pub key: String,
    /// Line, counted from 1; for a missing key, the line of its section; for a missing section, the last line.
    pub line: u32,
    /// Description of what was found in the file.
    pub found: String,
    /// Description of what is allowed.
    pub allowed: String,
}

/// All errors of one file, ordered by line.
#[derive(Clone, Debug, Default, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(transparent)]
pub struct InputErrors {
    /// The errors of the file.
    pub errors: Vec<InputError>,
}

impl Display for InputErrors {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{error}")?;
        }
        Ok(())
    }
}

/// A key with its value and line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniEntry {
    /// Name of the key.
    pub key: String,
    /// Value without surrounding whitespace and quotes, and without a comment.
    pub value: String,
    /// Line of the key, counted from 1.
    pub line: u32,
}

/// A section with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// Text between the brackets, with one space between words.
    pub name: String,
    /// Line of the section header, counted from 1.
    pub line: u32,
    /// Keys in the order of the file; no key occurs twice.
    pub entries: Vec<IniEntry>,
}

impl IniSection {
    /// Returns the line of a key, or the line of the section if the key is absent.
    pub fn line_of(&self, key: &str) -> u32 {
        let entry = self.entries.iter().find(|entry| entry.key == key);
        entry.map_or(self.line, |entry| entry.line)
    }
}

/// A parsed INI file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniFile {
    /// Name of the file as the user gave it.
    pub file: String,
    /// Sections in the order of the file; no name occurs twice.
    pub sections: Vec<IniSection>,
    /// Number of the last line, at least 1.
    pub last_line: u32,
}

/// Content of one line; `Malformed` holds a description for error messages.
enum LineContent {
    Empty,
    Section(String),
    Entry(String, String),
    Malformed(String),
}

/// Collects the errors of one file.
#[derive(Debug)]
pub struct ErrorList {
    file: String,
    errors: Vec<InputError>,
}

impl ErrorList {
    /// Returns an empty list for the file with this name.
    pub fn new(file: &str) -> ErrorList {
        ErrorList {
            file: file.to_owned(),
            errors: Vec::new(),
        }
    }

    /// Adds an error; see [`InputError`] for the arguments.
    pub fn add(&mut self, section: &str, key: &str, line: u32, found: &str, allowed: &str) {
        self.errors.push(InputError {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            line,
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Returns `result` if there is one and no error was added, or else all errors, ordered by line.
    pub fn finish<T>(mut self, result: Option<T>) -> Result<T, InputErrors> {
        self.errors.sort_by_key(|error| error.line);
        match result {
            Some(result) if self.errors.is_empty() => Ok(result),
            _ => Err(InputErrors {
                errors: self.errors,
            }),
        }
    }
}

/// Parses INI text; malformed and duplicate lines are added to `errors` and left out of the result.
pub fn parse_ini(file: &str, text: &str, errors: &mut ErrorList) -> IniFile {
    let mut parsed = IniFile {
        file: file.to_owned(),
        sections: Vec::new(),
        last_line: 1,
    };
    if text.len() > MAX_TEXT_BYTES {
        let found = format!("{} bytes", text.len());
        let allowed = format!("at most {MAX_TEXT_BYTES} bytes");
        errors.add("", "", 1, &found, &allowed);
        return parsed;
    }
    for (number, line) in (1_u32..).zip(text.lines()) {
        parsed.last_line = number;
        parse_line(&mut parsed, number, line, errors);
    }
    drop_duplicates(&mut parsed, errors);
    parsed
}

fn parse_line(parsed: &mut IniFile, number: u32, line: &str, errors: &mut ErrorList) {
    match classify_line(line) {
        LineContent::Empty => {}
        LineContent::Section(name) => parsed.sections.push(IniSection {
            name,
            line: number,
            entries: Vec::new(),
        }),
        LineContent::Entry(key, value) => match parsed.sections.last_mut() {
            Some(section) => section.entries.push(IniEntry {
                key,
                value,
                line: number,
            }),
            None => errors.add("", &key, number, "a key outside any section", LINE_SYNTAX),
        },
        LineContent::Malformed(found) => {
            let section = parsed.sections.last();
            let name = section.map_or("", |section| section.name.as_str());
            errors.add(name, "", number, &found, LINE_SYNTAX);
        }
    }
}

fn classify_line(line: &str) -> LineContent {
    if line.chars().any(|char| char.is_control() && char != '\t') {
        return LineContent::Malformed("a control character".to_owned());
    }
    match Ini::load_from_str_noescape(line.trim()) {
        Ok(ini) => line_content(&ini),
        Err(error) => LineContent::Malformed(describe_syntax_error(line, &error.msg)),
    }
}

/// Describes a malformed line by its first word only, because the rest may contain a secret.
fn describe_syntax_error(line: &str, message: &str) -> String {
    let first_word = line.split_whitespace().next().unwrap_or_default();
    // `rust-ini` lists the expected characters in Rust syntax, which would not help users.
    let message = if message.starts_with("expecting") {
        "incomplete"
    } else {
        message
    };
    format!(
        "a line that starts with {} ({message})",
        quote_truncated(first_word)
    )
}

fn line_content(ini: &Ini) -> LineContent {
    let names: Vec<&str> = ini.sections().flatten().collect();
    let entries: Vec<(&str, &str)> = ini.iter().flat_map(|(_, found)| found.iter()).collect();
    match (names.as_slice(), entries.as_slice()) {
        ([], []) => LineContent::Empty,
        ([name], []) => LineContent::Section(collapse_whitespace(name)),
        ([], [(key, value)]) => LineContent::Entry(key.trim().to_owned(), (*value).to_owned()),
        _ => LineContent::Malformed("more than one section or key".to_owned()),
    }
}

fn collapse_whitespace(name: &str) -> String {
    let words: Vec<&str> = name.split_whitespace().collect();
    words.join(" ")
}

/// Reports duplicate sections and keys, and keeps the first of each.
fn drop_duplicates(parsed: &mut IniFile, errors: &mut ErrorList) {
    let mut first_lines: BTreeMap<String, u32> = BTreeMap::new();
    parsed.sections.retain(|section| {
        if let Some(first) = first_lines.get(&section.name) {
            let found = format!("a second section of this name; the first is on line {first}");
            errors.add(
                &section.name,
                "",
                section.line,
                &found,
                "one section of this name",
            );
            return false;
        }
        first_lines.insert(section.name.clone(), section.line);
        true
    });
    for section in &mut parsed.sections {
        drop_duplicate_keys(section, errors);
    }
}

fn drop_duplicate_keys(section: &mut IniSection, errors: &mut ErrorList) {
    let mut first_lines: BTreeMap<String, u32> = BTreeMap::new();
    let name = section.name.clone();
    section.entries.retain(|entry| {
        if let Some(first) = first_lines.get(&entry.key) {
            let found = format!("the key a second time; the first is on line {first}");
            errors.add(&name, &entry.key, entry.line, &found, "each key once");
            return false;
        }
        first_lines.insert(entry.key.clone(), entry.line);
        true
    });
}

/// Returns a value in quotes for an error message, cut to `MAX_QUOTED_CHARS`.
pub fn quote_truncated(value: &str) -> String {
    let mut excerpt: String = value.chars().take(MAX_QUOTED_CHARS).collect();
    if excerpt.len() < value.len() {
        excerpt.push_str("...");
    }
    format!("{excerpt:?}")
}

/// Reads the keys of one section and reports missing, invalid and unknown ones.
pub struct SectionReader<'a> {
    section: &'a IniSection,
    errors: &'a mut ErrorList,
    read_keys: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Returns a reader of a section that adds its errors to `errors`.
    pub fn new(section: &'a IniSection, errors: &'a mut ErrorList) -> SectionReader<'a> {
        SectionReader {
            section,
            errors,
            read_keys: Vec::new(),
        }
    }

    /// Reads a required key; returns none after reporting that it is missing or invalid.
    pub fn required<T, F: Fn(&str) -> Option<T>>(
        &mut self,
        key: &'static str,
        rule: &ValueRule<F>,
    ) -> Option<T> {
        let value = self.optional(key, rule);
        if self.entry(key).is_none() {
            self.report(key, "nothing; the key is required", &rule.allowed);
        }
        value
    }

    /// Reads an optional key; returns none if it is absent, or after reporting that it is invalid.
    pub fn optional<T, F: Fn(&str) -> Option<T>>(
        &mut self,
        key: &'static str,
        rule: &ValueRule<F>,
    ) -> Option<T> {
        self.read_keys.push(key);
        let entry = self.entry(key)?;
        if entry.value.is_empty() {
            self.report(key, "no value", &rule.allowed);
            return None;
        }
        let value = (rule.parse)(&entry.value);
        if value.is_none() {
            let found = if rule.secret {
                format!("a value of {} characters", entry.value.chars().count())
            } else {
                quote_truncated(&entry.value)
            };
            self.report(key, &found, &rule.allowed);
        }
        value
    }

    /// Reads a key that has a default; returns none only after reporting that it is invalid.
    pub fn or_default<T, F: Fn(&str) -> Option<T>>(
        &mut self,
        key: &'static str,
        rule: &ValueRule<F>,
        default: T,
    ) -> Option<T> {
        match self.entry(key) {
            Some(_) => self.optional(key, rule),
            None => {
                self.read_keys.push(key);
                Some(default)
            }
        }
    }

    /// Reports an error at a key of this section.
    pub fn report(&mut self, key: &str, found: &str, allowed: &str) {
        let line = self.section.line_of(key);
        self.errors
            .add(&self.section.name, key, line, found, allowed);
    }

    /// Returns the line of a key, or the line of the section if the key is absent.
    pub fn line_of(&self, key: &str) -> u32 {
        self.section.line_of(key)
    }

    /// Reports the keys of the section that were never read as unknown.
    pub fn finish(mut self) {
        let section = self.section;
        let allowed = format!("one of: {}", self.read_keys.join(", "));
        for entry in &section.entries {
            if !self.read_keys.contains(&entry.key.as_str()) {
                self.report(&entry.key, "an unknown key", &allowed);
            }
        }
    }

    fn entry(&self, key: &str) -> Option<&'a IniEntry> {
        let section = self.section;
        section.entries.iter().find(|entry| entry.key == key)
    }
}
