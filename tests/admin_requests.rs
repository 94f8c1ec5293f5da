//! Tests of the operator API: authentication, limits, contracts, moves, concurrent changes and store
//! outages.

#[path = "support/admin_fixture.rs"]
mod admin_fixture;
#[path = "support/http_request.rs"]
mod http_request;

use {
    admin_fixture::{
        AdminFixture, KESTREL_CONTRACT, MAAIKE_TOKEN, MemoryStore, PIET_TOKEN, StoreFault,
        start_admin, yardboard_key, yardboard_split,
    },
    http::{Method, StatusCode},
    http_request::{HttpResponse, send},
    poplarwing::config::{MovePhase, ServiceKey},
};

const CONTRACT_PATH: &str = "/v1/contracts/kestrel";
const START_V2_BODY: &str = r#"{"customer":"kestrel","service":"yardboard","version":"v2"}"#;

async fn put(fixture: &AdminFixture, token: &str, expect: u64, text: &str) -> HttpResponse {
    let target = format!("{CONTRACT_PATH}?expect={expect}");
    send(
        fixture.address,
        token,
        Method::PUT,
        &target,
        text.to_owned(),
    )
    .await
}

async fn post(fixture: &AdminFixture, target: &str, body: &str) -> HttpResponse {
    send(
        fixture.address,
        PIET_TOKEN,
        Method::POST,
        target,
        body.to_owned(),
    )
    .await
}

async fn get(fixture: &AdminFixture, target: &str) -> HttpResponse {
    send(fixture.address, PIET_TOKEN, Method::GET, target, "").await
}

/// Starts an API whose store contains the contract of Kestrel at revision 1.
async fn start_with_contract() -> AdminFixture {
    let fixture = start_admin(MemoryStore::default()).await;
    let answer = put(&fixture, PIET_TOKEN, 0, KESTREL_CONTRACT).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    fixture
}

fn kestrel_contract_with(from: &str, to: &str) -> String {
    assert!(
        KESTREL_CONTRACT.contains(from),
        "the contract lacks {from:?}"
    );
    KESTREL_CONTRACT.replace(from, to)
}

/// Guards against requests without a valid token that change or read anything.
#[tokio::test]
async fn requests_without_a_valid_token_are_rejected() {
    let fixture = start_with_contract().await;
    let before = fixture.store.head();
    let near_miss = &PIET_TOKEN[..PIET_TOKEN.len() - 1];
    for token in ["", "wrong", near_miss, &format!("{PIET_TOKEN}x")] {
        let put = put(
            &fixture,
            token,
            1,
            &kestrel_contract_with("rate = 2000", "rate = 2001"),
        )
        .await;
        assert_eq!(put.status, StatusCode::UNAUTHORIZED, "token {token:?}");
        for target in [CONTRACT_PATH, "/v1/moves", "/v1/audit", "/v1/status"] {
            let read = send(fixture.address, token, Method::GET, target, "").await;
            assert_eq!(
                read.code(),
                "unauthenticated",
                "token {token:?} at {target}"
            );
        }
    }
    assert_eq!(fixture.store.head(), before);
}

