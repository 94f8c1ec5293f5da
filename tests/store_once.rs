//! Idempotency records under concurrent calls, lost replies of the store and its outages.

use {
    bolero::generator::bolero_generator::{TypeGenerator, produce},
    bytes::Bytes,
    futures::future::join_all,
    poplarwing::{
        idempotency_record::{
            AnswerHeader, BeginResult, IdempotencyError, IdempotencyRecorder, KeyedCallId,
            KeyedCallState, MAX_STORED_ANSWER_BYTES, RunTicket, StoredAnswer,
        },
        platform_store::{ItemKey, PlatformStore},
    },
    poplarwing_standins::platform::{FaultPlan, PlatformStandin},
    std::{collections::BTreeMap, time::Duration},
    support::store::{
        any_port, cases, delay, eventually, outage, section_of, start_platform, store_of,
        write_faults,
    },
};

mod support {
    pub mod store;
}

/// Limit of record writes per second that no test reaches.
const AMPLE_WRITES_PER_SECOND: u32 = 1_000_000;

/// Random cases per test.
const CASES: u64 = 20;

fn call(key: &str) -> KeyedCallId {
    KeyedCallId {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
        route: "signoff".to_owned(),
        key: key.to_owned(),
    }
}

fn answer(length: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![AnswerHeader {
            name: "content-type".to_owned(),
            value: "application/octet-stream".to_owned(),
        }],
        body: Some(Bytes::from(vec![0xfe; length])),
    }
}

fn recorder_at(platform: &PlatformStandin, node: &str) -> IdempotencyRecorder {
    IdempotencyRecorder::new(store_of(platform), node.to_owned(), AMPLE_WRITES_PER_SECOND)
}

async fn begin(recorder: &IdempotencyRecorder, key: &str) -> Result<BeginResult, IdempotencyError> {
    recorder.begin(call(key), "fingerprint".to_owned()).await
}

/// Begins a call that must be permitted to run.
async fn begin_first(recorder: &IdempotencyRecorder, key: &str) -> RunTicket {
    match begin(recorder, key).await.unwrap() {
        BeginResult::Run(ticket) => ticket,
        BeginResult::Repeat(entry) => panic!("expected to run, found {entry:?}"),
    }
}

/// Guards against a repeat that runs again on another node, or that gets a different answer.
#[tokio::test]
async fn a_repeat_gets_the_kept_answer() {
    let platform = start_platform().await;
    let (first, second) = (recorder_at(&platform, "a"), recorder_at(&platform, "b"));
    let ticket = begin_first(&first, "key").await;
    first.finish(ticket, answer(1_000)).await.unwrap();

    let Ok(BeginResult::Repeat(entry)) = begin(&second, "key").await else {
        panic!("expected a repeat");
    };

    assert_eq!(
        (entry.state, entry.node.as_str()),
        (KeyedCallState::Finished, "a")
    );
    assert_eq!(entry.answer, Some(answer(1_000)));
}

/// Guards against records that exceed the intended size of a table item.
#[tokio::test]
async fn a_long_answer_is_kept_without_its_body() {
    let platform = start_platform().await;
    let recorder = recorder_at(&platform, "a");
    let ticket = begin_first(&recorder, "key").await;
    recorder
        .finish(ticket, answer(MAX_STORED_ANSWER_BYTES))
        .await
        .unwrap();

    let Ok(BeginResult::Repeat(entry)) = begin(&recorder, "key").await else {
        panic!("expected a repeat");
    };

    let kept = entry.answer.unwrap();
    assert_eq!((kept.status, kept.body), (201, None));
}

/// Guards against refusing a call as "not run" because the store's reply was lost although the record was
/// written: the record would then block the key.
#[tokio::test]
async fn a_call_runs_although_the_reply_to_its_record_write_is_lost() {
    let platform = start_platform().await;
    let recorder = recorder_at(&platform, "a");
    platform.set_faults(write_faults(1, 0));

    begin_first(&recorder, "key").await;

    assert_eq!(platform.counts().table_writes, 1);
}

/// Guards against a finished call whose record stays "running" because the store's replies were lost.
#[tokio::test]
async fn an_answer_is_recorded_although_the_replies_of_the_store_are_lost() {
    let platform = start_platform().await;
    let recorder = recorder_at(&platform, "a");
    let ticket = begin_first(&recorder, "key").await;
    platform.set_faults(write_faults(1, 1));

    recorder.finish(ticket, answer(10)).await.unwrap();

    let Ok(BeginResult::Repeat(entry)) = begin(&recorder, "key").await else {
        panic!("expected a repeat");
    };
    assert_eq!(entry.state, KeyedCallState::Finished);
}

/// Guards against a call that runs without a record of its key.
#[tokio::test]
async fn calls_are_refused_while_the_store_is_down_or_the_budget_is_spent() {
    let platform = start_platform().await;
    let recorder = recorder_at(&platform, "a");
    let limited = IdempotencyRecorder::new(store_of(&platform), "b".to_owned(), 0);
    platform.set_faults(outage());

    let down = begin(&recorder, "key").await.unwrap_err();
    let over = begin(&limited, "key").await.unwrap_err();
    let empty = begin(&recorder, "").await.unwrap_err();

    assert!(matches!(down, IdempotencyError::Store(_)), "{down}");
    assert!(
        matches!(over, IdempotencyError::WriteRateExceeded { limit: 0, .. }),
        "{over}"
    );
    assert!(
        matches!(empty, IdempotencyError::InvalidKey { length: 0 }),
        "{empty}"
    );
}

