//! Leases under paused processes, clock jumps and lost replies of the store.

use {
    bolero::generator::bolero_generator::{TypeGenerator, produce},
    poplarwing::{
        config::ServiceKey,
        config_store::{ChangeAuthor, CommitError, ConfigStore},
        lease::{LeaseClient, LeaseName, LeaseProof, LeaseState},
        platform_store::{PlatformStore, TransactOutcome},
    },
    poplarwing_standins::platform::PlatformStandin,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::store::{cases, customer_change, start_platform, store_of, write_faults},
};

mod support {
    pub mod store;
}

const TIME_TO_LIVE: Duration = Duration::from_secs(9);

/// Interval between the steps of a client.
const STEP: Duration = Duration::from_secs(1);

/// Random cases per test.
const CASES: u64 = 60;

fn lease_name() -> LeaseName {
    LeaseName::Move(ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    })
}

fn client(store: &PlatformStore, holder: &str) -> LeaseClient {
    LeaseClient::new(store.clone(), lease_name(), holder.to_owned(), TIME_TO_LIVE)
}

/// Steps a client once per simulated second until it holds the lease; returns the simulated time needed.
async fn take_over(client: &mut LeaseClient, from: Instant) -> Duration {
    let mut waited = Duration::ZERO;
    while !matches!(
        client.step(from + waited).await.unwrap(),
        LeaseState::Held(_)
    ) {
        waited += STEP;
        assert!(waited < 3 * TIME_TO_LIVE, "the lease was never taken over");
    }
    waited
}

/// Guards against two controllers that commit steps of one move: a holder that was paused beyond its lease
/// must fail by its fencing token.
#[tokio::test]
async fn a_paused_holder_cannot_commit() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let config = ConfigStore::new(store.clone());
    let (mut paused, mut rival) = (client(&store, "node-a"), client(&store, "node-b"));
    let begin = Instant::now();
    paused.step(begin).await.unwrap();
    let proof = paused.proof(begin).unwrap();

    take_over(&mut rival, begin + STEP).await;
    let mut change = customer_change(Arc::default(), "kestrel", 10);
    change.author = ChangeAuthor::Controller {
        node: "node-a".to_owned(),
        lease: proof,
    };
    let outcome = config.commit(change).await;

    assert!(
        matches!(outcome, Err(CommitError::LeaseLost { .. })),
        "{outcome:?}"
    );
    assert_eq!(config.head().await.unwrap().version, 0);
    assert_eq!(paused.proof(begin + TIME_TO_LIVE), None);
}

/// Guards against a check that also rejects the commits of the present holder.
#[tokio::test]
async fn the_holder_of_a_lease_can_commit() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let mut holder = client(&store, "node-a");
    let begin = Instant::now();
    holder.step(begin).await.unwrap();
    holder.step(begin + TIME_TO_LIVE / 2).await.unwrap();

    let mut change = customer_change(Arc::default(), "kestrel", 10);
    change.author = ChangeAuthor::Controller {
        node: "node-a".to_owned(),
        lease: holder.proof(begin + TIME_TO_LIVE).unwrap(),
    };

    assert_eq!(
        ConfigStore::new(store)
            .commit(change)
            .await
            .unwrap()
            .version,
        1
    );
}

/// Guards against a contender that takes over before the time to live has passed, or much later.
#[tokio::test]
async fn a_contender_waits_for_the_time_to_live() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let begin = Instant::now();
    client(&store, "node-a").step(begin).await.unwrap();

    let waited = take_over(&mut client(&store, "node-b"), begin).await;

    assert_eq!(waited, TIME_TO_LIVE + STEP);
}

/// Guards against a contender that takes over early because a jump of its clock, or a pause of its process,
/// counts as time observed.
#[tokio::test]
async fn a_jump_of_the_contenders_clock_does_not_end_a_lease() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let begin = Instant::now();
    client(&store, "node-a").step(begin).await.unwrap();
    let mut contender = client(&store, "node-b");

    contender.step(begin).await.unwrap();
    contender.step(begin + STEP).await.unwrap();
    let state = contender.step(begin + 100 * TIME_TO_LIVE).await.unwrap();

    assert!(matches!(state, LeaseState::Observed { .. }), "{state}");
}

/// Guards against a released lease that blocks the next holder, and against a fencing token that is reused.
#[tokio::test]
async fn a_released_lease_is_free_at_once_and_its_token_grows() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let (mut first, mut second) = (client(&store, "node-a"), client(&store, "node-b"));
    let begin = Instant::now();
    first.step(begin).await.unwrap();
    let before = first.proof(begin).unwrap();

    first.release().await.unwrap();
    second.step(begin).await.unwrap();

    assert_eq!(first.proof(begin), None);
    assert!(second.proof(begin).unwrap().token > before.token);
}

/// Guards against a holder that waits for its own lease to expire after the reply to a renewal was lost.
#[tokio::test]
async fn a_lost_reply_to_a_renewal_does_not_end_the_lease() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let mut holder = client(&store, "node-a");
    let begin = Instant::now();
    holder.step(begin).await.unwrap();

    platform.set_faults(write_faults(1, 0));
    holder.step(begin + TIME_TO_LIVE / 3).await.unwrap_err();
    let proof = holder.proof(begin + TIME_TO_LIVE / 3);
    let held = holder.is_held(begin + TIME_TO_LIVE / 3);
    let state = holder.step(begin + TIME_TO_LIVE / 2).await.unwrap();

    assert_eq!((proof, held), (None, true));
    assert!(matches!(state, LeaseState::Held(_)), "{state}");
}