/// Guards against request bodies that exhaust the memory of a node.
#[tokio::test]
async fn oversized_bodies_are_rejected() {
    let fixture = start_with_contract().await;
    let contract = put(&fixture, PIET_TOKEN, 1, &"; x\n".repeat(300_000)).await;
    let moves = post(&fixture, "/v1/moves", &" ".repeat(20_000)).await;
    assert_eq!(contract.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(moves.code(), "too_large");
}

/// Guards against malformed requests that are carried out with assumed values, or rejected without a JSON
/// body.
#[tokio::test]
async fn malformed_requests_are_rejected() {
    let fixture = start_with_contract().await;
    let no_revision = send(
        fixture.address,
        PIET_TOKEN,
        Method::PUT,
        CONTRACT_PATH,
        KESTREL_CONTRACT,
    )
    .await;
    let not_utf8 = [0xff_u8, 0xfe].to_vec();
    let target = format!("{CONTRACT_PATH}?expect=1");
    let binary = send(fixture.address, PIET_TOKEN, Method::PUT, &target, not_utf8).await;
    let extra = post(
        &fixture,
        "/v1/moves",
        &START_V2_BODY.replace('}', ",\"x\":1}"),
    )
    .await;
    let name = get(&fixture, "/v1/contracts/KESTREL").await;
    let query = get(&fixture, "/v1/audit?form=3").await;
    for answer in [no_revision, binary, extra, name, query] {
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{}", answer.text);
        assert_eq!(answer.code(), "malformed_request");
    }
    assert_eq!(get(&fixture, "/v2/nothing").await.code(), "not_found");
}

/// Guards against a contract that is accepted but not stored, or stored with another text.
#[tokio::test]
async fn an_accepted_contract_is_stored_unchanged() {
    let fixture = start_with_contract().await;
    let text = kestrel_contract_with("rate = 2000", "rate = 2500");
    let answer = put(&fixture, MAAIKE_TOKEN, 1, &text).await.json();
    assert_eq!(answer["version"], 2);
    assert_eq!(answer["revision"], 2);
    assert_eq!(answer["differences"][0]["after"], "2500");
    let stored = get(&fixture, CONTRACT_PATH).await.json();
    assert_eq!(stored["revision"], 2);
    assert_eq!(stored["text"], text);
    let history = get(&fixture, &format!("{CONTRACT_PATH}/history"))
        .await
        .json();
    assert_eq!(history["records"][0]["author"]["operator"], "maaike");
    assert_eq!(history["records"][1]["author"]["operator"], "piet");
    let summary = history["records"][0]["summary"]
        .as_str()
        .unwrap_or_default();
    assert!(summary.contains("rate: 2000 -> 2500 (line 5)"), "{summary}");
}

/// Guards against an invalid contract that is applied in part, and against errors that are reported one
/// at a time.
#[tokio::test]
async fn a_rejected_contract_changes_nothing() {
    let fixture = start_with_contract().await;
    let before = fixture.store.head();
    let text = kestrel_contract_with("rate = 2000", "rate = 0")
        .replace("deadline = 800ms", "deadline = 0s");
    let answer = put(&fixture, PIET_TOKEN, 1, &text).await;
    assert_eq!(answer.code(), "invalid_contract");
    let errors = answer.json()["errors"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    assert_eq!(errors.len(), 2, "{errors:?}");
    assert_eq!(errors[0]["line"], 5);
    let other = KESTREL_CONTRACT.replace("name = kestrel", "name = magpie");
    assert_eq!(
        put(&fixture, PIET_TOKEN, 1, &other).await.code(),
        "invalid_contract"
    );
    assert_eq!(fixture.store.head(), before);
    assert_eq!(get(&fixture, CONTRACT_PATH).await.json()["revision"], 1);
}

/// Guards against an operator who overwrites the change of another without noticing it.
#[tokio::test]
async fn a_change_of_an_old_revision_conflicts_and_reports_both_changes() {
    let fixture = start_with_contract().await;
    put(
        &fixture,
        MAAIKE_TOKEN,
        1,
        &kestrel_contract_with("rate = 2000", "rate = 2500"),
    )
    .await;
    let before = fixture.store.head();
    let answer = put(
        &fixture,
        PIET_TOKEN,
        1,
        &kestrel_contract_with("concurrency = 400", "concurrency = 300"),
    )
    .await;
    assert_eq!(answer.status, StatusCode::CONFLICT);
    let body = answer.json();
    assert_eq!(body["revision"], 2);
    let yours = body["yours"]["summary"].as_str().unwrap_or_default();
    let theirs = body["theirs"]["summary"].as_str().unwrap_or_default();
    assert!(yours.contains("concurrency: 400 -> 300"), "{yours}");
    assert!(theirs.contains("rate: 2000 -> 2500"), "{theirs}");
    assert_eq!(body["theirs"]["author"]["operator"], "maaike");
    assert_eq!(fixture.store.head(), before);
}

/// Guards against a race in which two conflicting changes are both reported as accepted.
#[tokio::test]
async fn one_of_two_concurrent_contract_changes_is_rejected() {
    for _ in 0..20 {
        let fixture = start_admin(MemoryStore::default()).await;
        fixture.store.set_commit_barrier(2);
        let first = kestrel_contract_with("rate = 2000", "rate = 2500");
        let second = kestrel_contract_with("rate = 2000", "rate = 3000");
        let (piet, maaike) = tokio::join!(
            put(&fixture, PIET_TOKEN, 0, &first),
            put(&fixture, MAAIKE_TOKEN, 0, &second)
        );
        let (winner, loser, text) = match piet.status {
            StatusCode::OK => (piet, maaike, first),
            _ => (maaike, piet, second),
        };
        assert_eq!(winner.status, StatusCode::OK, "{}", winner.text);
        assert_eq!(loser.code(), "conflict", "{}", loser.text);
        assert!(loser.json()["theirs"]["summary"].is_string());
        assert_eq!(get(&fixture, CONTRACT_PATH).await.json()["text"], text);
        assert_eq!(fixture.store.head().version, 1);
    }
}

/// Guards against a repeated `apply` that creates a new version or fails.
#[tokio::test]
async fn applying_the_current_contract_again_changes_nothing() {
    let fixture = start_with_contract().await;
    let answer = put(&fixture, MAAIKE_TOKEN, 0, KESTREL_CONTRACT)
        .await
        .json();
    assert_eq!(answer["unchanged"], true);
    assert_eq!(answer["revision"], 1);
    assert_eq!(fixture.store.head().version, 1);
}

/// Guards against a change that is reported as accepted or failed although its outcome is unknown.
#[tokio::test]
async fn an_unresolved_commit_is_reported_as_unknown() {
    let fixture = start_with_contract().await;
    fixture.store.set_fault(StoreFault::OutcomeLost);
    let answer = put(
        &fixture,
        PIET_TOKEN,
        1,
        &kestrel_contract_with("rate = 2000", "rate = 2500"),
    )
    .await;
    let start = post(&fixture, "/v1/moves", START_V2_BODY).await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.code(), "outcome_unknown");
    assert_eq!(answer.json()["version"], 2);
    assert_eq!(start.code(), "outcome_unknown");
    assert_eq!(start.json()["version"], 3);
}

/// Guards against changes that are accepted while the store is down, and against reads of the
/// configuration in force that need the store.
#[tokio::test]
async fn during_a_store_outage_changes_fail_but_the_node_is_readable() {
    let fixture = start_with_contract().await;
    fixture.apply_head();
    let before = fixture.store.head();
    fixture.store.set_fault(StoreFault::Down);
    let contract = put(
        &fixture,
        PIET_TOKEN,
        1,
        &kestrel_contract_with("rate = 2000", "rate = 2500"),
    )
    .await;
    let start = post(&fixture, "/v1/moves", START_V2_BODY).await;
    let show = get(&fixture, CONTRACT_PATH).await;
    for answer in [contract, start, show] {
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.code(), "store_unavailable");
    }
    let moves = get(&fixture, "/v1/moves").await.json();
    assert_eq!(moves["as_of"], 1);
    assert_eq!(moves["moves"][0]["stable"], "v1");
    let stored = get(&fixture, "/v1/moves?source=store").await;
    assert_eq!(stored.code(), "store_unavailable");
    assert_eq!(fixture.store.head(), before);
}

