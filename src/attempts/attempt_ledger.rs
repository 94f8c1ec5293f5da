//! Account of the attempts of one call, which decides whether another may be sent.

use crate::ids::NodeId;

/// Attempts at most for one call, counting those that a node refused.
const MAX_ATTEMPTS: usize = 8;

/// Position of an attempt in the ledger of its call.
pub type AttemptId = usize;

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptKind {
    /// It is the first of its call.
    First,
    /// All attempts before it had ended.
    Retry,
    /// An attempt before it was still running.
    Hedge,
}

/// State of an attempt: running, or how it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// It has been sent and has not ended.
    Running,
    /// Its response is that of the call.
    Answered,
    /// The target answered with a server error.
    Failed,
    /// It was lost on the way, or its response was; the target may have run the request.
    Unknown,
    /// It was ended because another attempt had answered; the target may have run the request.
    Cancelled,
    /// The target received the request and declined to run it.
    Shed,
    /// The node beside the target refused it because of the expected wait.
    Full,
    /// It did not reach the target.
    NotRun,
}

impl AttemptState {
    /// Returns whether the target may have received the request.
    fn may_have_arrived(self) -> bool {
        !matches!(self, Self::Full | Self::NotRun)
    }

    /// Returns whether the target may have run the request.
    fn may_have_run(self) -> bool {
        self.may_have_arrived() && self != Self::Shed
    }
}

/// One attempt of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentAttempt {
    /// Node beside the target.
    pub node: NodeId,
    /// Why it was sent.
    pub kind: AttemptKind,
    /// Whether it runs, or how it ended.
    pub state: AttemptState,
    /// Whether it was sent in the last round, in which nodes that were full are asked once more.
    in_last_round: bool,
}

/// Limits of the route for the attempts of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptLimits {
    /// Targets at most that may receive the request.
    pub targets: u32,
    /// Whether more than one target may run the request.
    pub idempotent: bool,
}

/// All attempts of one call. Each is counted when it is sent; only a refusal which states that the request did not
/// reach the target takes its arrival back.
#[derive(Clone, Debug)]
pub struct AttemptLedger {
    limits: AttemptLimits,
    /// Attempts in the order in which they were sent. At most `limits.targets` of them may have arrived, and at most
    /// one may have run unless the request is idempotent.
    sent: Vec<SentAttempt>,
    /// Retries taken from the budget: the greatest number of arrivals beyond the first at any time.
    paid: u32,
    /// Whether all nodes were full, so that each is asked once more and the call accepts any wait within its latency
    /// objective.
    is_last_round: bool,
}

impl AttemptLedger {
    /// Returns the ledger of a call without attempts. A route without a target for the first attempt counts as one
    /// with a single target.
    pub fn new(limits: AttemptLimits) -> Self {
        let targets = limits.targets.max(1);
        Self {
            limits: AttemptLimits { targets, ..limits },
            sent: Vec::new(),
            paid: 0,
            is_last_round: false,
        }
    }

    /// Records an attempt that is about to be sent to a node; none if it must not be sent. `pay` takes one retry from
    /// the budget and is called only if this attempt needs one.
    pub fn send(&mut self, node: &str, pay: impl FnOnce() -> bool) -> Option<AttemptId> {
        if !self.allows_another() || self.excludes(node) {
            return None;
        }
        if self.needs_payment() {
            if !pay() {
                return None;
            }
            self.paid += 1;
        }
        self.sent.push(SentAttempt {
            node: node.to_owned(),
            kind: self.next_kind(),
            state: AttemptState::Running,
            in_last_round: self.is_last_round,
        });
        Some(self.sent.len() - 1)
    }

    /// Records the end of a running attempt. The first end stands.
    pub fn end(&mut self, id: AttemptId, state: AttemptState) {
        let running = self.sent.get_mut(id);
        let running = running.filter(|attempt| attempt.state == AttemptState::Running);
        if let Some(attempt) = running {
            attempt.state = state;
        }
    }

    /// Records that all running attempts are cancelled.
    pub fn cancel_running(&mut self) {
        for id in 0..self.sent.len() {
            self.end(id, AttemptState::Cancelled);
        }
    }

    /// Returns whether the limits of the route allow another attempt.
    pub fn allows_another(&self) -> bool {
        self.sent.len() < MAX_ATTEMPTS
            && self.arrivals() < self.limits.targets
            && (self.limits.idempotent || !self.may_have_run())
    }

    /// Returns whether the next attempt takes a retry from the budget. One that was paid for and did not arrive has
    /// paid for the next.
    pub fn needs_payment(&self) -> bool {
        self.arrivals() > self.paid
    }

    /// Returns the number of targets that may have received the request.
    pub fn arrivals(&self) -> u32 {
        let arrived = self.sent.iter();
        arrived.filter(|sent| sent.state.may_have_arrived()).count() as u32
    }

    /// Returns the number of retries taken from the budget.
    pub fn paid(&self) -> u32 {
        self.paid
    }

    /// Returns whether a target may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.sent.iter().any(|sent| sent.state.may_have_run())
    }

    /// Returns all attempts in the order in which they were sent.
    pub fn sent(&self) -> &[SentAttempt] {
        &self.sent
    }

    /// Returns the attempt whose response is that of the call.
    pub fn answered(&self) -> Option<&SentAttempt> {
        let mut sent = self.sent.iter();
        sent.find(|sent| sent.state == AttemptState::Answered)
    }

    /// Returns the nodes that must not be selected for the next attempt.
    pub fn excluded(&self) -> Vec<NodeId> {
        let excluded = self.sent.iter().filter(|sent| !self.may_ask_again(sent));
        excluded.map(|sent| sent.node.clone()).collect()
    }

    /// Returns all nodes that an attempt was sent to.
    pub fn asked(&self) -> Vec<NodeId> {
        self.sent.iter().map(|sent| sent.node.clone()).collect()
    }

    /// Begins the last round if there is a node that was full; returns whether it has begun now.
    pub fn begin_last_round(&mut self) -> bool {
        let was_full = |sent: &SentAttempt| sent.state == AttemptState::Full;
        if self.is_last_round || !self.sent.iter().any(was_full) {
            return false;
        }
        self.is_last_round = true;
        true
    }

    /// Returns whether the call is in its last round.
    pub fn is_last_round(&self) -> bool {
        self.is_last_round
    }

    fn excludes(&self, node: &str) -> bool {
        let mut sent = self.sent.iter();
        sent.any(|sent| sent.node == node && !self.may_ask_again(sent))
    }

    fn may_ask_again(&self, sent: &SentAttempt) -> bool {
        self.is_last_round && !sent.in_last_round && sent.state == AttemptState::Full
    }

    fn next_kind(&self) -> AttemptKind {
        let is_running = |sent: &SentAttempt| sent.state == AttemptState::Running;
        match self.sent.as_slice() {
            [] => AttemptKind::First,
            sent if sent.iter().any(is_running) => AttemptKind::Hedge,
            _ => AttemptKind::Retry,
        }
    }
}
