//! Simulated operators that change contracts concurrently through different nodes.
//!
//! Each contract has a mark: a rate limit that no other contract of the test has. It identifies the
//! contract in audit records and in configurations.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use {
    crate::{
        fleet_fixture::{ApiAnswer, ApiClient},
        version_history::{ContractEnd, SentContract},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Lowest mark, in calls per second.
const LOWEST_MARK: u64 = 10_000;

/// Marks reserved for each operator, so that marks of two operators never collide.
const MARKS_PER_OPERATOR: u64 = 1000;

/// Pause of an operator between two contracts, so that the changes last through several injected
/// faults.
const CONTRACT_PAUSE: Duration = Duration::from_millis(50);

/// Returns a contract with a mark. Contracts with an even mark have a second service.
pub fn marked_contract(customer: &str, mark: u64) -> String {
    let mut text = format!("[customer]\nname = {customer}\nrate = {mark}\n");
    text.push_str(&service_section(customer, "ledger"));
    if mark.is_multiple_of(2) {
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
pub async fn run_operator(
    client: ApiClient,
    admins: Vec<SocketAddr>,
    operator_index: u64,
    count: u64,
) -> Vec<SentContract> {
    let mut sent = Vec::new();
    for index in 0..count {
        let customer = ["kestrel", "vanderhaegen"][(index % 2) as usize];
        let admin = admins[(operator_index + index) as usize % admins.len()];
        let mark = LOWEST_MARK + operator_index * MARKS_PER_OPERATOR + index;
        sent.push(send_contract(&client, admin, customer, mark).await);
        sleep(CONTRACT_PAUSE).await;
    }
    sent
}

/// Sends a contract that replaces the current revision in the store.
pub async fn send_contract(
    client: &ApiClient,
    admin: SocketAddr,
    customer: &str,
    mark: u64,
) -> SentContract {
    let path = format!("/v1/contracts/{customer}");
    let current_contract = client.send(admin, "GET", &path, "").await;
    let revision = current_contract.and_then(|answer| answer.body["revision"].as_u64());
    let path = format!("{path}?expect={}", revision.unwrap_or_default());
    let text = marked_contract(customer, mark);
    let answer = client.send(admin, "PUT", &path, &text).await;
    SentContract {
        customer: customer.to_owned(),
        mark,
        end: answer.map_or(ContractEnd::Unknown, contract_end),
    }
}

fn contract_end(answer: ApiAnswer) -> ContractEnd {
    let body = answer.body;
    match (answer.status, body["code"].as_str()) {
        (200, _) => ContractEnd::Accepted {
            version: body["version"].as_u64().expect("a version"),
            revision: body["revision"].as_u64().expect("a revision"),
        },
        (_, Some("outcome_unknown")) => ContractEnd::Unknown,
        (status, code) => ContractEnd::Refused(format!("{status} {code:?}: {}", body["message"])),
    }
}
