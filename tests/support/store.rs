//! A platform stand-in in the test process and changes to commit to it.

// Each test file uses its own part of these fixtures.
#![allow(dead_code)]

use {
    poplarwing::{
        config::{CallLimits, ConfigSnapshot, ContractLimit, CustomerSpec},
        config_store::{ChangeAuthor, ConfigChange},
        platform_store::PlatformStore,
        settings::PlatformSection,
    },
    poplarwing_standins::platform::PlatformStandin,
    std::{net::SocketAddr, sync::Arc, time::Duration},
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
