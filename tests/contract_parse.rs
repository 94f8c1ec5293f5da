//! Customer contracts: accepted input, the error message for each invalid input, and the resulting resources.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;

use {
    fixed_seeds::for_each_seed,
    poplarwing::{
        config::{ConfigResource, ConfigSnapshot, ServiceKey, VersionedResource},
        contract::{CustomerContract, SettingChange, parse_contract},
        ini_file::InputError,
    },
    std::time::Duration,
};

const KESTREL_CONTRACT: &str = include_str!("../examples/kestrel.contract.ini");
const VANDERHAEGEN_CONTRACT: &str = include_str!("../examples/vanderhaegen.contract.ini");

/// A small valid contract; most cases below replace a part of it.
const SMALL: &str = "\
[customer]
name = kestrel
rate = 100
[service ledger]
host = ledger.example
initial_version = v1
[route ledger record]
path = /record
deadline = 2s
body_limit = 64KiB
[move ledger]
prefer = safety
finish_within = 10m
watch_for = 2m
";

fn parse(text: &str) -> CustomerContract {
    parse_contract("test.ini", text).expect("the contract is valid")
}

fn parse_errors(text: &str) -> Vec<InputError> {
    parse_contract("test.ini", text)
        .expect_err("the contract is invalid")
        .errors
}

fn changed(from: &str, to: &str) -> String {
    assert!(
        SMALL.contains(from),
        "the small contract does not contain {from:?}"
    );
    SMALL.replace(from, to)
}

/// Checks a table with one invalid contract per row: text to replace in [`SMALL`], its replacement, and a part of
/// the only error that must result. `\n` in the replacement stands for a line break.
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

/// Guards against example contracts that a node would reject.
#[test]
fn example_contracts_are_valid() {
    let kestrel = parse(KESTREL_CONTRACT);
    let vanderhaegen = parse(VANDERHAEGEN_CONTRACT);
    assert_eq!(kestrel.services.len(), 3);
    assert_eq!(vanderhaegen.services.len(), 3);
}

/// Guards against limits that an operator cannot trace to a line of the contract.
#[test]
fn every_limit_has_its_contract_line() {
    let contract = parse(SMALL);
    let route = &contract.services[0].routes[0];
    let rate = contract.customer.limits.rate.expect("the rate is set");
    assert_eq!((rate.value, rate.line), (100, 3));
    assert_eq!(
        (route.deadline, route.deadline_line),
        (Duration::from_secs(2), 9)
    );
    assert_eq!(
        (route.body_limit.value, route.body_limit.line),
        (64 * 1024, 10)
    );
}

/// Guards against defaults that differ from the documented ones.
#[test]
fn absent_keys_have_the_documented_defaults() {
    let contract = parse(SMALL);
    let service = &contract.services[0];
    let route = &service.routes[0];
    assert!(route.methods.is_empty());
    assert!(!route.idempotent);
    assert!(!route.keyed);
    assert_eq!(service.move_policy.canary_permille, 50);
    assert_eq!(service.limits.rate, None);
}

