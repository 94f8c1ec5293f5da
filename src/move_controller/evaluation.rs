//! Evaluation of one move: updates the test of its candidate with each tick and plans the next step.

use {
    super::plan::{MoveProgress, MoveSituation, MoveStep, VersionTargets, plan_step},
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

/// Inputs of a controller at one tick.
#[derive(Clone, Debug)]
pub struct TickInput<'a> {
    /// Division of calls in the configuration in force.
    pub split: &'a TrafficSplit,
    /// Veto against the candidate of the current move, if one is in force.
    pub veto: Option<&'a VetoRecord>,
    /// Counter readings that arrived since the last tick.
    pub readings: &'a [CounterReading],
    /// Available targets of both versions.
    pub targets: VersionTargets,
    /// Rules for moves in the contract in force.
    pub policy: &'a MovePolicy,
    /// Monotonic time since the controller was created.
    pub now: Duration,
    /// System time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Next step of a controller, and the verdict that it was planned with.
#[derive(Clone, Debug, PartialEq)]
pub struct TickPlan {
    /// Result of the test so far.
    pub verdict: MoveVerdict,
    /// Next step.
    pub step: MoveStep,
}

/// Test and progress of one move; neither is stored, so a new controller restarts both.
#[derive(Clone, Debug)]
pub struct MoveEvaluation {
    progress: MoveProgress,
    history: CounterHistory,
    test: VerdictTest,
}

impl MoveEvaluation {
    /// Returns an evaluation without evidence for the split's current move, or none without a move.
    pub fn new(split: &TrafficSplit, policy: &VerdictPolicy, now_ms: u64) -> Option<Self> {
        let current = split.current_move.as_ref()?;
        Some(Self {
            progress: MoveProgress::new(current, split.candidate_permille, now_ms),
            history: CounterHistory::new(policy.warm_up_calls, policy.warm_up_time),
            test: VerdictTest::new(&current.candidate, &split.stable, policy.clone()),
        })
    }

    /// Returns the identifier of the move.
    pub fn move_id(&self) -> ConfigVersion {
        self.progress.move_id
    }

    /// Adds the readings of one tick to the test and plans the next step.
    pub fn tick(&mut self, input: &TickInput) -> TickPlan {
        let differences = self.history.differences(input.readings, input.now);
        self.test.add(&differences);
        let step_began = self
            .progress
            .observe(input.split, &input.targets, input.now_ms);
        if step_began {
            self.test.begin_step();
        }
        let state = MoveSituation {
            split: input.split.clone(),
            veto: input.veto.cloned(),
            progress: self.progress.clone(),
        };
        let verdict = self.test.verdict();
        let step = plan_step(&state, &verdict, &input.targets, input.policy, input.now_ms);
        TickPlan { verdict, step }
    }
}