/// Guards against a new move that starts with a share of calls, or without its identifier, versions,
/// deadline or author.
#[tokio::test]
async fn a_new_move_waits_without_calls() {
    let fixture = start_with_contract().await;
    let body = START_V2_BODY.replace('}', ",\"finish_within_ms\":60000}");
    let answer = post(&fixture, "/v1/moves", &body).await.json();
    assert_eq!(answer["move_id"], 2);
    assert_eq!(answer["version"], 2);
    let split = yardboard_split(&fixture.store);
    let current = split.current_move.expect("the move was started");
    assert_eq!(split.candidate_permille, 0);
    assert_eq!((current.id, current.phase), (2, MovePhase::Waiting));
    assert_eq!(
        (current.candidate.as_str(), current.previous.as_str()),
        ("v2", "v1")
    );
    assert_eq!(current.finish_by_ms - current.started_at_ms, 60_000);
    assert!(current.reason.contains("piet"));
}

/// Guards against a move to the stable version, of an unknown service, with invalid values, or beside a
/// running move.
#[tokio::test]
async fn invalid_moves_are_rejected() {
    let fixture = start_with_contract().await;
    let stable = post(&fixture, "/v1/moves", &START_V2_BODY.replace("v2", "v1")).await;
    let service = post(
        &fixture,
        "/v1/moves",
        &START_V2_BODY.replace("yardboard", "barn"),
    )
    .await;
    let name = post(&fixture, "/v1/moves", &START_V2_BODY.replace("v2", "v/2")).await;
    let time = post(
        &fixture,
        "/v1/moves",
        &START_V2_BODY.replace('}', ",\"finish_within_ms\":5}"),
    )
    .await;
    assert_eq!(stable.code(), "invalid_change");
    assert_eq!(service.code(), "not_found");
    assert_eq!(name.code(), "invalid_change");
    assert_eq!(time.code(), "invalid_change");
    assert_eq!(fixture.store.head().version, 1);
    post(&fixture, "/v1/moves", START_V2_BODY).await;
    let second = post(&fixture, "/v1/moves", &START_V2_BODY.replace("v2", "v3")).await;
    assert_eq!(second.code(), "move_running");
}

