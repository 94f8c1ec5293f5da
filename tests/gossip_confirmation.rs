//! Tests of the age of the last confirmation from the store.

use {
    poplarwing::gossip::confirmation_age::{ClockReading, ConfirmationAge},
    std::time::Duration,
};

fn reading(monotonic_s: u64, suspended_s: u64) -> ClockReading {
    ClockReading {
        monotonic: Duration::from_secs(monotonic_s),
        suspended: Duration::from_secs(suspended_s),
    }
}

/// Guards against a node that acts, after its machine was suspended, on a permission that ran out meanwhile: the
/// monotonic clock does not count the suspension.
#[test]
fn a_suspension_of_the_machine_counts_as_age() {
    let mut confirmation = ConfirmationAge::new(reading(0, 100));
    confirmation.record(Duration::from_secs(10), reading(10, 100));

    let before = confirmation.age(reading(11, 100));
    let after = confirmation.age(reading(11, 107));

    assert_eq!(before, Duration::from_secs(1));
    assert_eq!(after, Duration::from_secs(8));
}

/// Guards against a node that counts a suspension against confirmations that came after it.
#[test]
fn a_new_confirmation_ends_the_age_of_a_suspension() {
    let mut confirmation = ConfirmationAge::new(reading(0, 100));
    confirmation.record(Duration::from_secs(10), reading(10, 100));

    confirmation.record(Duration::from_secs(12), reading(12, 107));
    confirmation.record(Duration::from_secs(12), reading(13, 107));

    assert_eq!(confirmation.age(reading(13, 107)), Duration::from_secs(1));
}

/// Guards against a suspension that is missed because the confirmation before it is recorded again after it.
#[test]
fn the_same_confirmation_does_not_hide_a_suspension() {
    let mut confirmation = ConfirmationAge::new(reading(0, 100));
    confirmation.record(Duration::from_secs(10), reading(10, 100));

    confirmation.record(Duration::from_secs(10), reading(11, 107));

    assert_eq!(confirmation.age(reading(11, 107)), Duration::from_secs(8));
}

/// Guards against a node that takes suspensions from before its start for its own.
#[test]
fn the_age_counts_from_the_start_of_the_node() {
    let confirmation = ConfirmationAge::new(reading(0, 100));

    assert_eq!(confirmation.age(reading(2, 100)), Duration::from_secs(2));
}
