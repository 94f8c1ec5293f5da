//! Tests of the keys of client accounts: lookup, checks of a configuration, and when a node may accept keys.

use {
    poplarwing::{
        accounts::{
            key_index::KeyIndex,
            key_trust::{KeyDoubt, KeyKnowledge},
        },
        active_config::ActiveConfig,
        apply_gate::{ApplyError, ApplyGate, ConfigSource},
        config::{
            AccountFault, AccountKey, AccountSpec, ConfigError, ConfigResource, ConfigSnapshot,
            VersionedResource,
        },
        gossip::confirmation_age::{ClockReading, ConfirmationAge},
    },
    std::time::Duration,
};

/// Limit of the age of a confirmation in the strict mode.
const REVOCATION_TIME: Duration = Duration::from_secs(5);

fn account(name: &str, keys: &[&str]) -> AccountSpec {
    AccountSpec {
        account: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| AccountKey::new((*key).to_owned()))
            .collect(),
        priority: 0,
        cap: None,
    }
}

fn snapshot(version: u64, accounts: Vec<AccountSpec>) -> ConfigSnapshot {
    let entries = accounts.into_iter().map(|account| {
        let resource = ConfigResource::Account(account);
        let entry = VersionedResource {
            changed_at: 0,
            resource,
        };
        (entry.resource.name(), entry)
    });
    ConfigSnapshot {
        version,
        accepted_at_ms: 0,
        resources: entries.collect(),
    }
}

fn many_accounts() -> Vec<AccountSpec> {
    let numbers = 0..1000;
    numbers
        .map(|number| {
            let (first, second) = (format!("key-{number}"), format!("KEY-{number}"));
            account(&format!("school-{number:04}"), &[&first, &second])
        })
        .collect()
}

fn knowledge(remembered: Option<u64>, age_s: Option<u64>) -> KeyKnowledge {
    KeyKnowledge {
        version: 4,
        remembered_version: remembered,
        confirmation_age: age_s.map(Duration::from_secs),
    }
}

/// Guards against a key that is taken for that of another account, or for none.
#[test]
fn each_key_of_a_thousand_accounts_names_its_account() {
    let config = ActiveConfig::from(snapshot(1, many_accounts()));

    for number in 0..1000 {
        for key in [format!("key-{number}"), format!("KEY-{number}")] {
            let found = config.keys().find(key.as_bytes());
            let name = found.map(|spec| spec.account.clone());
            assert_eq!(name, Some(format!("school-{number:04}")), "{key}");
        }
    }
}

/// Guards against a lookup that accepts a part of a key, a longer text or another case.
#[test]
fn a_text_that_is_not_exactly_a_key_is_unknown() {
    let index = KeyIndex::new(&[account("school", &["key-one"]), account("empty", &[])]);

    for sent in ["", "key-on", "key-onee", "KEY-ONE", " key-one", "key-one "] {
        assert!(index.find(sent.as_bytes()).is_none(), "{sent:?}");
    }
    assert!(index.find(b"key-one").is_some());
}

/// Guards against keys that are required although the configuration has no accounts, and against routes that are open
/// because no account has a key left.
#[test]
fn accounts_without_keys_count_as_accounts() {
    assert!(!KeyIndex::new(&[]).has_accounts());
    assert!(KeyIndex::new(&[account("school", &[])]).has_accounts());
}

/// Guards against keys or their digests in a log line that prints the configuration in force.
#[test]
fn the_index_does_not_print_keys() {
    let index = KeyIndex::new(&[account("school", &["key-one", "key-two"])]);

    let text = format!("{index:?}");

    assert_eq!(text, "KeyIndex { holders: 2 keys, accounts: 1 }");
}