/// Guards against a race in which two moves of one service are both started.
#[tokio::test]
async fn one_of_two_concurrent_move_starts_is_rejected() {
    for _ in 0..20 {
        let fixture = start_with_contract().await;
        fixture.store.set_commit_barrier(2);
        let other = START_V2_BODY.replace("v2", "v3");
        let (first, second) = tokio::join!(
            post(&fixture, "/v1/moves", START_V2_BODY),
            post(&fixture, "/v1/moves", &other)
        );
        let accepted = [&first, &second]
            .iter()
            .filter(|answer| answer.status.is_success())
            .count();
        assert_eq!(accepted, 1, "{} {}", first.text, second.text);
        let loser = if first.status.is_success() {
            second
        } else {
            first
        };
        assert_eq!(loser.code(), "conflict");
    }
}

/// Guards against a cancellation that ends another move, leaves calls on the candidate, or succeeds twice.
#[tokio::test]
async fn a_cancelled_move_is_taken_back() {
    let fixture = start_with_contract().await;
    post(&fixture, "/v1/moves", START_V2_BODY).await;
    let path = "/v1/moves/kestrel/yardboard/cancel";
    let wrong = post(&fixture, &format!("{path}?move=1"), "").await;
    assert_eq!(wrong.code(), "no_such_move");
    let right = post(&fixture, &format!("{path}?move=2"), "").await;
    assert_eq!(right.status, StatusCode::OK, "{}", right.text);
    let split = yardboard_split(&fixture.store);
    let current = split.current_move.expect("the move is kept");
    assert_eq!(current.phase, MovePhase::TakenBack);
    assert_eq!(split.candidate_permille, 0);
    assert!(
        current.reason.contains("cancelled by operator piet"),
        "{}",
        current.reason
    );
    assert_eq!(post(&fixture, path, "").await.code(), "no_such_move");
}

