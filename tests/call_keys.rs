//! Calls with idempotency keys, with an in-memory key store in place of the platform's.

#[path = "call_support/cluster.rs"]
mod cluster;

use {
    self::cluster::{
        TestNode, TestResponse, client, exchange, request, share_membership, start_node,
        test_config, wait_until, whole_body,
    },
    futures::FutureExt,
    poplarwing::call_proxy::keyed::{
        KeyedCall, KeyedHooks, KeyedRepeat, KeyedStart, KeyedTicket, RepeatResponse,
    },
    poplarwing_standins::{
        caller::is_own_answer,
        target::{
            StandinTarget,
            record::CallStage,
            script::{FailureKind, FailureRule, TargetScript},
        },
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// Record of one key.
#[derive(Clone, Debug)]
struct KeyRecord {
    fingerprint: String,
    response: Option<RepeatResponse>,
}

type KeyRecords = Arc<Mutex<HashMap<String, KeyRecord>>>;

fn key_store_hooks(records: &KeyRecords) -> KeyedHooks {
    let records = records.clone();
    KeyedHooks {
        begin: Arc::new(move |call| {
            let start = begin(&records, call);
            async move { start }.boxed()
        }),
    }
}

fn begin(records: &KeyRecords, call: KeyedCall) -> KeyedStart {
    let mut table = records.lock().expect("not poisoned");
    let key = call.idempotency_key.clone();
    if let Some(record) = table.get(&key) {
        return KeyedStart::Repeat(match &record.response {
            _ if record.fingerprint != call.fingerprint => KeyedRepeat::OtherRequest,
            Some(response) => KeyedRepeat::Answered(response.clone()),
            None => KeyedRepeat::Unfinished,
        });
    }
    let record = KeyRecord {
        fingerprint: call.fingerprint,
        response: None,
    };
    table.insert(key.clone(), record);
    let (finish_records, abandon_records, abandoned_key) =
        (records.clone(), records.clone(), key.clone());
    KeyedStart::Run(KeyedTicket {
        finish: Box::new(move |response| {
            let mut table = finish_records.lock().expect("not poisoned");
            table.get_mut(&key).expect("the key is recorded").response = Some(response);
            async {}.boxed()
        }),
        release: Box::new(move || {
            abandon_records
                .lock()
                .expect("not poisoned")
                .remove(&abandoned_key);
            async {}.boxed()
        }),
    })
}

async fn keyed_node(script: TargetScript) -> (TestNode, StandinTarget, KeyRecords) {
    let records = KeyRecords::default();
    let node = start_node("n1", &test_config(), Some(key_store_hooks(&records))).await;
    let target = node.add_target("v1", script).await;
    share_membership(&[&node], 1);
    (node, target, records)
}

async fn keyed_call(node: &TestNode, key: &str, id: &str, body: &str) -> TestResponse {
    let mut outgoing = request(node, "POST", "/order", id, whole_body(body.to_owned()));
    let key = key.parse().expect("valid");
    outgoing.headers_mut().insert("idempotency-key", key);
    exchange(&client(), outgoing).await
}

fn has_recorded_response(records: &KeyRecords, key: &str) -> bool {
    let table = records.lock().expect("not poisoned");
    table
        .get(key)
        .is_some_and(|record| record.response.is_some())
}

/// Guards against a call that runs twice because its caller repeats it with the same key.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_first_response_without_a_second_run() {
    let (node, target, records) = keyed_node(TargetScript::default()).await;

    let first = keyed_call(&node, "k1", "first", "order").await;
    wait_until("the response is recorded", || {
        has_recorded_response(&records, "k1")
    })
    .await;
    let repeat = keyed_call(&node, "k1", "repeat", "order").await;
    let other = keyed_call(&node, "k1", "other", "another order").await;

    let first_body = first.body.expect("whole");
    assert!(is_own_answer("first", b"order", &first_body));
    assert_eq!(
        (repeat.status, repeat.body.expect("whole")),
        (200, first_body)
    );
    assert_eq!((other.status, other.outcome()), (409, Some("not-run")));
    assert_eq!(other.reason(), Some("key-reused"));
    assert_eq!(target.book().runs().len(), 1);
}

/// Guards against a response that is truncated because it is too long to be stored, or whose call runs again.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_response_is_returned_but_not_stored_for_repeats() {
    for chunked in [false, true] {
        let script = TargetScript {
            answer_bytes: 300_000,
            chunked,
            ..TargetScript::default()
        };
        let (node, target, records) = keyed_node(script).await;

        let first = keyed_call(&node, "k1", "first", "order").await;
        wait_until("the response is recorded", || {
            has_recorded_response(&records, "k1")
        })
        .await;
        let repeat = keyed_call(&node, "k1", "repeat", "order").await;

        let body = first.body.expect("whole");
        assert!(is_own_answer("first", b"order", &body) && body.len() > 300_000);
        assert_eq!((repeat.status, repeat.outcome()), (409, Some("unknown")));
        assert_eq!(repeat.reason(), Some("key-answered"));
        assert_eq!(target.book().runs().len(), 1);
    }
}

