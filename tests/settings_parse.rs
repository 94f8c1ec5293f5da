//! Settings of a node: accepted input and the error message for each invalid input.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;

use {
    fixed_seeds::for_each_seed,
    poplarwing::{
        ini_file::InputError,
        settings::{NodeSettings, parse_settings},
    },
    std::time::Duration,
};

const EXAMPLE: &str = include_str!("../examples/node.ini");

/// A small valid settings file; most cases below replace a part of it.
const SMALL: &str = "\
[node]
id = n1
region = wa-south
failure_domain = albany
call_address = 127.0.0.1:7000
forward_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7002
admin_address = 127.0.0.1:7003
[platform]
table_endpoint = http://127.0.0.1:8000
table = t
object_endpoint = http://127.0.0.1:9000
bucket = b
signing_region = r
access_key_id = k
secret_access_key = s
[gossip]
seeds = 127.0.0.1:7102
[operators]
piet = token-of-piet-1234
";

fn parse(text: &str) -> NodeSettings {
    parse_settings("node.ini", text).expect("the settings are valid")
}

fn parse_errors(text: &str) -> Vec<InputError> {
    parse_settings("node.ini", text)
        .expect_err("the settings are invalid")
        .errors
}

fn changed(from: &str, to: &str) -> String {
    assert!(
        SMALL.contains(from),
        "the small settings file does not contain {from:?}"
    );
    SMALL.replace(from, to)
}

/// Checks a table with one invalid file per row: text to replace in [`SMALL`], its replacement, and a part of the
/// only error that must result. `\n` in the replacement stands for a line break.
fn check_error_table(table: &str) {
    for row in table.lines().filter(|row| !row.is_empty()) {
        let cells: Vec<&str> = row.split("=>").map(str::trim).collect();
        let [from, to, expected] = cells[..] else {
            panic!("table row without three cells: {row}");
        };
        check_only_error(&changed(from, &to.replace("\\n", "\n")), expected);
    }
}

fn check_only_error(text: &str, expected: &str) {
    let errors = parse_errors(text);
    assert_eq!(errors.len(), 1, "expected exactly one error: {errors:?}");
    let message = errors[0].to_string();
    assert!(
        message.contains(expected),
        "error `{message}` does not contain `{expected}`"
    );
}

/// Guards against an example settings file that a node would reject.
#[test]
fn example_settings_are_valid() {
    let settings = parse(EXAMPLE);
    assert_eq!(settings.node.failure_domain, "welshpool");
    assert_eq!(settings.gossip.seeds.len(), 3);
    assert_eq!(settings.operators["EXAMPLE-TOKEN-OF-PIET"], "piet");
}

/// Guards against defaults that differ from the documented ones.
#[test]
fn absent_keys_have_the_documented_defaults() {
    let settings = parse(SMALL);
    assert_eq!(settings.platform.request_timeout, Duration::from_secs(2));
    assert_eq!(settings.platform.key_writes_per_second, 20);
    assert_eq!(settings.gossip.probe_interval, Duration::from_secs(1));
    assert_eq!(settings.gossip.probe_timeout, Duration::from_millis(300));
    assert_eq!(settings.gossip.push_fanout, 4);
    assert_eq!(settings.gossip.join_quorum, 3);
    assert_eq!(settings.log.level, "info");
    assert_eq!(settings.log.call_sample_permille, 10);
}

/// Guards against addresses that peers cannot reach, and against two listeners with the same address.
#[test]
fn invalid_and_duplicate_addresses_are_reported() {
    check_error_table(
        r#"
127.0.0.1:7000 => localhost:7000 => node.ini:5: [node] call_address: found "localhost:7000"; allowed: an IP address
127.0.0.1:7000 => 0.0.0.0:7000 => 5: [node] call_address: found "0.0.0.0:7000"; allowed
127.0.0.1:7000 => 127.0.0.1:0 => 5: [node] call_address: found "127.0.0.1:0"; allowed
127.0.0.1:7003 => 127.0.0.1:7000 => 8: [node] admin_address: found 127.0.0.1:7000, the same as call_address; allowed
127.0.0.1:7102 => 127.0.0.1:7102, => 18: [gossip] seeds: found "127.0.0.1:7102,"; allowed: different addresses
127.0.0.1:7102 => 127.0.0.1:1, 127.0.0.1:1 => 18: [gossip] seeds: found "127.0.0.1:1, 127.0.0.1:1"; allowed: diff
"#,
    );
}

