//! Simulated operators that change contracts concurrently through different nodes.
//!
//! Each contract has a rate limit that no other contract of the test has. It identifies the contract in
//! audit records and in configurations.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use {
    crate::{
        fleet_fixture::{ApiClient, ApiResponse},
        version_history::{ContractOutcome, SentContract},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Lowest rate limit of a contract, in calls per second.
const LOWEST_RATE_LIMIT: u64 = 10_000;

/// Rate limits reserved for each operator, so that those of two operators never collide.
const RATE_LIMITS_PER_OPERATOR: u64 = 1000;

/// Pause of an operator between two contracts, so that the changes last through several injected
/// faults.
const CONTRACT_PAUSE: Duration = Duration::from_millis(50);

/// Returns a contract with this rate limit. Contracts with an even rate limit have a second service.
pub fn contract_with_rate_limit(customer: &str, rate_limit: u64) -> String {
    let mut text = format!("[customer]\nname = {customer}\nrate = {rate_limit}\n");
    text.push_str(&service_section(customer, "ledger"));
    if rate_limit.is_multiple_of(2) {
        text.push_str(&service_section(customer, "archive"));
    }
    text
}

fn service_section(customer: &str, service: &str) -> String {
    format!(
        "\n[service {service}]\nhost = {service}.{customer}.example\ninitial_version = v1\n\n\
         [route {service} read]\npath = /read\nmethods = GET\nidempotent = true\ndeadline = 5s\n\
         body_limit = 0B\n\n[move {service}]\nprefer = safety\nfinish_within = 2m\n\
         canary_share = 10%\nwatch_for = 5s\n"
    )
}

/// Sends `count` contracts one after another, alternating between two customers, each through the next
/// node and based on the revision read just before.
pub async fn send_contracts(
    client: ApiClient,
    admins: Vec<SocketAddr>,
    operator_index: u64,
    count: u64,
) -> Vec<SentContract> {
    let mut sent = Vec::new();
    for index in 0..count {
        let customer = ["kestrel", "vanderhaegen"][(index % 2) as usize];
        let admin = admins[(operator_index + index) as usize % admins.len()];
        let rate_limit = LOWEST_RATE_LIMIT + operator_index * RATE_LIMITS_PER_OPERATOR + index;
        sent.push(send_contract(&client, admin, customer, rate_limit).await);
        sleep(CONTRACT_PAUSE).await;
    }
    sent
}

/// Sends a contract that replaces the current revision in the store.
pub async fn send_contract(
    client: &ApiClient,
    admin: SocketAddr,
    customer: &str,
    rate_limit: u64,
) -> SentContract {
    let path = format!("/v1/contracts/{customer}");
    let current_contract = client.send(admin, "GET", &path, "").await;
    let revision = current_contract.and_then(|answer| answer.body["revision"].as_u64());
    let path = format!("{path}?expect={}", revision.unwrap_or_default());
    let text = contract_with_rate_limit(customer, rate_limit);
    let answer = client.send(admin, "PUT", &path, &text).await;
    SentContract {
        customer: customer.to_owned(),
        rate_limit,
        outcome: answer.map_or(ContractOutcome::Unknown, contract_outcome),
    }
}

fn contract_outcome(answer: ApiResponse) -> ContractOutcome {
    let body = answer.body;
    match (answer.status, body["code"].as_str()) {
        (200, _) => ContractOutcome::Accepted {
            version: body["version"].as_u64().expect("a version"),
            revision: body["revision"].as_u64().expect("a revision"),
        },
        (_, Some("outcome_unknown")) => ContractOutcome::Unknown,
        (status, code) => {
            ContractOutcome::Refused(format!("{status} {code:?}: {}", body["message"]))
        }
    }
}