/// Guards against a key that stays blocked by the record of a call that was refused as "not run".
#[tokio::test]
async fn a_sweep_frees_the_key_of_a_call_that_did_not_run() {
    let platform = start_platform().await;
    let recorder = recorder_at(&platform, "a");
    let ticket = begin_first(&recorder, "key").await;
    platform.set_faults(outage());
    recorder.abandon(ticket).await.unwrap_err();
    platform.set_faults(FaultPlan::default());
    let blocked = begin(&recorder, "key").await.unwrap();

    let removed = recorder.remove_orphans().await.unwrap();

    assert!(matches!(blocked, BeginResult::Repeat(_)));
    assert_eq!(removed, 1);
    begin_first(&recorder, "key").await;
}

/// Guards against a key that stays blocked by a record whose write timed out, so that the call was refused,
/// and took effect later.
#[tokio::test]
async fn a_sweep_removes_a_record_that_arrives_late() {
    let platform = start_platform().await;
    let mut section = section_of(platform.endpoint());
    section.request_timeout = Duration::from_millis(100);
    let short_timeout = PlatformStore::connect(&section).unwrap();
    let recorder = IdempotencyRecorder::new(short_timeout, "a".to_owned(), AMPLE_WRITES_PER_SECOND);
    platform.set_faults(delay(3_000));
    begin(&recorder, "key").await.unwrap_err();
    platform.set_faults(FaultPlan::default());
    let other = recorder_at(&platform, "b");
    let record = ItemKey::new("once/kestrel/ledger/signoff", "key");
    let store = store_of(&platform);
    eventually(async || store.get(&record).await.unwrap().is_some()).await;

    // Several late writes of the record may take effect, so one sweep may not be enough.
    eventually(async || {
        recorder.remove_orphans().await.unwrap();
        matches!(begin(&other, "key").await.unwrap(), BeginResult::Run(_))
    })
    .await;
}

/// Guards against a key that stays blocked because its caller disconnected before the call could run.
#[tokio::test]
async fn a_sweep_frees_the_key_of_a_caller_that_went_away() {
    let platform = start_platform().await;
    let recorder = recorder_at(&platform, "a");
    platform.set_faults(delay(500));
    let caller_recorder = recorder.clone();
    let caller = tokio::spawn(async move { begin(&caller_recorder, "key").await.is_ok() });
    // The platform has received the write once it counts it as delayed; it takes effect 500 ms later.
    eventually(async || platform.counts().delayed == 1).await;
    caller.abort();
    platform.set_faults(FaultPlan::default());

    eventually(async || recorder.remove_orphans().await.unwrap() == 1).await;

    begin_first(&recorder, "key").await;
}

/// One random call of a round: its node and key, the faults of that node's store, and what follows.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct KeyedStep {
    node: u8,
    key: u8,
    /// Writes whose replies are lost.
    lost: u8,
    /// Writes that are dropped without effect.
    dropped: u8,
    abandon: bool,
}

/// Tickets issued and abandoned for one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyHistory {
    begun: u32,
    abandoned: u32,
}

/// Guards against a second run of a key, whichever node begins it and whichever replies of the store are lost
/// (guarantee I7 in docs/GUARANTEES.md).
#[tokio::test]
async fn at_most_one_call_runs_for_each_key() {
    let mut runs = 0;
    let mut repeats = 0;
    for rounds in cases(produce::<Vec<[KeyedStep; 4]>>(), CASES) {
        let platform = start_platform().await;
        let mut ports = Vec::new();
        for _ in 0..3 {
            ports.push(platform.open_port(any_port()).await.unwrap());
        }
        let recorders: Vec<IdempotencyRecorder> =
            ports.iter().map(|port| recorder_at(port, "node")).collect();
        let mut histories: BTreeMap<u8, KeyHistory> = BTreeMap::new();
        for round in rounds.iter().take(8) {
            for step in round {
                let plan = write_faults(u32::from(step.lost % 3), u32::from(step.dropped % 3));
                ports[usize::from(step.node % 3)].set_faults(plan);
            }
            let starts = join_all(round.iter().map(async |step| {
                let recorder = &recorders[usize::from(step.node % 3)];
                begin(recorder, &format!("key-{}", step.key % 2)).await
            }));
            let mut abandoned = Vec::new();
            for (step, start) in round.iter().zip(starts.await) {
                match start {
                    Ok(BeginResult::Run(ticket)) => {
                        runs += 1;
                        let history = histories.entry(step.key % 2).or_default();
                        history.begun += 1;
                        assert_eq!(history.begun, history.abandoned + 1, "{rounds:?}");
                        if step.abandon {
                            abandoned.push((*step, ticket));
                        }
                    }
                    Ok(BeginResult::Repeat(_)) => repeats += 1,
                    Err(IdempotencyError::Store(_)) => {}
                    Err(error) => panic!("{error}"),
                }
            }
            // Tickets are abandoned only now, so that the calls of one round are concurrent. A removal counts
            // even if its reply was lost, since it may have taken effect.
            for (step, ticket) in abandoned {
                let recorder = &recorders[usize::from(step.node % 3)];
                let _ = recorder.abandon(ticket).await;
                histories.entry(step.key % 2).or_default().abandoned += 1;
            }
            for recorder in &recorders {
                let _ = recorder.remove_orphans().await;
            }
        }
    }
    assert!(runs > 0 && repeats > 0, "{runs} runs and {repeats} repeats");
}
