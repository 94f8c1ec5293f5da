//! Order of the heartbeats of a target: late, repeated, forged and reborn ones.

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

/// Guards against a target that returns to service by a heartbeat sent before it began to leave.
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

/// Guards against calls sent in the name of an earlier incarnation.
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

/// Guards against a restarted target that is ignored because its count starts anew.
#[test]
fn a_restart_under_the_same_name_counts_anew() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 40), now);
    registry.mark_leaving("a");

    let outcome = registry.apply(report("a", 2, 1), now);

    assert_eq!(outcome, ReportOutcome::Taken);
    assert!(!registry.current().expect("present").draining);
}

/// Guards against a departed target that comes back by a late heartbeat.
#[test]
fn a_departed_instance_stays_away() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 4), now);

    assert!(registry.mark_leaving("a"));

    assert_eq!(registry.apply(report("a", 1, 5), now), ReportOutcome::Stale);
    assert!(registry.current().expect("present").draining);
}

/// Guards against a forged heartbeat for another address.
#[test]
fn a_report_of_another_address_names_no_target() {
    let mut registry = registry();
    let other = TargetReport {
        address: "127.0.0.1:9001".parse().expect("address"),
        ..report("a", 1, 1)
    };

    let outcome = registry.apply(other, Instant::now());

    assert_eq!(outcome, ReportOutcome::OtherAddress);
    assert!(registry.current().is_none());
}

/// Guards against a crashed target that stays offered for ever.
#[test]
fn a_silent_target_is_forgotten() {
    let now = Instant::now();
    let mut registry = registry();
    registry.apply(report("a", 1, 1), now);

    assert!(!registry.expire(now + HEARTBEAT));
    assert!(registry.expire(now + HEARTBEAT * 5));

    assert!(registry.current().is_none());
}
