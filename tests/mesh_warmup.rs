//! Tests of a node beside a cold target: admission by the pace, and what other nodes are told.

#[path = "support/mesh_node.rs"]
mod mesh_node;

use {
    http::HeaderMap,
    poplarwing::{
        balancing::warmup_pace::{PaceLimit, WarmupPace},
        mesh::{
            admission::{AdmissionQueue, AdmissionRefusal, ColdLoad, SlotRequest, TargetLoad},
            hop::{LOAD_HEADER, set_load, take_load},
        },
    },
    std::time::{Duration, Instant},
    tokio::time::{sleep, timeout},
};

const COLD_TIME: Duration = Duration::from_secs(60);

/// Limit of every wait in a test; reached only if something is broken.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A queue with many slots beside a target that is cold and tolerates this many calls a second.
fn cold_queue(rate: f64) -> AdmissionQueue {
    let queue = AdmissionQueue::default();
    queue.open(1000);
    queue.record_service_time("jobs", Duration::from_millis(10));
    queue.set_pace_limit(Some(PaceLimit::new(rate, 1.0, 4.0, COLD_TIME)));
    queue.update_pace(|pace, now| pace.report_cold(COLD_TIME, now));
    queue
}

fn request(finish_within: Duration) -> SlotRequest<'static> {
    SlotRequest {
        route: "jobs",
        rank: 1,
        account_rank: 0,
        time_to_objective: Duration::from_secs(1),
        deadline: Instant::now() + finish_within * 2,
        finish_within,
    }
}

/// Takes what may be sent at once.
async fn exhaust(queue: &AdmissionQueue) {
    while queue
        .acquire(request(Duration::from_millis(1)))
        .await
        .is_ok()
    {}
}

/// A call that a cold target may not get within its limit must be refused at once, with the time until there is room.
#[tokio::test]
async fn a_call_beyond_the_pace_is_refused_at_once() {
    let queue = cold_queue(1.0);
    exhaust(&queue).await;

    let refused = queue.acquire(request(Duration::from_millis(200))).await;

    let Err(AdmissionRefusal::Cold { room_in }) = refused else {
        panic!("{refused:?}");
    };
    assert!(room_in > Duration::from_millis(200) && room_in <= Duration::from_secs(2));
}

/// A call that has the time must get the next token although no slot is released meanwhile.
#[tokio::test]
async fn a_waiting_call_is_woken_by_the_next_token() {
    let queue = cold_queue(20.0);
    exhaust(&queue).await;

    let calls = [(); 3].map(|()| timeout(WAIT_LIMIT, queue.acquire(request(WAIT_LIMIT))));
    let [first, second, third] = calls;
    let ended = tokio::join!(first, second, third);

    assert!(ended.0.expect("no wake-up").is_ok());
    assert!(ended.1.expect("no wake-up").is_ok());
    assert!(ended.2.expect("no wake-up").is_ok());
    assert_eq!(queue.load().waiting, 0);
}

/// A call that waits for a slot while the pace has room must not be forgotten when health checks have used that room up
/// by the time the slot is free.
#[tokio::test]
async fn a_call_that_waits_for_a_slot_is_woken_by_a_later_token() {
    let queue = cold_queue(20.0);
    queue.open(1);
    exhaust(&queue).await;
    let running = timeout(WAIT_LIMIT, queue.acquire(request(WAIT_LIMIT)));
    let running = running.await.expect("no wake-up").expect("slot");
    let waiting = timeout(WAIT_LIMIT, queue.acquire(request(WAIT_LIMIT)));
    let release = async {
        sleep(Duration::from_millis(300)).await;
        while queue.try_check() {}
        drop(running);
    };

    let (admitted, ()) = tokio::join!(waiting, release);

    assert!(admitted.expect("no wake-up").is_ok());
}

/// A call that waits for a slot must be refused as soon as its target becomes so cold that it cannot start in time.
#[tokio::test]
async fn a_waiting_call_is_refused_when_its_target_becomes_cold() {
    let queue = AdmissionQueue::default();
    queue.open(1);
    queue.record_service_time("jobs", Duration::from_millis(10));
    queue.set_pace_limit(Some(PaceLimit::new(0.1, 1.0, 4.0, COLD_TIME)));
    for _ in 0..6 {
        drop(queue.acquire(request(WAIT_LIMIT)).await.expect("slot"));
    }
    let _running = queue.acquire(request(WAIT_LIMIT)).await.expect("slot");
    let waiting = queue.acquire(request(Duration::from_secs(4)));
    let chill = async {
        tokio::task::yield_now().await;
        queue.update_pace(|pace, now| pace.report_cold(COLD_TIME, now))
    };

    let (refused, _) = tokio::join!(timeout(Duration::from_secs(2), waiting), chill);

    let refused = refused.expect("no wake-up");
    assert!(
        matches!(refused, Err(AdmissionRefusal::Cold { .. })),
        "{refused:?}"
    );
    assert_eq!(queue.load().waiting, 0);
}

