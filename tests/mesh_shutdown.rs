//! Tests of the rule by which a node takes calls while it shuts down.

use {
    poplarwing::mesh::shutdown::Shutdown,
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Grace period of a large installation.
const GRACE: Duration = Duration::from_secs(10);

/// Time within which something that must not happen would have happened.
const SHORT_TIME: Duration = Duration::from_millis(100);

fn shutdown_begun_at(now: Instant) -> Shutdown {
    let shutdown = Shutdown::default();
    shutdown.begin(now, GRACE);
    shutdown
}

/// Guards against a call that is taken late in the grace period and cut at its end.
#[test]
fn only_calls_whose_deadline_comes_before_the_exit_are_admitted() {
    let now = Instant::now();
    let shutdown = shutdown_begun_at(now);

    let admitted = |millis| shutdown.admits(now + Duration::from_millis(millis));

    assert!(admitted(0));
    assert!(admitted(9_000));
    assert!(!admitted(9_400));
    assert!(!admitted(11_900));
}

/// Guards against a node that refuses long calls although it does not shut down.
#[test]
fn a_running_node_admits_any_deadline() {
    let shutdown = Shutdown::default();

    assert!(shutdown.admits(Instant::now() + Duration::from_secs(3600)));
    assert!(!shutdown.has_begun());
}

/// Guards against calls that are taken when connections are closed already.
#[test]
fn a_closed_node_admits_no_call_but_lets_taken_ones_go_on() {
    let now = Instant::now();
    let shutdown = shutdown_begun_at(now);

    shutdown.close();

    assert!(!shutdown.admits(now));
    assert!(shutdown.can_end(now));
}

/// Guards against a second signal that moves the exit, by which calls have been taken.
#[test]
fn a_repeated_beginning_does_not_move_the_exit() {
    let now = Instant::now();
    let shutdown = shutdown_begun_at(now);

    shutdown.begin(now + Duration::from_secs(5), GRACE);

    assert!(!shutdown.admits(now + Duration::from_secs(10)));
}

/// Guards against a node that panics on a grace period shorter than the time it sets aside for its exit.
#[test]
fn a_grace_period_shorter_than_the_margin_admits_no_call() {
    let now = Instant::now();
    let shutdown = Shutdown::default();

    shutdown.begin(now, Duration::from_millis(500));

    assert!(!shutdown.admits(now));
    assert_eq!(shutdown.time_left(), Some(Duration::ZERO));
}

/// Guards against a call that goes on waiting for a slot although it would be cut after it got one.
#[tokio::test]
async fn a_waiting_call_is_refused_at_the_beginning_unless_it_can_end() {
    let now = Instant::now();
    let shutdown = Shutdown::default();
    let (long, short) = (now + Duration::from_secs(12), now + Duration::from_secs(2));
    let waiting = timeout(SHORT_TIME, shutdown.refuses_waiting(long)).await;
    assert!(waiting.is_err(), "refused without a shutdown");

    shutdown.begin(now, GRACE);

    let refused = timeout(SHORT_TIME, shutdown.refuses_waiting(long)).await;
    assert!(refused.is_ok());
    let kept = timeout(SHORT_TIME, shutdown.refuses_waiting(short)).await;
    assert!(kept.is_err(), "a call that can end was refused");
}