/// One random step of one of two clients, with a fault of its clock or of the store.
#[derive(Clone, Debug, TypeGenerator)]
struct KeeperStep {
    /// Whether the second client makes the step.
    second: bool,
    /// Time since the step before, in quarters of a second.
    advance_quarters: u8,
    /// Selects whether the client's clock stops, resumes or jumps before the step.
    clock: u8,
    /// Selects whether the reply to a write is lost or the write is dropped.
    fault: u8,
}

/// Two clients that contend for one lease, each with its own simulated clock.
struct LeaseRace {
    platform: PlatformStandin,
    store: PlatformStore,
    clients: [LeaseClient; 2],
    clocks: [Instant; 2],
    stopped: [bool; 2],
    takeovers: u32,
    /// Checks made so far; makes each request token unique.
    checks: u32,
    last_proof: Option<LeaseProof>,
}

impl LeaseRace {
    async fn start() -> Self {
        let platform = start_platform().await;
        let store = store_of(&platform);
        Self {
            clients: [client(&store, "node-a"), client(&store, "node-b")],
            clocks: [Instant::now(); 2],
            stopped: [false; 2],
            takeovers: 0,
            checks: 0,
            last_proof: None,
            platform,
            store,
        }
    }

    /// Stops a client's clock, as in a suspended VM, resumes it, or makes it jump ahead.
    fn disturb_clock(&mut self, step: &KeeperStep) {
        let index = usize::from(step.second);
        match step.clock {
            0..32 => self.stopped[index] = !self.stopped[index],
            32..48 => self.clocks[index] += TIME_TO_LIVE * u32::from(step.clock),
            _ => {}
        }
    }

    /// Advances the clocks and steps one client; returns its proof if the step reports the lease as held.
    async fn step(&mut self, step: &KeeperStep) -> Option<LeaseProof> {
        let index = usize::from(step.second);
        let elapsed = Duration::from_millis(250) * u32::from(step.advance_quarters % 16);
        for (clock, stopped) in self.clocks.iter_mut().zip(self.stopped) {
            *clock += if stopped { Duration::ZERO } else { elapsed };
        }
        match step.fault {
            0..32 => self.platform.set_faults(write_faults(1, 0)),
            32..64 => self.platform.set_faults(write_faults(0, 1)),
            _ => {}
        }
        match self.clients[index].step(self.clocks[index]).await {
            Ok(LeaseState::Held(proof)) => Some(proof),
            // An error leaves the client without a proof or with its earlier one; both are checked later.
            _ => None,
        }
    }

    /// Checks that the fencing token grows whenever the holder changes.
    fn check_token(&mut self, proof: LeaseProof) {
        if let Some(last) = &self.last_proof
            && last.holder != proof.holder
        {
            assert!(last.token < proof.token, "{last} before {proof}");
            self.takeovers += 1;
        }
        self.last_proof = Some(proof);
    }

    /// Returns the proofs of the clients that believe they hold the lease.
    fn proofs(&self) -> Vec<LeaseProof> {
        let pairs = self.clients.iter().zip(self.clocks);
        pairs
            .filter_map(|(client, clock)| client.proof(clock))
            .collect()
    }

    /// Returns the number of clients that rule out a takeover by another.
    fn count_holders(&self) -> usize {
        let pairs = self.clients.iter().zip(self.clocks);
        pairs
            .filter(|(client, clock)| client.is_held(*clock))
            .count()
    }

    /// Returns whether the table accepts a transaction under this proof.
    async fn is_accepted(&mut self, proof: &LeaseProof) -> bool {
        // The table does not check the condition again for a request token that it has seen before.
        self.checks += 1;
        let token = format!("check-{}", self.checks);
        let outcome = self.store.transact(vec![proof.check()], &token).await;
        matches!(outcome, Ok(TransactOutcome::Applied))
    }
}

/// Guards against two holders at the same time while both clocks run evenly, with lost and dropped writes.
#[tokio::test]
async fn two_keepers_never_hold_a_lease_at_once() {
    let mut takeovers = 0;
    for steps in cases(produce::<Vec<KeeperStep>>(), CASES) {
        let mut race = LeaseRace::start().await;
        for step in &steps {
            if let Some(proof) = race.step(step).await {
                race.check_token(proof);
            }
            assert!(race.count_holders() < 2, "two holders in {steps:?}");
        }
        takeovers += race.takeovers;
    }
    assert!(takeovers > 0, "no case had a change of the holder");
}

/// Guards against a table that accepts the writes of two clients, both of which believe they hold the lease
/// after a clock stopped or jumped.
#[tokio::test]
async fn the_table_accepts_one_holder_when_clocks_stop_or_jump() {
    let mut double_claims = 0;
    for steps in cases(produce::<Vec<KeeperStep>>(), CASES) {
        let mut race = LeaseRace::start().await;
        for step in &steps {
            race.disturb_clock(step);
            race.step(step).await;
            race.platform.set_faults(write_faults(0, 0));
            let proofs = race.proofs();
            let mut accepted = 0;
            for proof in &proofs {
                accepted += u32::from(race.is_accepted(proof).await);
            }
            assert!(accepted < 2, "{proofs:?} in {steps:?}");
            double_claims += u32::from(proofs.len() == 2);
        }
    }
    assert!(
        double_claims > 0,
        "no step left two clients that both believed they hold the lease"
    );
}
