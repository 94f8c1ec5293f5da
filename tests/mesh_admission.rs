//! Tests of the admission queue of a target: order of waiting calls, refusals, and slots that are never lost.

use {
    poplarwing::mesh::admission::{AdmissionQueue, AdmissionRefusal, SlotRequest},
    std::time::{Duration, Instant},
    tokio::time::{sleep, timeout},
};

const SERVICE_TIME: Duration = Duration::from_millis(100);

fn queue_with_slots(slots: u32) -> AdmissionQueue {
    let queue = AdmissionQueue::default();
    queue.open(slots);
    for _ in 0..200 {
        queue.record_service_time("jobs", SERVICE_TIME);
    }
    queue
}

fn request(
    time_to_objective: Duration,
    rank: u32,
    finish_within: Duration,
) -> SlotRequest<'static> {
    SlotRequest {
        route: "jobs",
        rank,
        account_rank: 0,
        time_to_objective,
        deadline: Instant::now() + Duration::from_secs(20),
        finish_within,
    }
}

fn lenient_request() -> SlotRequest<'static> {
    request(Duration::from_secs(1), 1, Duration::from_secs(10))
}

/// A queue that admits more calls than the target has slots would overload it.
#[tokio::test]
async fn a_full_target_gets_no_further_call() {
    let queue = queue_with_slots(2);

    let _first = queue.acquire(lenient_request()).await.expect("first slot");
    let _second = queue.acquire(lenient_request()).await.expect("second slot");
    let third = timeout(Duration::from_millis(50), queue.acquire(lenient_request())).await;

    assert!(
        third.is_err(),
        "the third call was admitted although both slots are taken"
    );
    assert_eq!(queue.load().running, 2);
}

/// A call that cannot end in time must not wait in the queue, since its caller could retry elsewhere.
#[tokio::test]
async fn a_call_that_would_miss_its_limit_is_refused_at_once() {
    let queue = queue_with_slots(1);
    let _running = queue.acquire(lenient_request()).await.expect("slot");

    let tight = request(Duration::from_secs(1), 1, SERVICE_TIME);
    let refused = queue.acquire(tight).await;

    assert_eq!(refused.err(), Some(AdmissionRefusal::Full));
}

/// A call with a distant latency objective must not delay one that is due soon.
#[tokio::test]
async fn the_call_that_is_due_first_gets_the_next_slot() {
    let queue = queue_with_slots(1);
    let running = queue.acquire(lenient_request()).await.expect("slot");
    let late = request(Duration::from_secs(5), 1, Duration::from_secs(10));
    let soon = request(Duration::from_millis(500), 1, Duration::from_secs(10));
    let (late_queue, soon_queue) = (queue.clone(), queue.clone());
    let late = tokio::spawn(async move { late_queue.acquire(late).await });
    sleep(Duration::from_millis(10)).await;
    let soon = tokio::spawn(async move { soon_queue.acquire(soon).await });
    sleep(Duration::from_millis(10)).await;

    drop(running);

    let _soon = soon
        .await
        .expect("task")
        .expect("the call that is due first is admitted");
    assert!(
        !late.is_finished(),
        "the call that is due later was admitted first"
    );
}

/// A slot must not be lost when a caller disconnects while its call is waiting.
#[tokio::test]
async fn a_caller_that_disconnects_while_waiting_frees_its_place() {
    let queue = queue_with_slots(1);
    let running = queue.acquire(lenient_request()).await.expect("slot");
    let left = timeout(Duration::from_millis(20), queue.acquire(lenient_request())).await;
    assert!(left.is_err());

    drop(running);

    let again = timeout(Duration::from_secs(5), queue.acquire(lenient_request())).await;
    assert!(
        again
            .expect("no slot within 5 s: the slot of the cancelled call was lost")
            .is_ok()
    );
    assert_eq!(queue.load().waiting, 0);
}

