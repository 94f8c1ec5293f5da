//! Admission to the slots of a target: order, truthful refusals, and slots that are never lost.

use {
    poplarwing::mesh::admission::{AdmissionQueue, AdmissionRefusal, SlotRequest},
    std::time::{Duration, Instant},
    tokio::time::{sleep, timeout},
};

const SERVICE: Duration = Duration::from_millis(100);

fn queue_with_slots(slots: u32) -> AdmissionQueue {
    let queue = AdmissionQueue::default();
    queue.open(slots);
    for _ in 0..200 {
        queue.record_service_time("jobs", SERVICE);
    }
    queue
}

fn ask(due: Duration, rank: u32, finish_within: Duration) -> SlotRequest<'static> {
    SlotRequest {
        route: "jobs",
        rank,
        due,
        deadline: Instant::now() + Duration::from_secs(20),
        finish_within,
    }
}

fn patient() -> SlotRequest<'static> {
    ask(Duration::from_secs(1), 1, Duration::from_secs(10))
}

/// Guards against more calls at the target than it has slots.
#[tokio::test]
async fn a_full_target_gets_no_further_call() {
    let queue = queue_with_slots(2);

    let _first = queue.acquire(patient()).await.expect("first slot");
    let _second = queue.acquire(patient()).await.expect("second slot");
    let third = timeout(Duration::from_millis(50), queue.acquire(patient())).await;

    assert!(third.is_err(), "the third call must wait");
    assert_eq!(queue.load().running, 2);
}

/// Guards against holding a call that cannot be served in time.
#[tokio::test]
async fn a_call_that_would_end_too_late_is_refused_at_once() {
    let queue = queue_with_slots(1);
    let _running = queue.acquire(patient()).await.expect("slot");

    let hasty = ask(Duration::from_secs(1), 1, SERVICE);
    let refused = queue.acquire(hasty).await;

    assert_eq!(refused.err(), Some(AdmissionRefusal::Full));
}

/// Guards against a call with a distant objective that delays one that is due soon.
#[tokio::test]
async fn the_call_that_is_due_first_gets_the_next_slot() {
    let queue = queue_with_slots(1);
    let running = queue.acquire(patient()).await.expect("slot");
    let late = ask(Duration::from_secs(5), 1, Duration::from_secs(10));
    let soon = ask(Duration::from_millis(500), 1, Duration::from_secs(10));
    let (late_queue, soon_queue) = (queue.clone(), queue.clone());
    let late = tokio::spawn(async move { late_queue.acquire(late).await });
    sleep(Duration::from_millis(10)).await;
    let soon = tokio::spawn(async move { soon_queue.acquire(soon).await });
    sleep(Duration::from_millis(10)).await;

    drop(running);

    let _soon = soon.await.expect("task").expect("the call due first");
    assert!(!late.is_finished(), "the other call still waits");
}

/// Guards against a slot that is lost with a caller who goes away while waiting.
#[tokio::test]
async fn a_caller_that_leaves_gives_its_place_up() {
    let queue = queue_with_slots(1);
    let running = queue.acquire(patient()).await.expect("slot");
    let left = timeout(Duration::from_millis(20), queue.acquire(patient())).await;
    assert!(left.is_err());

    drop(running);

    let again = timeout(Duration::from_secs(5), queue.acquire(patient())).await;
    assert!(again.expect("a free slot").is_ok());
    assert_eq!(queue.load().waiting, 0);
}

/// Guards against calls that reach a target after it has said that it leaves.
#[tokio::test]
async fn closing_refuses_those_that_wait_and_those_that_come() {
    let queue = queue_with_slots(1);
    let _running = queue.acquire(patient()).await.expect("slot");
    let waiting = queue.clone();
    let waiting = tokio::spawn(async move { waiting.acquire(patient()).await });
    sleep(Duration::from_millis(10)).await;

    queue.close();

    assert!(waiting.await.expect("task").is_err());
    let refused = queue.acquire(patient()).await;
    assert_eq!(refused.err(), Some(AdmissionRefusal::Closed));
}

/// Guards against an estimate that mixes short and long routes of one target.
#[tokio::test]
async fn service_time_is_known_by_route() {
    let queue = queue_with_slots(1);

    for _ in 0..200 {
        queue.record_service_time("footage", SERVICE * 6);
    }

    assert!(queue.load_for("jobs").route_time < SERVICE * 2);
    assert!(queue.load_for("footage").route_time > SERVICE * 5);
}

/// Guards against a target that has just started and takes a queue of calls that it cannot end in time, because a
/// short service time is assumed.
#[tokio::test]
async fn a_target_without_an_ended_call_keeps_a_short_queue() {
    let queue = AdmissionQueue::default();
    queue.open(2);
    let due = Duration::from_secs(1);
    let mut places = Vec::new();
    for _ in 0..20 {
        let queue = queue.clone();
        places.push(tokio::spawn(async move {
            let permit = queue.acquire(ask(due, 1, due)).await;
            if permit.is_ok() {
                sleep(Duration::from_secs(20)).await;
            }
            permit.is_ok()
        }));
    }
    sleep(Duration::from_millis(20)).await;

    let load = queue.load();
    places.iter().for_each(|place| place.abort());

    assert_eq!(load.running, 2);
    assert!(load.waiting <= 2, "{load:?}");
}

/// Guards against a new target whose real service time is known only after many calls.
#[tokio::test]
async fn the_first_calls_that_end_tell_the_service_time() {
    let queue = AdmissionQueue::default();
    queue.open(2);

    for _ in 0..3 {
        queue.record_service_time("jobs", SERVICE * 8);
    }

    assert_eq!(queue.load().service_time, SERVICE * 8);
    assert_eq!(queue.load_for("jobs").route_time, SERVICE * 8);
}

/// Guards against a target that has become so slow that no call ends, and still counts as fast.
#[tokio::test]
async fn calls_that_are_given_up_raise_the_service_time() {
    let queue = queue_with_slots(2);

    for _ in 0..20 {
        queue.record_abandoned("jobs", SERVICE * 15);
    }
    let slow = queue.load();
    queue.record_abandoned("jobs", SERVICE);
    let after = queue.load();

    assert!(slow.service_time > SERVICE * 10, "{slow:?}");
    assert_eq!(after.service_time, slow.service_time);
}

/// Guards against calls that wait at a target that has become slow, until the first of its calls ends.
#[tokio::test]
async fn calls_that_run_on_raise_the_expected_wait_of_a_full_target() {
    let queue = queue_with_slots(2);
    let first = queue.acquire(patient()).await.expect("first slot");
    let _second = queue.acquire(patient()).await.expect("second slot");
    sleep(SERVICE * 4).await;

    let full = queue.load();
    let hasty = ask(Duration::from_secs(1), 1, SERVICE * 3);
    let refused = queue.acquire(hasty).await;
    drop(first);
    let with_room = queue.load();

    assert!(full.expected_wait() >= SERVICE * 2, "{full:?}");
    assert_eq!(refused.err(), Some(AdmissionRefusal::Full));
    assert!(with_room.service_time < SERVICE * 2, "{with_room:?}");
}
