//! INI text with the line of every section and key.
//!
//! `rust-ini` parses the text but keeps no line numbers, and it stops at the first syntax error. This layer
//! hands it one line at a time, so that every section and key has its line and all errors are found in one
//! pass. A value therefore cannot span lines. Backslashes have no special meaning; a value that contains
//! ` ;` or ` #` must be quoted, because these start a comment.

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

/// Longest text that is parsed, in bytes.
pub const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// Most characters of a faulty value that an error repeats.
const MAX_SHOWN_CHARS: usize = 80;

/// What a line with neither a section nor a key may look like.
const LINE_SYNTAX: &str = "one of: [section], key = value, ; comment";

/// One fault in a settings or contract file.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{file}:{line}: [{section}] {key}: found {found}; allowed: {allowed}")]
#[serde(deny_unknown_fields)]
pub struct InputError {
    /// File as the user named it.
    pub file: String,
    /// Section, or empty outside any section.
    pub section: String,
    /// Key, or empty if the fault concerns a section or a whole line.
    pub key: String,
    /// Line, counted from 1; for something absent, the line of its section or the last line.
    pub line: u32,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

/// All faults of one file, in order of their lines.
#[derive(Clone, Debug, Default, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(transparent)]
pub struct InputErrors {
    /// The faults.
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

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniEntry {
    /// Name of the key.
    pub key: String,
    /// Value without surrounding blanks, quotes and comments.
    pub value: String,
    /// Line of the key.
    pub line: u32,
}

/// A section with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// Name between the brackets, with single blanks between its words.
    pub name: String,
    /// Line of the header.
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

/// A parsed file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniFile {
    /// File as the user named it.
    pub file: String,
    /// Sections in the order of the file; no name occurs twice.
    pub sections: Vec<IniSection>,
    /// Number of the last line, at least 1.
    pub last_line: u32,
}

/// What one line holds.
enum LineContent {
    Nothing,
    Section(String),
    Entry(String, String),
    Fault(String),
}

/// Collects the faults of one file.
#[derive(Debug)]
pub struct ErrorList {
    file: String,
    errors: Vec<InputError>,
}

impl ErrorList {
    /// Returns an empty list for a file.
    pub fn new(file: &str) -> ErrorList {
        ErrorList {
            file: file.to_owned(),
            errors: Vec::new(),
        }
    }

    /// Adds a fault.
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

    /// Returns the result, or all faults in order of their lines.
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

/// Parses INI text; faults are added to `errors` and the faulty lines left out.
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
        add_line(&mut parsed, number, line, errors);
    }
    merge_repeated(&mut parsed, errors);
    parsed
}

fn add_line(parsed: &mut IniFile, number: u32, line: &str, errors: &mut ErrorList) {
    match read_line(line) {
        LineContent::Nothing => {}
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
        LineContent::Fault(found) => {
            let section = parsed.sections.last();
            let name = section.map_or("", |section| section.name.as_str());
            errors.add(name, "", number, &found, LINE_SYNTAX);
        }
    }
}

fn read_line(line: &str) -> LineContent {
    if line.chars().any(|char| char.is_control() && char != '\t') {
        return LineContent::Fault("a control character".to_owned());
    }
    match Ini::load_from_str_noescape(line.trim()) {
        Ok(ini) => content_of(&ini),
        Err(error) => LineContent::Fault(describe_fault(line, &error.msg)),
    }
}

/// Describes a malformed line by its first word only, because the rest may be a secret.
fn describe_fault(line: &str, message: &str) -> String {
    let word = line.split_whitespace().next().unwrap_or_default();
    // The library lists the characters that it expects in the notation of the language.
    let message = if message.starts_with("expecting") {
        "incomplete"
    } else {
        message
    };
    format!("a line that starts with {} ({message})", shown(word))
}

fn content_of(ini: &Ini) -> LineContent {
    let names: Vec<&str> = ini.sections().flatten().collect();
    let entries: Vec<(&str, &str)> = ini.iter().flat_map(|(_, found)| found.iter()).collect();
    match (names.as_slice(), entries.as_slice()) {
        ([], []) => LineContent::Nothing,
        ([name], []) => LineContent::Section(single_blanks(name)),
        ([], [(key, value)]) => LineContent::Entry(key.trim().to_owned(), (*value).to_owned()),
        _ => LineContent::Fault("more than one section or key".to_owned()),
    }
}

fn single_blanks(name: &str) -> String {
    let words: Vec<&str> = name.split_whitespace().collect();
    words.join(" ")
}

/// Reports sections and keys that occur twice, and keeps the first of each.
fn merge_repeated(parsed: &mut IniFile, errors: &mut ErrorList) {
    let mut first_lines: BTreeMap<String, u32> = BTreeMap::new();
    parsed.sections.retain(|section| {
        if let Some(first) = first_lines.get(&section.name) {
            let found = format!("a second section of this name; the first is on line {first}");
            errors.add(
                &section.name,
                "",
                section.line,
                &found,
                "one section of a name",
            );
            return false;
        }
        first_lines.insert(section.name.clone(), section.line);
        true
    });
    for section in &mut parsed.sections {
        drop_repeated_keys(section, errors);
    }
}

fn drop_repeated_keys(section: &mut IniSection, errors: &mut ErrorList) {
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

/// Returns a value quoted and shortened for an error message.
pub fn shown(value: &str) -> String {
    let mut short: String = value.chars().take(MAX_SHOWN_CHARS).collect();
    if short.len() < value.len() {
        short.push_str("...");
    }
    format!("{short:?}")
}

/// Reads the keys of one section and reports what is missing, malformed or unknown.
pub struct SectionReader<'a> {
    section: &'a IniSection,
    errors: &'a mut ErrorList,
    known: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Starts to read a section.
    pub fn new(section: &'a IniSection, errors: &'a mut ErrorList) -> SectionReader<'a> {
        SectionReader {
            section,
            errors,
            known: Vec::new(),
        }
    }

    /// Reads a key that must be present.
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

    /// Reads a key that may be absent.
    pub fn optional<T, F: Fn(&str) -> Option<T>>(
        &mut self,
        key: &'static str,
        rule: &ValueRule<F>,
    ) -> Option<T> {
        self.known.push(key);
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
                shown(&entry.value)
            };
            self.report(key, &found, &rule.allowed);
        }
        value
    }

    /// Reads a key that has a default.
    pub fn or_default<T, F: Fn(&str) -> Option<T>>(
        &mut self,
        key: &'static str,
        rule: &ValueRule<F>,
        default: T,
    ) -> Option<T> {
        match self.entry(key) {
            Some(_) => self.optional(key, rule),
            None => {
                self.known.push(key);
                Some(default)
            }
        }
    }

    /// Reports a fault of a key of this section.
    pub fn report(&mut self, key: &str, found: &str, allowed: &str) {
        let line = self.section.line_of(key);
        self.errors
            .add(&self.section.name, key, line, found, allowed);
    }

    /// Returns the line of a key, or the line of the section if the key is absent.
    pub fn line_of(&self, key: &str) -> u32 {
        self.section.line_of(key)
    }

    /// Reports the keys that were not asked for.
    pub fn finish(mut self) {
        let section = self.section;
        let allowed = format!("one of: {}", self.known.join(", "));
        for entry in &section.entries {
            if !self.known.contains(&entry.key.as_str()) {
                self.report(&entry.key, "an unknown key", &allowed);
            }
        }
    }

    fn entry(&self, key: &str) -> Option<&'a IniEntry> {
        let section = self.section;
        section.entries.iter().find(|entry| entry.key == key)
    }
}