/// Calls must not reach a target after it has announced that it leaves.
#[tokio::test]
async fn closing_the_queue_refuses_waiting_and_new_calls() {
    let queue = queue_with_slots(1);
    let _running = queue.acquire(lenient_request()).await.expect("slot");
    let waiting = queue.clone();
    let waiting = tokio::spawn(async move { waiting.acquire(lenient_request()).await });
    sleep(Duration::from_millis(10)).await;

    queue.close();

    assert!(waiting.await.expect("task").is_err());
    let refused = queue.acquire(lenient_request()).await;
    assert_eq!(refused.err(), Some(AdmissionRefusal::Closed));
}

/// The service times of fast and slow routes of one target must not be mixed.
#[tokio::test]
async fn service_time_is_tracked_per_route() {
    let queue = queue_with_slots(1);

    for _ in 0..200 {
        queue.record_service_time("footage", SERVICE_TIME * 6);
    }

    assert!(queue.load_for("jobs").route_time < SERVICE_TIME * 2);
    assert!(queue.load_for("footage").route_time > SERVICE_TIME * 5);
}

/// If too short a service time were assumed before the first call has ended, a target that has just started would
/// queue calls that it cannot complete in time.
#[tokio::test]
async fn a_target_without_completed_calls_keeps_a_short_queue() {
    let queue = AdmissionQueue::default();
    queue.open(2);
    let due = Duration::from_secs(1);
    let mut calls = Vec::new();
    for _ in 0..20 {
        let queue = queue.clone();
        calls.push(tokio::spawn(async move {
            let permit = queue.acquire(request(due, 1, due)).await;
            if permit.is_ok() {
                sleep(Duration::from_secs(20)).await;
            }
            permit.is_ok()
        }));
    }
    sleep(Duration::from_millis(20)).await;

    let load = queue.load();
    calls.iter().for_each(|call| call.abort());

    assert_eq!(load.running, 2);
    assert!(load.waiting <= 2, "{load:?}");
}

/// The service time of a new target must be known after few calls.
#[tokio::test]
async fn the_first_completed_calls_set_the_service_time() {
    let queue = AdmissionQueue::default();
    queue.open(2);

    for _ in 0..3 {
        queue.record_service_time("jobs", SERVICE_TIME * 8);
    }

    assert_eq!(queue.load().service_time, SERVICE_TIME * 8);
    assert_eq!(queue.load_for("jobs").route_time, SERVICE_TIME * 8);
}

/// A target that has become so slow that every call times out must not count as fast.
#[tokio::test]
async fn abandoned_calls_raise_the_service_time() {
    let queue = queue_with_slots(2);

    for _ in 0..20 {
        queue.record_abandoned("jobs", SERVICE_TIME * 15);
    }
    let slow = queue.load();
    queue.record_abandoned("jobs", SERVICE_TIME);
    let after = queue.load();

    assert!(slow.service_time > SERVICE_TIME * 10, "{slow:?}");
    assert_eq!(after.service_time, slow.service_time);
}

/// Calls must not wait at a target that has become slow until the first of its calls ends.
#[tokio::test]
async fn long_running_calls_raise_the_expected_wait_of_a_full_target() {
    let queue = queue_with_slots(2);
    let first = queue.acquire(lenient_request()).await.expect("first slot");
    let _second = queue.acquire(lenient_request()).await.expect("second slot");
    sleep(SERVICE_TIME * 4).await;

    let full = queue.load();
    let tight = request(Duration::from_secs(1), 1, SERVICE_TIME * 3);
    let refused = queue.acquire(tight).await;
    drop(first);
    let after_release = queue.load();

    assert!(full.expected_wait() >= SERVICE_TIME * 2, "{full:?}");
    assert_eq!(refused.err(), Some(AdmissionRefusal::Full));
    assert!(
        after_release.service_time < SERVICE_TIME * 2,
        "{after_release:?}"
    );
}

