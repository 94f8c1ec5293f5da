//! The planner of moves: phases, deadlines, lost targets and controller restarts.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;

use {
    bolero::TypeGenerator,
    fixed_seeds::for_each_seed,
    poplarwing::{
        config::{MovePhase, MovePolicy, MovePreference, ServiceKey, TrafficSplit},
        move_controller::{
            plan::{
                HoldReason, MoveProgress, MoveRefusal, MoveSituation, MoveStep, StepReason,
                VersionStart, VersionTargets, cancel_move, changed_split, is_running, plan_step,
                start_move,
            },
            schedule::{TAKEOVER_PERMILLE, share_steps},
        },
        move_verdict::{BadCount, BadKind, MoveVerdict, VerdictEvidence},
        veto_table::VetoRecord,
    },
    std::time::Duration,
};

const START_MS: u64 = 1_000_000;
const SECOND_MS: u64 = 1000;

fn policy(prefer: MovePreference) -> MovePolicy {
    MovePolicy {
        prefer,
        finish_within: Duration::from_secs(600),
        canary_permille: 50,
        watch_for: Duration::from_secs(120),
    }
}

fn evidence() -> VerdictEvidence {
    VerdictEvidence {
        route: None,
        kind: BadKind::FailedOrSlow,
        candidate: BadCount { calls: 80, bad: 4 },
        stable: BadCount {
            calls: 800,
            bad: 40,
        },
        statistic: 3.1,
        threshold: 3.0,
    }
}

fn undecided(suspicious: bool) -> MoveVerdict {
    MoveVerdict::Undecided {
        evidence: evidence(),
        suspicious,
        alarmed: false,
    }
}

fn good() -> MoveVerdict {
    MoveVerdict::Good(evidence())
}

fn bad() -> MoveVerdict {
    MoveVerdict::Bad(evidence())
}

fn stable_split() -> TrafficSplit {
    TrafficSplit {
        key: ServiceKey {
            customer: "kestrel".to_owned(),
            service: "ledger".to_owned(),
        },
        stable: "v1".to_owned(),
        candidate_permille: 0,
        current_move: None,
    }
}

fn version_start(candidate: &str) -> VersionStart {
    VersionStart {
        id: 7,
        candidate: candidate.to_owned(),
        started_at_ms: START_MS,
        finish_within: Duration::from_secs(600),
        operator: "ada".to_owned(),
    }
}

fn four_targets() -> VersionTargets {
    VersionTargets {
        candidate: 4,
        candidate_slots: 24,
        stable: 4,
        stable_slots: 24,
    }
}

/// Applies the planner once a second, like a controller whose writes all succeed.
struct PlannedMove {
    split: TrafficSplit,
    progress: MoveProgress,
    veto: Option<VetoRecord>,
    now_ms: u64,
}

impl PlannedMove {
    fn start() -> Self {
        let split = start_move(&stable_split(), &version_start("v2")).expect("no move is running");
        let current = split.current_move.as_ref().expect("a move was started");
        let progress = MoveProgress::new(current, 0, START_MS);
        Self {
            split,
            progress,
            veto: None,
            now_ms: START_MS,
        }
    }

    fn at(phase: MovePhase, permille: u32) -> Self {
        let mut planned = Self::start();
        planned.split.candidate_permille = permille;
        if let Some(current) = &mut planned.split.current_move {
            current.phase = phase;
        }
        planned
            .progress
            .observe(&planned.split, &four_targets(), START_MS);
        planned
    }

    fn plan(
        &mut self,
        verdict: &MoveVerdict,
        targets: &VersionTargets,
        policy: &MovePolicy,
    ) -> MoveStep {
        self.now_ms += SECOND_MS;
        self.progress.observe(&self.split, targets, self.now_ms);
        let state = MoveSituation {
            split: self.split.clone(),
            veto: self.veto.clone(),
            progress: self.progress.clone(),
        };
        plan_step(&state, verdict, targets, policy, self.now_ms)
    }