/// Guards against a configuration whose keys name no single account, against a report of the first fault alone, and
/// against keys in the text of the error.
#[test]
fn all_faults_of_accounts_are_named_and_change_nothing() {
    let gate = ApplyGate::default();
    gate.set_floor(0);
    let valid = snapshot(1, vec![account("first", &["key-one"])]);
    gate.try_apply(valid, &ConfigSource::Store).expect("valid");
    let faulty = snapshot(
        2,
        vec![
            account("a", &["key-one", ""]),
            account("b", &["key-two", "key-one"]),
            account("c", &["line\nbreak", " padded", "key-two"]),
            account("two\nlines", &[]),
        ],
    );

    let refused = gate.try_apply(faulty, &ConfigSource::Store);

    let Err(ApplyError::Invalid { cause, .. }) = refused else {
        panic!("expected a refusal, found {refused:?}");
    };
    let empty = |account: String, number| AccountFault::EmptyKey { account, number };
    let invalid = |account: String, number| AccountFault::InvalidKey { account, number };
    let shared = |account: String, number, other| AccountFault::SharedKey {
        account,
        number,
        other,
    };
    let name = |text: &str| text.to_owned();
    let faults = vec![
        empty(name("a"), 2),
        shared(name("b"), 2, name("a")),
        invalid(name("c"), 1),
        invalid(name("c"), 2),
        shared(name("c"), 3, name("b")),
        AccountFault::InvalidName {
            account: name("two\nlines"),
        },
    ];
    let text = cause.to_string();
    assert_eq!(*cause, ConfigError::InvalidAccounts { faults });
    for secret in ["key-one", "key-two", "break", "padded"] {
        assert!(!text.contains(secret), "{text}");
    }
    assert_eq!(gate.version(), 1);
    assert!(gate.active().keys().find(b"key-one").is_some());
}

/// Guards against the refusal of a configuration that is in order: many accounts, none with a key of another.
#[test]
fn many_accounts_and_a_key_that_is_listed_twice_in_one_account_are_valid() {
    let mut accounts = many_accounts();
    accounts.push(account("twice", &["same", "same"]));

    let checked = snapshot(1, accounts).check();

    assert_eq!(checked, Ok(()));
}

/// Guards against a withdrawn key that is accepted once more after a restart, with the older configuration of a peer,
/// and against keys that are refused although peers or the store show that no version was missed.
#[test]
fn keys_are_refused_while_the_version_is_below_the_remembered_one() {
    let cases = [
        (Some(5), None, Err(KeyDoubt::Outdated)),
        (Some(5), Some(0), Err(KeyDoubt::Outdated)),
        (None, None, Err(KeyDoubt::Outdated)),
        (Some(4), None, Ok(())),
        (Some(0), None, Ok(())),
        (None, Some(100), Ok(())),
    ];

    for (remembered, age_s, expected) in cases {
        let checked = knowledge(remembered, age_s).check(None);
        assert_eq!(checked, expected, "{remembered:?}, {age_s:?}");
    }
}

/// Guards against a node in the strict mode that accepts keys which may have been withdrawn longer ago than allowed.
#[test]
fn the_strict_mode_limits_the_age_of_the_confirmation() {
    let cases = [
        (Some(5), Ok(())),
        (Some(6), Err(KeyDoubt::Unconfirmed)),
        (None, Err(KeyDoubt::Unconfirmed)),
    ];

    for (age_s, expected) in cases {
        let checked = knowledge(Some(4), age_s).check(Some(REVOCATION_TIME));
        assert_eq!(checked, expected, "{age_s:?}");
    }
}

/// Guards against the start of a node that counts as a confirmation of its configuration.
#[test]
fn a_node_without_a_confirmation_has_no_age() {
    let reading = |seconds| ClockReading {
        monotonic: Duration::from_secs(seconds),
        suspended: Duration::ZERO,
    };
    let mut confirmation = ConfirmationAge::new(reading(0));
    // A clock older than the start of the node arrives as the time of the start.
    confirmation.record(Duration::ZERO, reading(1));

    let before = confirmation.confirmed_age(reading(2));
    confirmation.record(Duration::from_secs(2), reading(3));
    let after = confirmation.confirmed_age(reading(4));

    assert_eq!(before, None);
    assert_eq!(after, Some(Duration::from_secs(2)));
}