/// Guards against values that are malformed or out of range, and against timeouts that contradict each other.
#[test]
fn invalid_values_are_reported() {
    check_error_table(
        r#"
id = n1 => id = N 1 => 2: [node] id: found "N 1"; allowed: 1 to 63 of a-z
http://127.0.0.1:8000 => 127.0.0.1:8000 => 10: [platform] table_endpoint: found "127.0.0.1:8000"; allowed: an http URL
http://127.0.0.1:8000 => https://127.0.0.1:8000 => 10: [platform] table_endpoint: found "https://127.0.0.1:8000"; allowed: an http URL
table = t => table = t u => 11: [platform] table: found "t u"; allowed: 1 to 255 visible ASCII
[gossip] => request_timeout = 0s\n[gossip] => 17: [platform] request_timeout: found "0s"; allowed: a duration from 10ms
seeds => push_fanout = 0\nseeds => 18: [gossip] push_fanout: found "0"; allowed: a whole number from 1 to 64 (members)
seeds => probe_timeout = 1s\nseeds => 18: [gossip] probe_timeout: found 1s with a probe_interval of 1s; allowed: less
[operators] => [log]\nlevel = a=b=c\n[operators] => 20: [log] level: found "a=b=c"; allowed: a level or filter
[operators] => [log]\ncall_sample = 1.55%\n[operators] => 20: [log] call_sample: found "1.55%"; allowed: a percentage
"#,
    );
}

/// Guards against missing, unknown and duplicate sections and keys that go unreported.
#[test]
fn missing_unknown_and_duplicate_names_are_reported() {
    check_error_table(
        r#"
bucket = b => => 9: [platform] bucket: found nothing; the key is required; allowed: 1 to 255 visible ASCII
[gossip] => [gossip]\nrequest_timeout = 1s => 18: [gossip] request_timeout: found an unknown key; allowed: one of: seeds
[operators] => [cluster]\n[operators] => 19: [cluster] : found an unknown section; allowed: one of: node, platform
id = n1 => id = n1\nid = n2 => 3: [node] id: found the key a second time; the first is on line 2; allowed: each key
piet = token-of-piet-1234 => => 19: [operators] : found no operator; allowed: at least one operator
"#,
    );
    check_only_error(
        &changed("[gossip]\nseeds = 127.0.0.1:7102\n", ""),
        "18: [gossip] : found no such section; allowed: one section of this name",
    );
}

/// Guards against secrets in error messages, which end up in logs.
#[test]
fn errors_never_show_a_secret() {
    let texts_with_secrets = [
        changed("token-of-piet-1234", "hush-hush"),
        changed("piet = token-of-piet-1234", "piet hush-hush"),
        changed(
            "piet =",
            "piet = hush-hush-hush-1234\nmaaike = hush-hush-hush-1234\nkoen =",
        ),
        changed(
            "secret_access_key = s",
            "secret_access_key = hush hush-hush",
        ),
    ];
    for text in texts_with_secrets {
        let errors = parse_errors(&text);
        assert!(!errors.is_empty());
        for error in errors {
            assert!(!error.to_string().contains("hush-"), "{error}");
        }
    }
}

/// Guards against an operator who sees only one error per start of the node.
#[test]
fn all_errors_are_reported_at_once() {
    let text = changed("id = n1", "id = ?").replace("http://127.0.0.1:9000", "x");
    let text = text.replace("seeds = 127.0.0.1:7102", "seed = x");
    let lines_and_keys: Vec<(u32, String)> = parse_errors(&text)
        .into_iter()
        .map(|error| (error.line, error.key))
        .collect();
    let expected = [
        (2, "id"),
        (12, "object_endpoint"),
        (17, "seeds"),
        (18, "seed"),
    ];
    let expected: Vec<(u32, String)> = expected
        .into_iter()
        .map(|(line, key)| (line, key.to_owned()))
        .collect();
    assert_eq!(lines_and_keys, expected);
}

/// Guards against panics on arbitrary text.
#[test]
fn arbitrary_text_never_panics() {
    for_each_seed(4_000, |bytes: Vec<u8>| {
        let text = String::from_utf8_lossy(&bytes);
        let _ = parse_settings("any.ini", &text);
        let _ = parse_settings("any.ini", &format!("{SMALL}{text}"));
    });
}