    fn step(&mut self, verdict: &MoveVerdict, targets: &VersionTargets, policy: &MovePolicy) {
        match self.plan(verdict, targets, policy) {
            MoveStep::Hold(_) => {}
            MoveStep::Change(change) | MoveStep::VetoAndTakeBack(change) => {
                self.split = changed_split(&self.split, &change);
            }
        }
    }

    fn phase(&self) -> MovePhase {
        self.split
            .current_move
            .as_ref()
            .map_or(MovePhase::Done, |current| current.phase)
    }

    fn run_for(&mut self, seconds: u32, verdict: &MoveVerdict, policy: &MovePolicy) {
        for _ in 0..seconds {
            self.step(verdict, &four_targets(), policy);
        }
    }
}

/// Guards against a good version that takes over after its deadline, and against a move that skips a step.
#[test]
fn good_candidate_takes_over_before_the_deadline() {
    let policy = policy(MovePreference::Safety);
    let mut planned = PlannedMove::start();
    let mut shares = vec![0];

    while planned.phase() != MovePhase::Watch && planned.now_ms < START_MS + 700 * SECOND_MS {
        planned.step(&good(), &four_targets(), &policy);
        if shares.last() != Some(&planned.split.candidate_permille) {
            shares.push(planned.split.candidate_permille);
        }
    }
    let took_over_ms = planned.now_ms;
    planned.run_for(125, &good(), &policy);

    assert_eq!(shares, vec![0, 50, 250, 500, TAKEOVER_PERMILLE]);
    assert!(took_over_ms < START_MS + 600 * SECOND_MS);
    assert_eq!(planned.phase(), MovePhase::Done);
    assert_eq!(planned.split.stable, "v2");
    assert_eq!(planned.split.candidate_permille, 0);
}

/// Guards against a missed deadline although the candidate was accepted early enough for all remaining steps.
#[test]
fn late_evidence_still_reaches_takeover_before_the_deadline() {
    let policy = policy(MovePreference::Safety);
    let mut planned = PlannedMove::start();
    planned.run_for(460, &undecided(false), &policy);
    let held = planned.phase();

    planned.run_for(135, &good(), &policy);

    assert_eq!(held, MovePhase::Canary);
    assert_eq!(planned.phase(), MovePhase::Watch);
}

/// Guards against an undecided version that takes over although the contract prefers safety.
#[test]
fn safety_preference_takes_back_an_undecided_candidate() {
    let policy = policy(MovePreference::Safety);
    let mut planned = PlannedMove::start();

    planned.run_for(600, &undecided(false), &policy);

    assert_eq!(planned.phase(), MovePhase::TakenBack);
    assert_eq!(planned.split.candidate_permille, 0);
    assert_eq!(planned.split.stable, "v1");
}

/// Guards against a version that misses its deadline although the contract prefers punctuality and there is no
/// evidence against the version.
#[test]
fn punctuality_preference_goes_on_with_an_undecided_candidate() {
    let policy = policy(MovePreference::Punctuality);
    let mut planned = PlannedMove::start();

    planned.run_for(598, &undecided(false), &policy);

    assert_eq!(planned.phase(), MovePhase::Watch);
}

/// Guards against a suspicious version that takes over because the contract prefers punctuality.
#[test]
fn punctuality_preference_takes_back_a_suspicious_candidate() {
    let policy = policy(MovePreference::Punctuality);
    let mut planned = PlannedMove::start();

    planned.run_for(600, &undecided(true), &policy);

    assert_eq!(planned.phase(), MovePhase::TakenBack);
}

/// Guards against a canary that starts without targets, and against a move that waits past its deadline.
#[test]
fn candidate_without_targets_waits_and_is_then_taken_back() {
    let policy = policy(MovePreference::Punctuality);
    let no_candidate = VersionTargets {
        candidate: 0,
        candidate_slots: 0,
        ..four_targets()
    };
    let mut planned = PlannedMove::start();

    let first = planned.plan(&undecided(false), &no_candidate, &policy);
    for _ in 0..600 {
        planned.step(&undecided(false), &no_candidate, &policy);
    }

    assert_eq!(first, MoveStep::Hold(HoldReason::AwaitsTargets));
    assert_eq!(planned.phase(), MovePhase::TakenBack);
}

