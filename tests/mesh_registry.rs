//! Tests of the target registry: heartbeats that are late, repeated or forged, or come from a restarted target.

use {
    poplarwing::{
        config::ServiceKey,
        mesh::registry::{ReportOutcome, TargetRegistry, TargetReport},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const HEARTBEAT: Duration = Duration::from_millis(1500);

fn address() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("address")
}

fn report(instance: &str, born_ms: u64, sequence: u64) -> TargetReport {
    TargetReport {
        instance: instance.to_owned(),
        address: address(),
        service: ServiceKey {
            customer: "kestrel".to_owned(),
            service: "yardboard".to_owned(),
        },
        version: "v1".to_owned(),
        slots: 6,
        draining: false,
        sequence,
        born_ms: Some(born_ms),
        warmup: Duration::ZERO,
    }
}

fn draining(report: TargetReport) -> TargetReport {
    TargetReport {
        draining: true,
        ..report
    }
}

fn registry() -> TargetRegistry {
    TargetRegistry::new(address(), HEARTBEAT)
}

/// A leaving target must not return to service because of a heartbeat sent before it began to leave.
#[test]
fn a_late_heartbeat_does_not_undo_draining() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 4), now);
    registry.apply(draining(report("a", 1, 6)), now);

    let outcome = registry.apply(report("a", 1, 5), now);

    assert_eq!(outcome, ReportOutcome::Stale);
    assert!(registry.current().expect("present").draining);
}

/// A heartbeat of an earlier start must not replace the current instance.
#[test]
fn a_heartbeat_of_an_earlier_start_is_stale() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 40), now);
    registry.apply(report("b", 2, 1), now);

    let outcome = registry.apply(report("a", 1, 41), now);

    assert_eq!(outcome, ReportOutcome::Stale);
    assert_eq!(registry.current().expect("present").instance, "b");
}

/// A restarted target must not be ignored because its heartbeat numbers start again at 1.
#[test]
fn a_restart_under_the_same_name_resets_the_sequence() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 40), now);
    registry.mark_leaving("a", Instant::now());

    let outcome = registry.apply(report("a", 2, 1), now);

    assert_eq!(outcome, ReportOutcome::Taken);
    assert!(!registry.current().expect("present").draining);
}

/// A late heartbeat must not bring a departed target back.
#[test]
fn a_late_heartbeat_does_not_revive_a_departed_instance() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 4), now);

    assert!(registry.mark_leaving("a", Instant::now()));

    assert_eq!(registry.apply(report("a", 1, 5), now), ReportOutcome::Stale);
    assert!(registry.current().expect("present").draining);
}

/// A forged heartbeat for another address must not register a target.
#[test]
fn a_report_for_another_address_is_rejected() {
    let mut registry = registry();
    let other = TargetReport {
        address: "127.0.0.1:9001".parse().expect("address"),
        ..report("a", 1, 1)
    };

    let outcome = registry.apply(other, Instant::now());

    assert_eq!(outcome, ReportOutcome::OtherAddress);
    assert!(registry.current().is_none());
}

/// A crashed target must not stay registered.
#[test]
fn a_target_without_heartbeats_expires() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 1), now);

    assert!(!registry.expire(now + HEARTBEAT));
    assert!(registry.expire(now + HEARTBEAT * 5));

    assert!(registry.current().is_none());
}

/// A target whose departure was acknowledged must not be used again after a restart of its node, when a late heartbeat
/// arrives; a later start of it must.
#[test]
fn a_target_that_left_stays_out_after_a_restart_of_its_node() {
    let now = Instant::now();
    let mut before = registry();
    before.apply(report("a", 1, 4), now);
    before.mark_leaving("a", Instant::now());
    let announced = before.record(8).expect("announced while it leaves");
    let mut restarted = registry();
    restarted.hold();
    restarted.apply(report("a", 1, 5), now);

    assert!(
        restarted.current().is_none(),
        "used before it was confirmed"
    );
    restarted.restore_left(announced.clone());
    assert!(!restarted.confirm("a"), "confirmed after it had left");
    let late = restarted.apply(report("a", 1, 6), now);

    assert_eq!(late, ReportOutcome::Stale);
    assert!(restarted.current().is_none());
    assert_eq!(
        restarted.record(8),
        Some(announced),
        "lost at a further restart"
    );
    assert_eq!(
        restarted.apply(report("a", 2, 1), now),
        ReportOutcome::Taken
    );
    assert!(restarted.confirm("a"));
    assert!(restarted.current().is_some());
}

/// A target that goes on running while its node is restarted must be used again as soon as it is confirmed, but not
/// because another instance is.
#[test]
fn a_target_that_stays_is_used_after_a_restart_of_its_node() {
    let now = Instant::now();
    let mut restarted = registry();
    restarted.hold();
    restarted.apply(report("a", 1, 5), now);

    assert!(!restarted.confirm("b"));
    assert!(restarted.current().is_none());
    assert!(restarted.confirm("a"));

    assert!(restarted.current().is_some());
    assert_eq!(restarted.record(8).expect("announced").left, None);
}

/// A target that could not be confirmed must be used again in the end, but not because of a heartbeat that may have been
/// late.
#[test]
fn an_unconfirmed_target_is_used_from_its_next_heartbeat_after_the_hold() {
    let now = Instant::now();
    let mut restarted = registry();
    restarted.hold();
    restarted.apply(report("a", 1, 5), now);

    restarted.release_empty();

    assert!(!restarted.is_held());
    assert!(restarted.current().is_none());
    restarted.apply(report("a", 1, 6), now);
    assert!(restarted.current().is_some());
}

/// A target that announces its departure during the hold must not return with a late heartbeat after it.
#[test]
fn a_departure_during_the_hold_counts_after_it() {
    let now = Instant::now();
    let mut restarted = registry();
    restarted.hold();
    restarted.apply(draining(report("a", 1, 6)), now);
    assert!(!restarted.confirm("a"), "confirmed while it leaves");

    restarted.release_empty();
    let late = restarted.apply(report("a", 1, 5), now);

    assert_eq!(late, ReportOutcome::Stale);
    assert!(restarted.current().expect("known").draining);
}

/// A node that has just started may get the departure of its target before a heartbeat that was sent earlier; the
/// heartbeat must not bring the target into use.
#[test]
fn a_departure_before_the_first_heartbeat_counts() {
    let now = Instant::now();
    let mut restarted = registry();

    assert!(!restarted.mark_leaving("a", now));
    let late = restarted.apply(report("a", 1, 21), now + HEARTBEAT);
    let other = restarted.apply(report("b", 2, 1), now + HEARTBEAT);

    assert_eq!(late, ReportOutcome::Stale);
    assert_eq!(other, ReportOutcome::Taken);
}

/// A target whose departure was acknowledged must not be used again after it has been silent for so long that it
/// expired: it may run for many seconds after its last heartbeat, and an earlier heartbeat may still arrive.
#[test]
fn a_late_heartbeat_does_not_revive_an_expired_target_that_was_draining() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 4), now);
    registry.apply(draining(report("a", 1, 5)), now);
    assert!(registry.expire(now + HEARTBEAT * 5));

    let late = registry.apply(report("a", 1, 3), now + HEARTBEAT * 5);

    assert_eq!(late, ReportOutcome::Stale);
    assert!(registry.current().is_none());
    let announced = registry.record(8).and_then(|record| record.left);
    assert_eq!(announced.expect("peers still know of it").instance, "a");
}