/// A waiting call whose target holds all its slots must be refused as not run before its deadline: at the deadline its
/// entry node could no longer tell whether it has run.
#[tokio::test]
async fn a_waiting_call_is_refused_before_its_deadline_if_no_slot_gets_free() {
    let queue = queue_with_slots(1);
    let _stuck = queue.acquire(lenient_request()).await.expect("slot");
    let deadline = Instant::now() + Duration::from_millis(600);
    let waiting = SlotRequest {
        deadline,
        ..request(Duration::from_millis(500), 1, Duration::from_secs(10))
    };

    let ended = tokio::time::timeout_at(deadline.into(), queue.acquire(waiting)).await;

    assert_eq!(
        ended.expect("before the deadline").err(),
        Some(AdmissionRefusal::Full)
    );
    assert_eq!((queue.load().running, queue.load().waiting), (1, 0));
}

/// Returns which of two waiting calls gets the slot first, once it is free.
async fn first_admitted(
    earlier: SlotRequest<'static>,
    later: SlotRequest<'static>,
) -> &'static str {
    let queue = queue_with_slots(1);
    let running = queue.acquire(lenient_request()).await.expect("slot");
    let (mut earlier, mut later) = (
        Box::pin(queue.acquire(earlier)),
        Box::pin(queue.acquire(later)),
    );
    // Both calls join the queue when they are polled for the first time.
    assert!(futures::poll!(&mut earlier).is_pending());
    assert!(futures::poll!(&mut later).is_pending());
    drop(running);
    tokio::select! {
        _ = earlier => "earlier",
        _ = later => "later",
    }
}

/// Guards against routes that outweigh the priority of the client accounts.
#[tokio::test]
async fn the_priority_of_the_account_goes_before_that_of_the_route() {
    let low_account = SlotRequest {
        account_rank: 1,
        rank: 0,
        ..lenient_request()
    };
    let high_account = SlotRequest {
        account_rank: 0,
        rank: 3,
        ..lenient_request()
    };

    let first = first_admitted(low_account, high_account).await;

    assert_eq!(first, "later");
}

/// Guards against calls of an account with a low priority that starve: a call whose objective ends long before that of
/// another is not overtaken by it.
#[tokio::test]
async fn an_account_with_a_low_priority_is_not_starved() {
    let low_account = SlotRequest {
        account_rank: 1,
        ..lenient_request()
    };
    let distant = request(Duration::from_secs(4), 1, Duration::from_secs(10));

    let first = first_admitted(low_account, distant).await;

    assert_eq!(first, "earlier");
}

/// At a peak of demand, a free slot must not stay empty because its target is slow at present.
#[tokio::test]
async fn a_slow_target_with_a_free_slot_starts_a_call() {
    let queue = queue_with_slots(2);
    (0..100).for_each(|_| queue.record_factor(100));
    queue.record_factor(250);

    let prompt = request(Duration::from_millis(400), 1, SERVICE_TIME.mul_f64(1.3));
    let admitted = queue.acquire(prompt).await;

    assert!(admitted.is_ok());
}

/// In a spell of slowness, a call that must start almost at once must not wait for a slot of the slow target.
#[tokio::test]
async fn a_slow_target_without_a_free_slot_refuses_a_call_that_must_start_promptly() {
    let queue = queue_with_slots(6);
    let mut running = Vec::new();
    for _ in 0..6 {
        running.push(queue.acquire(lenient_request()).await.expect("slot"));
    }
    (0..100).for_each(|_| queue.record_factor(100));
    queue.record_factor(250);

    let prompt = request(Duration::from_millis(400), 1, SERVICE_TIME.mul_f64(1.3));
    let refused = queue.acquire(prompt).await;

    assert_eq!(refused.err(), Some(AdmissionRefusal::Full));
}

/// The expected wait, which refused callers are told, must follow the present speed of the target.
#[tokio::test]
async fn the_expected_wait_is_longer_in_a_slow_spell() {
    let queue = queue_with_slots(1);
    let _running = queue.acquire(lenient_request()).await.expect("slot");
    (0..100).for_each(|_| queue.record_factor(100));
    let usual = queue.load().expected_wait();

    queue.record_factor(250);

    assert!(queue.load().expected_wait() > usual.mul_f64(1.8));
}