/// Guards against a share for a version that has lost all its targets.
#[test]
fn candidate_that_loses_its_targets_waits_with_share_zero() {
    let policy = policy(MovePreference::Safety);
    let no_candidate = VersionTargets {
        candidate: 0,
        candidate_slots: 0,
        ..four_targets()
    };
    let mut planned = PlannedMove::at(MovePhase::Ramp, 250);
    planned.step(&good(), &no_candidate, &policy);
    let phase_at_first = planned.phase();

    for _ in 0..12 {
        planned.step(&good(), &no_candidate, &policy);
    }

    assert_eq!(phase_at_first, MovePhase::Ramp);
    assert_eq!(planned.phase(), MovePhase::Waiting);
    assert_eq!(planned.split.candidate_permille, 0);
}

/// Guards against a share that overloads the remaining targets of a candidate, and against one that stays low
/// after the targets have returned.
#[test]
fn candidate_that_loses_half_its_slots_gets_a_smaller_share() {
    let policy = policy(MovePreference::Safety);
    let half_of_the_slots = VersionTargets {
        candidate: 2,
        candidate_slots: 12,
        ..four_targets()
    };
    let mut planned = PlannedMove::at(MovePhase::Watch, TAKEOVER_PERMILLE);

    planned.step(&good(), &half_of_the_slots, &policy);
    let lowered = planned.split.candidate_permille;
    planned.step(&good(), &four_targets(), &policy);

    assert_eq!(lowered, 750);
    assert_eq!(planned.split.candidate_permille, TAKEOVER_PERMILLE);
    assert_eq!(planned.phase(), MovePhase::Watch);
}

/// Guards against a watch that never ends because the old version has been shut down.
#[test]
fn watch_ends_when_the_old_targets_are_gone() {
    let policy = policy(MovePreference::Safety);
    let candidate_alone = VersionTargets {
        stable: 0,
        stable_slots: 0,
        ..four_targets()
    };
    let mut planned = PlannedMove::at(MovePhase::Watch, TAKEOVER_PERMILLE);

    for _ in 0..125 {
        planned.step(&undecided(false), &candidate_alone, &policy);
    }

    assert_eq!(planned.phase(), MovePhase::Done);
}

/// Guards against a candidate that is accepted without calls of the stable version to compare it with.
#[test]
fn canary_without_old_targets_follows_the_preference() {
    let candidate_alone = VersionTargets {
        stable: 0,
        stable_slots: 0,
        ..four_targets()
    };
    let run = |prefer| {
        let mut planned = PlannedMove::at(MovePhase::Canary, 50);
        for _ in 0..598 {
            planned.step(&undecided(false), &candidate_alone, &policy(prefer));
        }
        planned.phase()
    };

    assert_eq!(run(MovePreference::Safety), MovePhase::TakenBack);
    assert_eq!(run(MovePreference::Punctuality), MovePhase::Watch);
}

/// Guards against a restarted controller that enters the next step before it has collected evidence again.
#[test]
fn restarted_controller_stays_in_the_phase() {
    let policy = policy(MovePreference::Safety);
    let mut planned = PlannedMove::at(MovePhase::Ramp, 250);
    let current = planned.split.current_move.clone().expect("a move runs");
    planned.now_ms = START_MS + 300 * SECOND_MS;
    planned.progress = MoveProgress::new(&current, 250, planned.now_ms);

    let first = planned.plan(&undecided(false), &four_targets(), &policy);

    assert!(matches!(
        first,
        MoveStep::Hold(HoldReason::AwaitsEvidence(_))
    ));
    assert_eq!(planned.progress.since_ms, START_MS + 300 * SECOND_MS);
}

