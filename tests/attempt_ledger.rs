//! Tests of the account of a call's attempts, over random orders of their ends.

use {
    poplarwing::attempts::attempt_ledger::{
        AttemptId, AttemptKind, AttemptLedger, AttemptLimits, AttemptState,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::collections::BTreeSet,
};

/// Calls that the property is tested with, one for each seed.
const CALLS: u64 = 20_000;

/// Steps of each call.
const STEPS: usize = 40;

/// Nodes that attempts may be sent to.
const NODES: usize = 6;

/// Ends of an attempt, other than being cancelled because another has answered.
const ENDS: [AttemptState; 5] = [
    AttemptState::Failed,
    AttemptState::Unknown,
    AttemptState::Shed,
    AttemptState::Full,
    AttemptState::NotRun,
];

/// What the targets saw of a call, kept beside the ledger.
#[derive(Default)]
struct TargetView {
    /// Node of each attempt.
    nodes: Vec<usize>,
    /// Nodes whose target has received the request, or may still receive it.
    received: BTreeSet<usize>,
    /// Nodes whose target has run the request, or may still run it.
    run: BTreeSet<usize>,
    /// Attempts that have not ended.
    running: Vec<AttemptId>,
    /// Retries taken from the budget.
    paid: usize,
    /// Most targets that had received the request at any time.
    most_received: usize,
}

impl TargetView {
    fn send(&mut self, node: usize, id: AttemptId) {
        self.nodes.push(node);
        self.received.insert(node);
        self.run.insert(node);
        self.running.push(id);
        self.most_received = self.most_received.max(self.received.len());
    }

    /// Removes what the end of an attempt rules out; an attempt that is lost or cancelled may have been received.
    fn end(&mut self, id: AttemptId, state: AttemptState) {
        self.running.retain(|running| *running != id);
        let node = self.nodes[id];
        if matches!(
            state,
            AttemptState::Shed | AttemptState::Full | AttemptState::NotRun
        ) {
            self.run.remove(&node);
        }
        if matches!(state, AttemptState::Full | AttemptState::NotRun) {
            self.received.remove(&node);
        }
    }
}

fn ledger(targets: u32, idempotent: bool) -> AttemptLedger {
    AttemptLedger::new(AttemptLimits {
        targets,
        idempotent,
    })
}

/// Plays one call: attempts are sent, end and are cancelled in a random order.
fn play(limits: AttemptLimits, rng: &mut StdRng) -> (AttemptLedger, TargetView) {
    let mut ledger = AttemptLedger::new(limits);
    let mut view = TargetView::default();
    for _ in 0..STEPS {
        match rng.random_range(0..4) {
            0 | 1 => {
                let node = rng.random_range(0..NODES);
                let has_budget = rng.random_bool(0.8);
                let sent = ledger.send(&node.to_string(), || {
                    view.paid += usize::from(has_budget);
                    has_budget
                });
                if let Some(id) = sent {
                    view.send(node, id);
                }
            }
            2 => {
                let state = *ENDS.choose(rng).expect("an end");
                if let Some(id) = view.running.choose(rng).copied() {
                    ledger.end(id, state);
                    view.end(id, state);
                }
            }
            _ => {
                if rng.random_bool(0.1) {
                    ledger.cancel_running();
                    view.running.clear();
                }
                if rng.random_bool(0.2) {
                    ledger.begin_last_round();
                }
            }
        }
    }
    (ledger, view)
}

/// Guards against an attempt that nobody counts, such as a dropped hedge: the request would reach more targets than
/// its route allows, run twice although it must not, or take arrivals from the budget that were not paid for.
#[test]
fn no_order_of_ends_breaks_the_limits_of_a_call() {
    for seed in 0..CALLS {
        let mut rng = StdRng::seed_from_u64(seed);
        let limits = AttemptLimits {
            targets: rng.random_range(1..=4),
            idempotent: rng.random_bool(0.5),
        };

        let (ledger, view) = play(limits, &mut rng);

        let received = view.received.len();
        assert!(
            view.most_received <= limits.targets as usize,
            "seed {seed}: {} targets of {limits:?}",
            view.most_received
        );
        assert!(
            limits.idempotent || view.run.len() <= 1,
            "seed {seed}: an unsafe request may have run on nodes {:?}",
            view.run
        );
        let paid = view.most_received.saturating_sub(1);
        assert_eq!(view.paid, paid, "seed {seed}: retries paid");
        assert_eq!(ledger.paid() as usize, view.paid, "seed {seed}");
        assert_eq!(ledger.arrivals() as usize, received, "seed {seed}");
        assert_eq!(ledger.may_have_run(), !view.run.is_empty(), "seed {seed}");
    }
}

/// Guards against the fault of the third target: a hedge was forgotten when the attempt before it failed.
#[test]
fn a_hedge_counts_while_it_runs_and_after_it_was_cancelled() {
    let mut ledger = ledger(2, true);
    let first = ledger.send("a", || true).expect("first attempt");
    ledger.send("b", || true).expect("hedge");

    ledger.end(first, AttemptState::Unknown);
    let while_it_runs = ledger.send("c", || true);
    ledger.cancel_running();
    let after_its_end = ledger.send("c", || true);

    assert_eq!((while_it_runs, after_its_end), (None, None));
    assert_eq!(ledger.sent()[1].kind, AttemptKind::Hedge);
    assert_eq!(ledger.asked(), ["a", "b"]);
}

/// Guards against paying twice for one arrival, which would use up the budget of a service that is full.
#[test]
fn a_paid_attempt_that_did_not_arrive_pays_for_the_next() {
    let mut ledger = ledger(2, true);
    let first = ledger.send("a", || false).expect("first attempt is free");
    ledger.end(first, AttemptState::Failed);
    let refused = ledger.send("b", || true).expect("paid retry");
    ledger.end(refused, AttemptState::NotRun);

    let next = ledger.send("c", || false);

    assert_eq!(next, Some(2));
    assert_eq!(ledger.paid(), 1);
}

/// Guards against asking a full node a third time, and against a last round for nodes that failed otherwise.
#[test]
fn only_full_nodes_are_asked_once_more() {
    let mut ledger = ledger(3, true);
    for (node, state) in [("a", AttemptState::Full), ("b", AttemptState::NotRun)] {
        let id = ledger.send(node, || true).expect("attempt");
        ledger.end(id, state);
    }
    assert_eq!(ledger.excluded(), ["a", "b"]);

    assert!(ledger.begin_last_round());
    assert_eq!(ledger.excluded(), ["b"]);
    let again = ledger
        .send("a", || true)
        .expect("second attempt at a full node");
    ledger.end(again, AttemptState::Full);

    assert_eq!(ledger.excluded(), ["b", "a"]);
    assert!(!ledger.begin_last_round());
}