/// Guards against a contract that removes a service during a move, which could then never end.
#[tokio::test]
async fn a_service_with_a_running_move_cannot_be_removed() {
    let fixture = start_with_contract().await;
    post(&fixture, "/v1/moves", START_V2_BODY).await;
    let start = KESTREL_CONTRACT
        .find("[service yardboard]")
        .expect("the section is there");
    let end = KESTREL_CONTRACT
        .find("[service ledger]")
        .expect("the section is there");
    let text = format!("{}{}", &KESTREL_CONTRACT[..start], &KESTREL_CONTRACT[end..]);
    assert_eq!(
        put(&fixture, PIET_TOKEN, 1, &text).await.code(),
        "move_running"
    );
    post(&fixture, "/v1/moves/kestrel/yardboard/cancel", "").await;
    let answer = put(&fixture, PIET_TOKEN, 1, &text).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    assert_eq!(fixture.store.head().service(&yardboard_key()), None);
}

/// Guards against announcements of targets that are lost, or accepted with invalid values.
#[tokio::test]
async fn target_announcements_are_validated_and_passed_on() {
    let fixture = start_admin(MemoryStore::default()).await;
    let body = r#"{"customer":"kestrel","service":"yardboard","version":"v1",
        "address":"127.0.0.1:9000","slots":6,"connections":130}"#;
    let path = "/v1/targets";
    let answer = send(fixture.address, "", Method::POST, path, body).await;
    let no_slots = body.replace("\"slots\":6", "\"slots\":0");
    let refused = send(fixture.address, "", Method::POST, path, no_slots).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    assert_eq!(refused.code(), "malformed_request");
    let announced = fixture.store.announcements();
    assert_eq!(announced.len(), 1);
    assert_eq!((announced[0].slots, announced[0].draining), (6, false));
}

/// Guards against a status without the node's version and readiness, and against metrics that need a token.
#[tokio::test]
async fn status_and_metrics_show_the_version() {
    let fixture = start_with_contract().await;
    let before = get(&fixture, "/v1/status").await.json();
    fixture.apply_head();
    let after = get(&fixture, "/v1/status").await.json();
    let metrics = send(fixture.address, "", Method::GET, "/metrics", "").await;
    assert_eq!(
        (&before["version"], &before["ready"]),
        (&0.into(), &false.into())
    );
    assert_eq!(
        (&after["version"], &after["ready"]),
        (&1.into(), &true.into())
    );
    assert_eq!(after["domain"], "welshpool");
    assert!(
        metrics.text.contains("poplarwing_config_version 3"),
        "{}",
        metrics.text
    );
}

/// Guards against audit records that are skipped between two pages, or that belong to another resource.
#[tokio::test]
async fn audit_records_are_paged_and_filtered_by_resource() {
    let fixture = start_with_contract().await;
    for round in 0..3 {
        post(&fixture, "/v1/moves", START_V2_BODY).await;
        fixture.store.end_move(
            &yardboard_key(),
            MovePhase::TakenBack,
            &format!("round {round}"),
        );
    }
    let first = get(&fixture, "/v1/audit?limit=4").await.json();
    let next = first["next"].as_u64().expect("there are more records");
    let rest = get(&fixture, &format!("/v1/audit?from={next}"))
        .await
        .json();
    assert_eq!(
        (next, rest["records"].as_array().map(Vec::len)),
        (5, Some(3))
    );
    assert!(rest["next"].is_null());
    let ledger = ServiceKey {
        service: "ledger".to_owned(),
        ..yardboard_key()
    };
    let of_ledger = get(&fixture, &format!("/v1/audit?resource=split/{ledger}"))
        .await
        .json();
    assert_eq!(of_ledger["records"].as_array().map(Vec::len), Some(1));
    let range = get(&fixture, "/v1/audit?from=2&until=3").await.json();
    assert_eq!(range["records"].as_array().map(Vec::len), Some(2));
}