/// A call that waits for the pace must go on at once when its target turns out to be warm.
#[tokio::test]
async fn a_waiting_call_goes_on_when_its_target_is_warm() {
    let queue = cold_queue(0.5);
    exhaust(&queue).await;
    let waiting = queue.acquire(request(WAIT_LIMIT));
    let confirm = async {
        tokio::task::yield_now().await;
        queue.update_pace(|pace, _| pace.assume_warm())
    };

    let (admitted, _) = tokio::join!(timeout(Duration::from_secs(1), waiting), confirm);

    assert!(admitted.expect("no wake-up").is_ok());
}

/// Without a limit in the configuration, no doubt may limit a target.
#[tokio::test]
async fn without_a_limit_nothing_is_held_back() {
    let queue = AdmissionQueue::default();
    queue.open(1000);
    queue.start_in_doubt();
    queue.set_pace_limit(None);
    let raised = queue.update_pace(WarmupPace::raise_doubt);

    for _ in 0..500 {
        let admitted = queue.acquire(request(Duration::from_millis(1))).await;
        std::mem::forget(admitted.expect("a free slot"));
    }

    assert_eq!(raised, None);
    assert!(!queue.is_in_doubt());
    assert_eq!(queue.load().cold, None);
}

/// A node that was restarted beside a cold target must not take it for warm.
#[tokio::test]
async fn a_node_that_starts_counts_its_target_as_in_doubt() {
    let queue = AdmissionQueue::default();
    queue.open(1000);
    queue.start_in_doubt();

    queue.set_pace_limit(Some(PaceLimit::new(1.0, 1.0, 4.0, COLD_TIME)));
    let refused = queue.acquire(request(Duration::from_millis(200))).await;

    assert!(queue.is_in_doubt());
    assert!(matches!(refused, Err(AdmissionRefusal::Cold { .. })));
    timeout(WAIT_LIMIT, queue.check_wanted())
        .await
        .expect("a health check is asked for");
}

fn load(cold: Option<ColdLoad>) -> TargetLoad {
    TargetLoad {
        running: 3,
        waiting: 1,
        slots: 9,
        service_time: Duration::from_millis(100),
        route_time: Duration::from_millis(80),
        cold,
        relative_time: None,
    }
}

/// Entry nodes must learn how cold a target is, and the header of a warm one must stay as earlier nodes send it.
#[test]
fn the_load_header_tells_how_cold_a_target_is() {
    let cold = ColdLoad {
        left: Duration::from_millis(2500),
        interval: Duration::from_millis(77),
        room_in: Duration::from_millis(120),
    };
    let mut headers = HeaderMap::new();
    set_load(&mut headers, &load(None));
    let warm_text = headers[LOAD_HEADER].clone();
    let warm = take_load(&mut headers);
    set_load(&mut headers, &load(Some(cold)));
    let cold_text = headers[LOAD_HEADER].clone();

    let read = take_load(&mut headers);

    assert_eq!(warm_text, "3,1,9,100000,80000");
    assert_eq!(cold_text, "3,1,9,100000,80000,c2500000,i77000,r120000");
    assert_eq!(warm, Some(load(None)));
    assert_eq!(read, Some(load(Some(cold))));
}

/// A doubt at a node without a configuration must have no effect.
#[test]
fn a_node_without_a_configuration_doubts_nothing() {
    let context = mesh_node::context("first", "bunbury");

    context.apply_warmup_limit();
    context.doubt_target("test");

    assert!(!context.queue.is_in_doubt());
    assert!(context.queue.try_check());
}

/// The metrics must have the names that the operations page gives, and be absent where nothing is limited.
#[test]
fn the_metrics_of_cold_targets_have_their_documented_names() {
    let context = mesh_node::context("first", "bunbury");
    let before = context.metrics.render();

    context.metrics.set_cold_time(Duration::from_millis(2500));
    context.metrics.count_cold_refusal();

    let text = context.metrics.render();
    assert!(!before.contains("cold"), "{before}");
    assert!(
        text.contains("poplarwing_target_cold_time_seconds 2.5"),
        "{text}"
    );
    assert!(text.contains("poplarwing_cold_refusals_total 1"), "{text}");
}
