//! The running test and the progress of one move.

use {
    super::plan::{MoveProgress, MoveState, MoveStep, VersionTargets, plan_step},
    crate::{
        config::{MovePolicy, TrafficSplit},
        ids::ConfigVersion,
        move_verdict::{
            MoveVerdict, VerdictPolicy, VerdictTest,
            counter_history::{CounterHistory, CounterReading},
        },
        veto_table::VetoRecord,
    },
    std::time::Duration,
};

/// What a controller knows at one tick.
#[derive(Clone, Debug)]
pub struct DriveInput<'a> {
    /// Division of calls in force.
    pub split: &'a TrafficSplit,
    /// Veto against the candidate of the current move.
    pub veto: Option<&'a VetoRecord>,
    /// Counter readings that arrived since the last tick.
    pub readings: &'a [CounterReading],
    /// Targets of both versions.
    pub targets: VersionTargets,
    /// Rules of the contract in force.
    pub policy: &'a MovePolicy,
    /// Monotonic time.
    pub now: Duration,
    /// Milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// What a controller is to do, and the verdict that led to it.
#[derive(Clone, Debug, PartialEq)]
pub struct DrivePlan {
    /// State of the test.
    pub verdict: MoveVerdict,
    /// Next step.
    pub step: MoveStep,
}

/// The running test and the progress of one move; a new controller starts both anew.
#[derive(Clone, Debug)]
pub struct MoveDrive {
    progress: MoveProgress,
    history: CounterHistory,
    test: VerdictTest,
}

impl MoveDrive {
    /// Returns a drive for the split's current move, or none without a move.
    pub fn new(split: &TrafficSplit, policy: &VerdictPolicy, now_ms: u64) -> Option<Self> {
        let current = split.current_move.as_ref()?;
        Some(Self {
            progress: MoveProgress::new(current, split.candidate_permille, now_ms),
            history: CounterHistory::new(policy.warm_calls, policy.warm_time),
            test: VerdictTest::new(&current.candidate, &split.stable, policy.clone()),
        })
    }

    /// Returns the identifier of the move.
    pub fn move_id(&self) -> ConfigVersion {
        self.progress.move_id
    }

    /// Takes in the evidence and plans the next step.
    pub fn tick(&mut self, input: &DriveInput) -> DrivePlan {
        let differences = self.history.differences(input.readings, input.now);
        self.test.add(&differences);
        let begins = self
            .progress
            .observe(input.split, &input.targets, input.now_ms);
        if begins {
            self.test.begin_step();
        }
        let state = MoveState {
            split: input.split.clone(),
            veto: input.veto.cloned(),
            progress: self.progress.clone(),
        };
        let verdict = self.test.verdict();
        let step = plan_step(&state, &verdict, &input.targets, input.policy, input.now_ms);
        DrivePlan { verdict, step }
    }
}