/// Guards against a key that stays recorded although its call was not run, so that a repeat could never run.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_not_run_releases_its_key() {
    let (node, target, records) = keyed_node(TargetScript::default()).await;
    let mut announced = node
        .local_target
        .handle()
        .expect("announced")
        .announced
        .clone();
    announced.draining = true;
    node.local_target
        .announce(announced.clone(), std::time::Instant::now());

    let refused = keyed_call(&node, "k1", "refused", "order").await;
    assert!(records.lock().expect("not poisoned").is_empty());
    announced.draining = false;
    node.local_target
        .announce(announced, std::time::Instant::now());
    node.board.loads.lock().retain(|_| false);
    let accepted = keyed_call(&node, "k1", "accepted", "order").await;

    assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")));
    assert_eq!(accepted.status, 200);
    assert!(target.book().runs_of("refused").is_empty());
}

/// Guards against a repeat that runs although the outcome of the first call is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_an_unknown_outcome_keeps_its_key() {
    let script = TargetScript {
        failures: vec![FailureRule {
            until_calls: Some(1),
            ..FailureRule::always(FailureKind::CloseBeforeHead)
        }],
        ..TargetScript::default()
    };
    let (node, target, _records) = keyed_node(script).await;

    let lost = keyed_call(&node, "k1", "lost", "order").await;
    let repeat = keyed_call(&node, "k1", "repeat", "order").await;

    assert_eq!((lost.status, lost.outcome()), (502, Some("unknown")));
    assert_eq!((repeat.status, repeat.outcome()), (409, Some("unknown")));
    assert_eq!(repeat.reason(), Some("key-unsettled"));
    assert_eq!(target.book().runs().len(), 1);
}

/// Guards against a call without a stored response because its caller's connection was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_call_completes_after_its_caller_disconnects() {
    let script = TargetScript {
        latency_ms: 300,
        body_delay_ms: 100,
        ..TargetScript::default()
    };
    let (node, target, records) = keyed_node(script).await;
    let mut outgoing = request(&node, "POST", "/order", "gone", whole_body("order"));
    let key = "k1".parse().expect("valid");
    outgoing.headers_mut().insert("idempotency-key", key);
    let caller = tokio::spawn(async move { client().request(outgoing).await.map(|_| ()) });
    wait_until("the target has the call", || {
        let runs = target.book().runs_of("gone");
        runs.iter().any(|run| run.stage == CallStage::Received)
    })
    .await;

    caller.abort();
    wait_until("the response is recorded", || {
        has_recorded_response(&records, "k1")
    })
    .await;
    let repeat = keyed_call(&node, "k1", "repeat", "order").await;

    assert_eq!(repeat.status, 200);
    assert!(is_own_answer(
        "gone",
        b"order",
        &repeat.body.expect("whole")
    ));
    assert_eq!(target.book().runs().len(), 1);
}

/// Guards against a keyed call that runs although its key could not be recorded.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_key_cannot_be_recorded_is_not_run() {
    let unavailable = KeyedHooks {
        begin: Arc::new(|_| {
            async { KeyedStart::Unavailable("the store is down".to_owned()) }.boxed()
        }),
    };
    for keyed in [None, Some(unavailable)] {
        let node = start_node("n1", &test_config(), keyed).await;
        let target = node.add_target("v1", TargetScript::default()).await;
        share_membership(&[&node], 1);

        let refused = keyed_call(&node, "k1", "refused", "order").await;

        assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")));
        assert_eq!(refused.reason(), Some("key-record-unavailable"));
        assert!(target.book().runs().is_empty());
    }
}
