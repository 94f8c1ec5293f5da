//! Rules for applying a configuration: version order, the floor after a restart, references and delta hashes.

use {
    poplarwing::{
        apply_gate::{ApplyError, ApplyGate, ConfigSource},
        config::{
            CallLimits, ConfigError, ConfigResource, ConfigSnapshot, CustomerSpec, MovePolicy,
            MovePreference, ServiceKey, ServiceSpec, TrafficSplit, VersionedResource,
        },
    },
    std::time::Duration,
};

fn service_key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    }
}

fn snapshot(version: u64) -> ConfigSnapshot {
    let customer = CustomerSpec {
        customer: "kestrel".to_owned(),
        limits: CallLimits::default(),
    };
    let service = ServiceSpec {
        key: service_key(),
        host: "ledger.kestrel.example".to_owned(),
        initial_version: "v1".to_owned(),
        limits: CallLimits::default(),
        routes: Vec::new(),
        move_policy: MovePolicy {
            prefer: MovePreference::Safety,
            finish_within: Duration::from_secs(600),
            canary_permille: 50,
            watch_for: Duration::from_secs(60),
        },
    };
    let split = TrafficSplit {
        key: service_key(),
        stable: "v1".to_owned(),
        candidate_permille: 0,
        current_move: None,
    };
    let resources: [ConfigResource; 3] = [customer.into(), service.into(), split.into()];
    let entries = resources.into_iter().map(|resource| {
        (
            resource.name(),
            VersionedResource {
                changed_at: 1,
                resource,
            },
        )
    });
    ConfigSnapshot {
        version,
        accepted_at_ms: 0,
        resources: entries.collect(),
    }
}

fn gate_with_floor_zero() -> ApplyGate {
    let gate = ApplyGate::default();
    gate.set_floor(0);
    gate
}

/// Guards against a node that returns to an older configuration when updates arrive out of order.
#[test]
fn older_version_is_refused_after_a_newer_one() {
    let gate = gate_with_floor_zero();
    gate.try_apply(snapshot(7), &ConfigSource::Store)
        .expect("any version is newer than no configuration");

    let rejected = gate.try_apply(snapshot(6), &ConfigSource::Peer("n2".to_owned()));

    assert!(matches!(
        rejected,
        Err(ApplyError::NotNewer {
            offered: 6,
            current: 7,
            ..
        })
    ));
    assert_eq!(gate.version(), 7);
}

/// Guards against a restarted node that joins through a lagging peer and applies a version older than the one it
/// had applied before. The floor is the lowest version that it may apply.
#[test]
fn version_below_the_floor_is_refused() {
    let gate = ApplyGate::default();
    let before_floor = gate.try_apply(snapshot(5), &ConfigSource::Store);
    gate.set_floor(9);

    let rejected = gate.try_apply(snapshot(8), &ConfigSource::Peer("n2".to_owned()));

    assert!(matches!(before_floor, Err(ApplyError::FloorUnknown { .. })));
    assert!(matches!(
        rejected,
        Err(ApplyError::BelowFloor {
            offered: 8,
            floor: 9,
            ..
        })
    ));
    assert!(!gate.is_ready());
}

/// Guards against applying a configuration, even in part, in which a resource refers to a missing one.
#[test]
fn configuration_with_a_dangling_reference_changes_nothing() {
    let gate = gate_with_floor_zero();
    gate.try_apply(snapshot(1), &ConfigSource::Store)
        .expect("the configuration is valid");
    let before = gate.current();
    let mut incomplete = snapshot(2);
    incomplete.resources.remove("split/kestrel/ledger");

    let rejected = gate.try_apply(incomplete, &ConfigSource::Store);

    let Err(ApplyError::Invalid { cause, .. }) = rejected else {
        panic!("expected ApplyError::Invalid, got {rejected:?}");
    };
    assert!(matches!(*cause, ConfigError::MissingReference { .. }));
    assert_eq!(gate.current(), before);
}

/// Guards against a delta whose application gives other content than the sender has.
#[test]
fn delta_reproduces_the_snapshot_and_a_damaged_one_is_refused() {
    let old = snapshot(1);
    let mut new = snapshot(2);
    new.resources.remove("split/kestrel/ledger");
    let delta = new.delta_from(&old);
    let mut damaged = delta.clone();
    damaged.removed.clear();

    let applied = old.with_delta(&delta);
    let rejected = old.with_delta(&damaged);

    assert_eq!(applied, Ok(new));
    assert!(matches!(rejected, Err(ConfigError::HashMismatch { .. })));
}
