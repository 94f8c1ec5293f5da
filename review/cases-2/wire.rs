//! Names and message forms of the platform, which stand in text files beside this program.

use std::collections::BTreeMap;

const NAMES: &str = include_str!("wire.txt");
const SETTINGS: &str = include_str!("settings.txt");
const HEARTBEAT: &str = include_str!("heartbeat.txt");
const CONFIG: &str = include_str!("config.txt");

/// Returns the name of a header or path.
pub fn name(key: &str) -> &'static str {
    let pairs = NAMES.lines().filter_map(|line| line.split_once(" = "));
    let names: BTreeMap<&str, &str> = pairs.collect();
    names[key]
}

/// Returns the settings file with `values` in place of its `{key}` marks.
pub fn settings(values: &[(&str, &str)]) -> String {
    fill(SETTINGS, values)
}

/// Returns the body of a heartbeat.
pub fn heartbeat(values: &[(&str, &str)]) -> String {
    fill(HEARTBEAT, values)
}

/// Returns the operator's configuration.
pub fn config() -> &'static str {
    CONFIG
}

fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.trim_end().to_owned();
    for (key, value) in values {
        text = text.replace(&format!("{{{key}}}"), value);
    }
    text
}