/// Guards against any other step of a vetoed move while the write that takes it back fails.
#[test]
fn vetoed_move_is_only_taken_back() {
    let policy = policy(MovePreference::Punctuality);
    let mut planned = PlannedMove::at(MovePhase::Ramp, 250);
    planned.veto = Some(VetoRecord {
        key: stable_split().key,
        move_id: 7,
        issuer: "n3".to_owned(),
        reason: "jobs: failed".to_owned(),
    });

    for verdict in [good(), undecided(false), bad()] {
        let MoveStep::Change(change) = planned.plan(&verdict, &four_targets(), &policy) else {
            panic!("expected the move to be taken back");
        };
        assert_eq!(change.step.phase, MovePhase::TakenBack);
        assert!(matches!(change.reason, StepReason::Vetoed { .. }));
    }
}

/// Guards against a canary share above the one that a newer contract allows.
#[test]
fn lowered_canary_share_takes_effect_during_the_canary() {
    let mut policy = policy(MovePreference::Safety);
    let mut planned = PlannedMove::at(MovePhase::Canary, 50);
    policy.canary_permille = 20;

    planned.step(&undecided(false), &four_targets(), &policy);

    assert_eq!(planned.split.candidate_permille, 20);
    assert_eq!(planned.phase(), MovePhase::Canary);
}

/// Guards against a suspicious version that keeps its share, becomes stable at the end of its watch, or stays
/// in its watch for ever.
#[test]
fn suspicion_lowers_the_share_and_takes_back_if_it_persists() {
    let run = |prefer, seconds| {
        let mut planned = PlannedMove::at(MovePhase::Watch, TAKEOVER_PERMILLE);
        planned.run_for(seconds, &undecided(true), &policy(prefer));
        (planned.phase(), planned.split.candidate_permille)
    };

    for prefer in [MovePreference::Safety, MovePreference::Punctuality] {
        assert_eq!(run(prefer, 1), (MovePhase::Watch, 500));
        assert_eq!(run(prefer, 200), (MovePhase::Watch, 500));
        assert_eq!(run(prefer, 245), (MovePhase::TakenBack, 0));
    }
}

/// Guards against a good version whose share stays low after a short disturbance.
#[test]
fn share_rises_again_once_the_suspicion_has_passed() {
    let policy = policy(MovePreference::Safety);
    let mut planned = PlannedMove::at(MovePhase::Watch, TAKEOVER_PERMILLE);
    planned.run_for(20, &undecided(true), &policy);
    let lowered = planned.split.candidate_permille;

    planned.run_for(1, &good(), &policy);

    assert_eq!(lowered, 500);
    assert_eq!(planned.split.candidate_permille, TAKEOVER_PERMILLE);
}

/// Guards against a fault under load that disappears because a suspicion lowers the load.
#[test]
fn suspicion_in_the_ramp_keeps_the_share() {
    let policy = policy(MovePreference::Punctuality);
    let mut planned = PlannedMove::at(MovePhase::Ramp, 250);

    planned.run_for(100, &undecided(true), &policy);

    assert_eq!(planned.phase(), MovePhase::Ramp);
    assert_eq!(planned.split.candidate_permille, 250);
}

/// Guards against two moves of one service at the same time.
#[test]
fn second_version_is_refused_while_a_move_runs() {
    let running = PlannedMove::at(MovePhase::Ramp, 250).split;

    let refused = start_move(&running, &version_start("v3"));
    let same = start_move(&stable_split(), &version_start("v1"));

    assert!(matches!(refused, Err(MoveRefusal::MoveRunning { .. })));
    assert!(matches!(same, Err(MoveRefusal::AlreadyStable { .. })));
}

