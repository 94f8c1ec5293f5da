//! Fixtures: a stand-in for the platform, run in the test process, and configuration changes to commit
//! to it.

// Every test file compiles this module, and none uses all of it.
#![allow(dead_code)]

use {
    bolero::generator::bolero_generator::{
        ValueGenerator,
        driver::{Options, Rng},
    },
    poplarwing::{
        config::{
            CallLimits, ConfigResource, ConfigSnapshot, ContractLimit, CustomerSpec, ServiceKey,
            TrafficSplit,
        },
        config_store::{ChangeAuthor, ConfigChange},
        platform_store::PlatformStore,
        settings::{GossipSection, LogSection, NodeSection, NodeSettings, PlatformSection},
    },
    poplarwing_standins::platform::{FaultPlan, PlatformStandin},
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub async fn start_platform() -> PlatformStandin {
    PlatformStandin::start(any_port()).await.unwrap()
}

pub fn section_of(endpoint: String) -> PlatformSection {
    PlatformSection {
        table_endpoint: endpoint.clone(),
        table: "poplarwing".to_owned(),
        object_endpoint: endpoint,
        bucket: "poplarwing".to_owned(),
        signing_region: "wa-south".to_owned(),
        access_key_id: "test".to_owned(),
        secret_access_key: "test".to_owned(),
        request_timeout: Duration::from_secs(2),
        key_writes_per_second: 1_000,
    }
}

/// Returns the settings of a node in failure domain `welshpool` that uses this platform.
pub fn settings_of(platform: &PlatformStandin, node: &str) -> NodeSettings {
    NodeSettings {
        node: NodeSection {
            id: node.to_owned(),
            region: "wa-south".to_owned(),
            failure_domain: "welshpool".to_owned(),
            call_address: any_port(),
            forward_address: any_port(),
            peer_address: any_port(),
            admin_address: any_port(),
        },
        platform: section_of(platform.endpoint()),
        gossip: GossipSection {
            seeds: Vec::new(),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            push_fanout: 4,
            join_quorum: 3,
            join_spread: Duration::ZERO,
        },
        log: LogSection {
            level: "info".to_owned(),
            call_sample_permille: 10,
        },
        operators: BTreeMap::new(),
    }
}

pub fn store_of(platform: &PlatformStandin) -> PlatformStore {
    PlatformStore::connect(&section_of(platform.endpoint())).unwrap()
}

/// Returns a change by an operator that sets the rate limit of a customer.
pub fn customer_change(base: Arc<ConfigSnapshot>, customer: &str, rate: u64) -> ConfigChange {
    let spec = CustomerSpec {
        customer: customer.to_owned(),
        limits: CallLimits {
            rate: Some(ContractLimit {
                value: rate,
                line: 3,
            }),
            concurrency: None,
        },
    };
    ConfigChange {
        base,
        changed: vec![spec.into()],
        removed: Vec::new(),
        author: ChangeAuthor::Operator(format!("operator-{rate}")),
        summary: format!("rate of {customer} is {rate}"),
        contract: None,
    }
}

/// Returns a traffic split whose service is in none of the test configurations.
pub fn split_without_service() -> ConfigResource {
    ConfigResource::Split(TrafficSplit {
        key: ServiceKey {
            customer: "kestrel".to_owned(),
            service: "ledger".to_owned(),
        },
        stable: "v1".to_owned(),
        candidate_permille: 0,
        current_move: None,
    })
}

/// Generates `count` values from the seeds 0, 1, 2, ..., so that every run tests the same cases.
pub fn cases<G: ValueGenerator>(generator: G, count: u64) -> impl Iterator<Item = G::Output> {
    let options = Options::default();
    (0..count).map(move |seed| {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        generator.generate(&mut driver).unwrap()
    })
}

/// Polls a condition until it holds; fails after 60 s, which only a hang exceeds.
pub async fn eventually(mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "the condition did not become true within 60 s"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Returns a fault plan for the next table writes: the first are executed without a response
/// (`lose_table_answers`), or discarded (`drop_table_writes`).
pub fn write_faults(lose_table_answers: u32, drop_table_writes: u32) -> FaultPlan {
    FaultPlan {
        lose_table_answers,
        drop_table_writes,
        ..FaultPlan::default()
    }
}

pub fn outage() -> FaultPlan {
    FaultPlan {
        down: true,
        ..FaultPlan::default()
    }
}

pub fn delay(delay_ms: u64) -> FaultPlan {
    FaultPlan {
        delay_ms,
        ..FaultPlan::default()
    }
}