/// Guards against syntax errors that are skipped or reported at the wrong line.
#[test]
fn syntax_errors_are_reported() {
    check_error_table(
        r#"
[customer] => [customer]\n[ => test.ini:2: [customer] : found a line that starts with "[" (incomplete)
rate = 100 => rate 100 => 3: [customer] : found a line that starts with "rate" (incomplete); allowed: one of
rate = 100 => = 100 => 3: [customer] : found a line that starts with "=" (missing key)
rate = 100 => rate = "100 => 3: [customer] : found a line that starts with "rate" (incomplete)
rate = 100 => [service x => 3: [customer] : found a line that starts with "[service" (incomplete)
"#,
    );
    check_only_error(
        &format!("rate = 1\n{SMALL}"),
        "1: [] rate: found a key outside any section",
    );
    check_only_error(
        &changed("rate = 100", "rate = 1\u{7}"),
        "3: [customer] : found a control character",
    );
}

/// Guards against unknown or duplicate keys and sections that are silently ignored.
#[test]
fn unknown_and_duplicate_names_are_reported() {
    check_error_table(
        r#"
rate = 100 => rat = 100 => 3: [customer] rat: found an unknown key; allowed: one of: name, rate, concurrency
rate = 100 => rate = 100\nrate = 90 => 4: [customer] rate: found the key a second time; the first is on line 3
[customer] => [extra]\n[customer] => 1: [extra] : found an unknown section; allowed: [customer], [service SERVICE]
[customer] => [route Ledger x]\n[customer] => 1: [route Ledger x] : found an unknown section
watch_for = 2m => watch_for = 2m\n[customer] => 15: [customer] : found a second section of this name; the first is on line 1
"#,
    );
    let move_rules = &SMALL[SMALL
        .find("prefer")
        .expect("the small contract has move rules")..];
    check_only_error(
        &format!("{SMALL}[move yard]\n{move_rules}"),
        "15: [move yard] : found the unknown service yard; allowed: a service with a section",
    );
}

/// Guards against contracts that are accepted without a required section or key.
#[test]
fn missing_sections_and_keys_are_reported() {
    check_error_table(
        r#"
name = kestrel => => 1: [customer] name: found nothing; the key is required; allowed: 1 to 63 of a-z
deadline = 2s => => 7: [route ledger record] deadline: found nothing; the key is required; allowed: a duration
host = ledger.example => host = => 5: [service ledger] host: found no value; allowed: a host name
"#,
    );
    let move_start = SMALL.find("[move").expect("the section is there");
    let route_start = SMALL.find("[route").expect("the section is there");
    let without_route = format!("{}{}", &SMALL[..route_start], &SMALL[move_start..]);
    check_only_error(
        &SMALL[..move_start],
        "4: [service ledger] : found no rules for moves; allowed: one section [move ledger]",
    );
    check_only_error(
        &without_route,
        "4: [service ledger] : found no route; allowed: at least one section [route ledger ROUTE]",
    );
    check_only_error(
        "[customer]\nname = kestrel\n",
        "2: [service] : found no service",
    );
}

/// Guards against values that are malformed or out of range, which would make a limit useless or block all calls.
#[test]
fn invalid_values_are_reported() {
    check_error_table(
        r#"
rate = 100 => rate = 0 => 3: [customer] rate: found "0"; allowed: a whole number from 1 to 10000000
rate = 100 => rate = +5 => 3: [customer] rate: found "+5"; allowed: a whole number
rate = 100 => rate = 99999999999999999999 => 3: [customer] rate: found "99999999999999999999"; allowed
deadline = 2s => deadline = 0s => 9: [route ledger record] deadline: found "0s"; allowed: a duration from 1ms to 1h
deadline = 2s => deadline = 2 => 9: [route ledger record] deadline: found "2"; allowed
deadline = 2s => deadline = 2h => 9: [route ledger record] deadline: found "2h"; allowed
64KiB => 64KB => 10: [route ledger record] body_limit: found "64KB"; allowed: a size from 0B to 64GiB
64KiB => 99999999999GiB => 10: [route ledger record] body_limit: found "99999999999GiB"; allowed
64KiB => KiB => 10: [route ledger record] body_limit: found "KiB"; allowed
/record => record => 8: [route ledger record] path: found "record"; allowed: a path that starts with /
/record => /a/../b => 8: [route ledger record] path: found "/a/../b"; allowed
/record => /a?b => 8: [route ledger record] path: found "/a?b"; allowed
deadline => methods = GET, FETCH\ndeadline => 9: [route ledger record] methods: found "GET, FETCH"; allowed: diff
deadline => methods = GET, GET\ndeadline => 9: [route ledger record] methods: found "GET, GET"; allowed: different
deadline => keyed = yes\ndeadline => 9: [route ledger record] keyed: found "yes"; allowed: true or false
prefer = safety => prefer = speed => 12: [move ledger] prefer: found "speed"; allowed: safety or punctuality
watch_for => canary_share = 101%\nwatch_for => 14: [move ledger] canary_share: found "101%"; allowed: a percentage
watch_for => canary_share = 0%\nwatch_for => 14: [move ledger] canary_share: found "0%"; allowed
watch_for => canary_share = 5\nwatch_for => 14: [move ledger] canary_share: found "5"; allowed
watch_for => canary_share = .5%\nwatch_for => 14: [move ledger] canary_share: found ".5%"; allowed
finish_within = 10m => finish_within = 59s => 13: [move ledger] finish_within: found "59s"; allowed: a duration
finish_within = 10m => finish_within = 8d => 13: [move ledger] finish_within: found "8d"; allowed: a duration
ledger.example => Ledger_1 => 5: [service ledger] host: found "Ledger_1"; allowed: a host name
= v1 => = v/1 => 6: [service ledger] initial_version: found "v/1"; allowed: 1 to 63
"#,
    );
}

/// Guards against contracts whose settings contradict each other.
#[test]
fn contradictory_settings_are_reported() {
    check_error_table(
        r#"
deadline => idempotent = true\nkeyed = true\ndeadline => 10: [route ledger record] keyed: found true, although idemp
[move => [route ledger o]\npath = /record/\ndeadline = 1s\nbody_limit = 0B\n[move => 12: [route ledger o] path: found /record/, the path of the route on line 8; allowed: a path that is unique
deadline => rate = 101\ndeadline => 9: [route ledger record] rate: found 101; allowed: at most 100, the rate of [customer] on line 3
"#,
    );
    let services = SMALL.find("[service").expect("the section is there");
    let second = SMALL[services..].replace("ledger]", "yard]");
    let second = second.replace("ledger record", "yard record");
    check_only_error(
        &format!("{SMALL}{second}"),
        "16: [service yard] host: found ledger.example, the host of service ledger; allowed: a host",
    );
}

/// Guards against an operator who sees only one error per attempt.
#[test]
fn all_errors_are_reported_at_once() {
    let text = "[customer]\nname = K\nrate = x\n[service a]\n[route b c]\npath = x\nfoo\n[odd]\n";
    let errors = parse_errors(text);
    let lines: Vec<u32> = errors.iter().map(|error| error.line).collect();
    for line in 2..=8 {
        assert!(lines.contains(&line), "no error at line {line}: {errors:?}");
    }
    assert!(lines.is_sorted());
}

/// Returns the next configuration version, with the changes that the contract requires.
fn apply_contract(contract: &CustomerContract, current: &ConfigSnapshot) -> ConfigSnapshot {
    let mut next = current.clone();
    next.version += 1;
    let resources = contract.resources(current);
    for name in &resources.removed {
        next.resources.remove(name);
    }
    for resource in resources.changed {
        let entry = VersionedResource {
            changed_at: next.version,
            resource,
        };
        next.resources.insert(entry.resource.name(), entry);
    }
    next
}

/// Guards against contracts whose resources a node would refuse to apply.
#[test]
fn resources_of_both_examples_form_a_valid_configuration() {
    let first = apply_contract(&parse(KESTREL_CONTRACT), &ConfigSnapshot::default());
    let second = apply_contract(&parse(VANDERHAEGEN_CONTRACT), &first);
    assert_eq!(second.check(), Ok(()));
    assert_eq!(second.services().count(), 6);
}

/// Guards against a repeated contract that changes resources, which every node would then have to pull.
#[test]
fn an_unchanged_contract_changes_no_resource() {
    let contract = parse(SMALL);
    let current = apply_contract(&contract, &ConfigSnapshot::default());
    let again = contract.resources(&current);
    assert!(again.changed.is_empty());
    assert!(again.removed.is_empty());
}

/// Guards against a contract change that resets the stable version of a service or stops its move.
#[test]
fn contract_change_keeps_the_traffic_split_of_a_service() {
    let mut current = apply_contract(&parse(SMALL), &ConfigSnapshot::default());
    let key = ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    };
    let mut split = current
        .split(&key)
        .expect("the service has a split")
        .clone();
    split.stable = "v7".to_owned();
    let entry = VersionedResource {
        changed_at: 1,
        resource: split.clone().into(),
    };
    current.resources.insert(entry.resource.name(), entry);
    let contract = parse(&changed("initial_version = v1", "initial_version = v2"));
    let next = apply_contract(&contract, &current);
    assert_eq!(next.split(&key), Some(&split));
}

/// Guards against services that stay configured after their removal from the contract.
#[test]
fn service_removed_from_the_contract_is_removed_with_its_split() {
    let current = apply_contract(&parse(VANDERHAEGEN_CONTRACT), &ConfigSnapshot::default());
    let current = apply_contract(&parse(SMALL), &current);
    let renamed = SMALL.replace(" ledger", " yard");
    let resources = parse(&renamed).resources(&current);
    assert_eq!(
        resources.removed,
        ["service/kestrel/ledger", "split/kestrel/ledger"]
    );
    let splits: Vec<&ConfigResource> = resources
        .changed
        .iter()
        .filter(|resource| matches!(resource, ConfigResource::Split(_)))
        .collect();
    assert!(matches!(splits.as_slice(), [ConfigResource::Split(split)] if split.stable == "v1"));
}

/// Guards against missed differences, and against differences shown for equal values in another notation.
#[test]
fn contract_diff_lists_each_changed_setting() {
    let older = parse(SMALL);
    let text = changed("rate = 100\n", "")
        .replace("2s", "3s")
        .replace("10m", "600s");
    let newer = parse(&text.replace("deadline", "keyed = true\ndeadline"));
    let differences = newer.diff_from(&older);
    let shown: Vec<String> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(
        shown,
        [
            "changed [route ledger record] keyed: false -> true (line 8)",
            "changed [route ledger record] deadline: 2s -> 3s (line 9)",
            "removed [customer] rate: 100 -> (none)",
        ]
    );
    let added = older.diff_from_empty();
    assert!(added.iter().all(|one| one.change == SettingChange::Added));
}

/// Guards against panics on arbitrary text, in `rust-ini` or in this crate.
#[test]
fn arbitrary_text_never_panics() {
    for_each_seed(4_000, |bytes: Vec<u8>| {
        let text = String::from_utf8_lossy(&bytes);
        let _ = parse_contract("any.ini", &text);
        let _ = parse_contract("any.ini", &format!("{SMALL}{text}"));
    });
}

/// Guards against panics on a valid contract in which one passage is overwritten.
#[test]
fn damaged_contracts_never_panic() {
    for_each_seed(4_000, |(start, length, char): (usize, usize, char)| {
        let mut chars: Vec<char> = KESTREL_CONTRACT.chars().collect();
        let start = start % chars.len();
        let end = (start + length % 20).min(chars.len());
        chars.splice(start..end, [char]);
        let text: String = chars.into_iter().collect();
        let _ = parse_contract("any.ini", &text);
    });
}