/// Guards against a cancelled move whose candidate keeps a share or whose controller plans further steps.
#[test]
fn cancelled_move_has_no_share_and_no_further_step() {
    let policy = policy(MovePreference::Punctuality);
    let mut planned = PlannedMove::at(MovePhase::Ramp, 250);

    planned.split = cancel_move(&planned.split, &"ada".to_owned()).expect("a move runs");
    let next = planned.plan(&good(), &four_targets(), &policy);
    let again = cancel_move(&planned.split, &"ada".to_owned());

    assert_eq!(planned.split.candidate_permille, 0);
    assert_eq!(next, MoveStep::Hold(HoldReason::NoMove));
    assert_eq!(again, Err(MoveRefusal::NotRunning));
}

/// Guards against ramp shares that load the candidate's targets less than full traffic will, and against steps
/// whose shares do not rise.
#[test]
fn ramp_shares_rise_and_fill_whole_targets() {
    for targets in 0..=40 {
        let shares: Vec<u32> = share_steps(50, targets)
            .iter()
            .map(|step| step.permille)
            .collect();
        assert!(
            shares.windows(2).all(|pair| pair[0] < pair[1]),
            "{shares:?}"
        );
        assert!(shares.iter().all(|share| *share <= TAKEOVER_PERMILLE));
    }
    let shares_of_nine_targets: Vec<u32> = share_steps(50, 9)
        .iter()
        .map(|step| step.permille)
        .collect();
    assert_eq!(
        shares_of_nine_targets,
        vec![50, 222, 444, TAKEOVER_PERMILLE]
    );
}

/// A random verdict and random targets, which the planner sees for `repeat + 1` seconds.
#[derive(Clone, Debug, TypeGenerator)]
struct RandomSecond {
    verdict: u8,
    candidate: u8,
    stable: u8,
    repeat: u8,
    lost_write: bool,
}

impl RandomSecond {
    fn verdict(&self) -> MoveVerdict {
        match self.verdict % 16 {
            0 => bad(),
            1 | 2 => undecided(true),
            3..=8 => undecided(false),
            _ => good(),
        }
    }

    fn targets(&self) -> VersionTargets {
        let (candidate, stable) = (u32::from(self.candidate % 6), u32::from(self.stable % 6));
        VersionTargets {
            candidate,
            candidate_slots: candidate * 6,
            stable,
            stable_slots: stable * 6,
        }
    }
}

/// Guards against a share above the canary share before any good verdict if the contract prefers safety, and
/// against any share after a bad verdict.
#[test]
fn unproven_or_bad_candidate_never_gets_more_than_its_share() {
    for_each_seed(1000, |seconds: Vec<RandomSecond>| {
        let policy = policy(MovePreference::Safety);
        let mut planned = PlannedMove::start();
        let mut proven = false;
        let mut found_bad = false;
        for second in &seconds {
            let verdict = second.verdict();
            proven |= matches!(verdict, MoveVerdict::Good(_));
            found_bad |= matches!(verdict, MoveVerdict::Bad(_)) && is_running(planned.phase());
            for _ in 0..=second.repeat {
                planned.step(&verdict, &second.targets(), &policy);
                let share = planned.split.candidate_permille;
                assert!(proven || share <= policy.canary_permille);
                assert!(!found_bad || (share == 0 && planned.split.stable == "v1"));
            }
        }
    });
}

/// Guards against a vetoed move that ends in another phase than taken back, whatever the verdicts and however many
/// writes are lost.
#[test]
fn vetoed_move_ends_taken_back() {
    for_each_seed(1000, |seconds: Vec<RandomSecond>| {
        let policy = policy(MovePreference::Punctuality);
        let mut planned = PlannedMove::at(MovePhase::Ramp, 250);
        planned.veto = Some(VetoRecord {
            key: stable_split().key,
            move_id: 7,
            issuer: "n3".to_owned(),
            reason: "jobs: failed".to_owned(),
        });
        for second in &seconds {
            let before = planned.split.clone();
            planned.step(&second.verdict(), &second.targets(), &policy);
            assert_eq!(planned.phase(), MovePhase::TakenBack);
            if second.lost_write {
                planned.split = before;
            }
        }
    });
}
