//! Usage caps of client accounts over a simulated fleet.

#[path = "support/cap_simulation.rs"]
mod cap_simulation;

use {
    cap_simulation::{CapSimulation, LinkModel},
    poplarwing::{
        accounts::{
            cap_fleet::{KnownNode, NodeCensus},
            cap_machine::MAX_NEEDS,
            cap_terms::{
                AccountDigest, CAP_SLOTS, CapTerms, CapTolerance, account_digest, slot_of,
            },
        },
        config::{CallRate, UsageCap},
        wire::{
            CapAnswer, CapAsk, GossipKind, GossipPacket, PROTOCOL_VERSION, TokenGrant, TokenNeed,
        },
        wire_codec::encode_packet,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, ops::Range, time::Duration},
};

/// Tolerance of the users' fleet with the most accounts.
const TOLERANCE: CapTolerance = CapTolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// Seeds of the runs with random faults.
const FAULT_SEEDS: Range<u64> = 0..16;

/// Time from the start of a fleet until callers come, as on the users' platform.
const TRAFFIC_START: Duration = Duration::from_secs(10);

/// Time between two samples of the shares that keepers hold.
const SHARE_SAMPLE: Duration = Duration::from_millis(40);

/// Error of a sum of floating-point shares.
const ROUNDING: f64 = 1e-9;

/// An account, its cap and the calls that arrive for it.
#[derive(Clone, Copy, Debug)]
struct TestAccount {
    digest: AccountDigest,
    rate: f64,
    burst: u64,
}

impl TestAccount {
    fn new(name: &str, rate: f64, burst: u64) -> Self {
        Self {
            digest: account_digest(name),
            rate,
            burst,
        }
    }

    fn terms(&self) -> (AccountDigest, CapTerms) {
        let cap = UsageCap {
            rate: CallRate::from_per_second(self.rate).expect("rate"),
            burst: self.burst,
        };
        (self.digest, CapTerms::new(&cap, &TOLERANCE))
    }

    /// Returns the most calls that may be admitted in one window.
    fn most_per_window(&self) -> f64 {
        let allowed = self.rate * TOLERANCE.window.as_secs_f64() + self.burst as f64;
        allowed * (1.0 + TOLERANCE.overage) + TOLERANCE.slack
    }
}

fn terms_of(accounts: &[TestAccount]) -> Vec<(AccountDigest, CapTerms)> {
    accounts.iter().map(TestAccount::terms).collect()
}

fn accounts_of_all_sizes() -> Vec<TestAccount> {
    vec![
        TestAccount::new("tiny", 0.5, 1),
        TestAccount::new("small", 3.0, 3),
        TestAccount::new("bursty", 5.0, 40),
        TestAccount::new("medium", 20.0, 20),
        TestAccount::new("large", 120.0, 120),
    ]
}

/// Returns the times of a Poisson process.
fn poisson_times(rng: &mut StdRng, rate: f64, from: Duration, to: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = from;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        at += Duration::from_secs_f64(gap);
        if at >= to {
            return times;
        }
        times.push(at);
    }
}

/// Returns the largest number of times within one window.
fn most_in_window(times: &[Duration]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, at) in times.iter().enumerate() {
        while *at >= times[first] + TOLERANCE.window {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// Returns how many calls a single token bucket with the cap admits.
fn admitted_by_one_bucket(account: &TestAccount, times: &[Duration]) -> usize {
    let mut tokens = account.burst as f64;
    let mut last = Duration::ZERO;
    let mut admitted = 0;
    for at in times {
        let refill = account.rate * (*at - last).as_secs_f64();
        tokens = (tokens + refill).min(account.burst as f64);
        last = *at;
        if tokens >= 1.0 {
            tokens -= 1.0;
            admitted += 1;
        }
    }
    admitted
}

fn assert_within_caps(simulation: &CapSimulation, accounts: &[TestAccount], run: &str) {
    for account in accounts {
        let times = simulation.admitted.get(&account.digest);
        let most = times.map_or(0, |times| most_in_window(times));
        assert!(
            most as f64 <= account.most_per_window(),
            "{run}: {account:?}: {most} calls in one window, allowed {}",
            account.most_per_window()
        );
    }
}

/// Lets calls of all accounts arrive at random nodes with `load` times the rate of the cap.
fn offer_load(
    simulation: &mut CapSimulation,
    accounts: &[TestAccount],
    load: f64,
    to: Duration,
    node_of: impl Fn(&mut StdRng, Duration) -> usize,
) -> BTreeMap<AccountDigest, Vec<Duration>> {
    let mut rng = StdRng::seed_from_u64(simulation.rng.random());
    let from = simulation.now;
    let mut offered = BTreeMap::new();
    for account in accounts {
        let times = poisson_times(&mut rng, account.rate * load, from, to);
        for at in &times {
            let node = node_of(&mut rng, *at);
            simulation.arrive(*at - from, node, account.digest);
        }
        offered.insert(account.digest, times);
    }
    offered
}

fn millis(rng: &mut StdRng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Applies one random fault. A departure changes the number of nodes, which the others learn at different times.
fn inject_fault(simulation: &mut CapSimulation, rng: &mut StdRng, may_leave: bool) {
    let Some(node) = simulation.random_up() else {
        return;
    };
    match rng.random_range(0..10) {
        0 | 1 => simulation.restart(node, millis(rng, 50..4000)),
        2 => {
            let share = rng.random_range(0.3..1.0);
            let pause = millis(rng, 50..3000);
            for other in 0..simulation.node_count() {
                if rng.random_bool(share) {
                    simulation.restart(other, pause);
                }
            }
        }
        3 => simulation.suspend(node, millis(rng, 100..6000)),
        4 => {
            let boundary = rng.random_range(0..=simulation.node_count());
            simulation.partition(|other| usize::from(other < boundary));
        }
        5 => simulation.partition(|other| if other == node { 1 } else { 0 }),
        6 => simulation.partition(|_| 0),
        7 if may_leave => simulation.leave(node, millis(rng, 500..3000)),
        8 => {
            simulation.link.loss = rng.random_range(0.0..0.4);
            simulation.link.repeat = rng.random_range(0.0..0.1);
        }
        _ => {
            let longest = [2, 20, 100, 400, 1500][rng.random_range(0..5)];
            simulation.link.delay = (Duration::from_micros(300), Duration::from_millis(longest));
        }
    }
}

/// Guards against calls beyond a cap when messages are lost, late or repeated, nodes are killed alone or together,
/// suspended or leave, or when the fleet is divided and has two keepers for one slot.
#[test]
fn no_window_exceeds_a_cap_under_random_faults() {
    let accounts = accounts_of_all_sizes();
    let end = Duration::from_secs(30);
    let mut admitted = 0;
    for seed in FAULT_SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = rng.random_range(3..24);
        let mut simulation = CapSimulation::new(seed, nodes, terms_of(&accounts));
        simulation.give_back = 0.1;
        let load = rng.random_range(1.0..3.0);
        offer_load(&mut simulation, &accounts, load, end, |rng, _| {
            rng.random_range(0..nodes)
        });

        while simulation.now < end {
            let pause = millis(&mut rng, 100..2500);
            let next = (simulation.now + pause).min(end);
            simulation.run_until(next);
            inject_fault(&mut simulation, &mut rng, true);
        }

        assert_within_caps(&simulation, &accounts, &format!("seed {seed}"));
        admitted += simulation.admitted.values().map(Vec::len).sum::<usize>();
    }
    assert!(admitted > 10_000, "only {admitted} calls were admitted");
}

/// Guards against a node's part of a cap that two keepers hold at the same time, whatever is lost or late: the sum of
/// what they grant would exceed the cap.
#[test]
fn keepers_never_hold_more_than_the_whole_of_a_cap() {
    let accounts = accounts_of_all_sizes();
    let end = Duration::from_secs(25);
    let mut most = 0.0_f64;
    for seed in FAULT_SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = rng.random_range(3..16);
        let mut simulation = CapSimulation::new(seed, nodes, terms_of(&accounts));
        let mut fault_at = Duration::from_secs(6);

        while simulation.now < end {
            simulation.run_until(simulation.now + SHARE_SAMPLE);
            if simulation.now >= fault_at {
                inject_fault(&mut simulation, &mut rng, false);
                fault_at = simulation.now + millis(&mut rng, 100..2000);
            }
            for slot in 0..CAP_SLOTS {
                let total = simulation.total_share(slot);
                most = most.max(total);
                assert!(
                    total <= 1.0 + ROUNDING,
                    "seed {seed}, slot {slot}, {:?}: keepers hold {total}",
                    simulation.now
                );
            }
        }
    }
    assert!(most > 0.99, "at most {most} of a cap was held");
}

/// Guards against calls beyond a cap when the keeper of an account is restarted again and again, each time after the
/// account has used its burst: a keeper that began with full buckets would grant the burst once more.
#[test]
fn no_window_exceeds_a_cap_while_a_keeper_restarts_again_and_again() {
    let accounts = [TestAccount::new("bursty", 5.0, 40)];
    let nodes = 12;
    let end = Duration::from_secs(30);
    let mut simulation = CapSimulation::new(6, nodes, terms_of(&accounts));
    offer_load(&mut simulation, &accounts, 20.0, end, |rng, _| {
        rng.random_range(0..nodes)
    });
    let keeper = simulation.first_keeper(slot_of(accounts[0].digest));
    simulation.run_until(Duration::from_secs(8));

    while simulation.now < end {
        simulation.run_until(simulation.now + Duration::from_millis(1200));
        simulation.restart(keeper, Duration::from_millis(50));
    }

    assert_within_caps(&simulation, &accounts, "keeper restarted");
    assert!(!simulation.admitted.is_empty());
}

/// Guards against calls beyond a cap when keepers are replaced again and again while every account asks for all that
/// it can get: what the earlier keeper granted must not be granted once more.
#[test]
fn no_window_exceeds_a_cap_while_keepers_alternate() {
    let accounts = accounts_of_all_sizes();
    let nodes = 12;
    let end = Duration::from_secs(30);
    for seed in 0..4 {
        let mut simulation = CapSimulation::new(seed, nodes, terms_of(&accounts));
        offer_load(&mut simulation, &accounts, 3.0, end, |rng, _| {
            rng.random_range(0..nodes)
        });
        let mut is_divided = false;

        while simulation.now < end {
            simulation.run_until(simulation.now + Duration::from_millis(2300));
            is_divided = !is_divided;
            simulation.partition(|node| usize::from(is_divided && node % 2 == 0));
        }

        assert_within_caps(&simulation, &accounts, &format!("seed {seed}"));
    }
}

/// Guards against calls beyond a cap when a node joins while the fleet is divided, so that a part of it does not know
/// the new node.
#[test]
fn no_window_exceeds_a_cap_when_a_node_joins_a_divided_fleet() {
    let accounts = accounts_of_all_sizes();
    let nodes = 24;
    let end = Duration::from_secs(30);
    for seed in 0..4 {
        let mut simulation = CapSimulation::new(seed, nodes, terms_of(&accounts));
        offer_load(&mut simulation, &accounts, 4.0, end, |rng, _| {
            rng.random_range(0..nodes)
        });
        simulation.run_until(Duration::from_secs(6));
        simulation.partition(|node| usize::from(node % 2 == 0));
        simulation.run_until(Duration::from_secs(9));

        simulation.join();
        simulation.run_until(Duration::from_secs(20));
        simulation.partition(|_| 0);
        simulation.run_until(end);

        assert_within_caps(&simulation, &accounts, &format!("seed {seed}"));
    }
}

/// Offers 0.95 of the caps to a fleet of 71 nodes without faults, and checks that nearly all calls are admitted that one
/// bucket would admit.
fn check_calm(seed: u64, node_of: impl Fn(&mut StdRng, Duration) -> usize) {
    let mut accounts = vec![TestAccount::new("large", 300.0, 300)];
    accounts.extend((0..10).map(|index| TestAccount::new(&format!("small-{index}"), 3.0, 3)));
    let end = TRAFFIC_START + Duration::from_secs(40);
    let mut simulation = CapSimulation::new(seed, 71, terms_of(&accounts));
    simulation.run_until(TRAFFIC_START);

    let offered = offer_load(&mut simulation, &accounts, 0.95, end, node_of);
    simulation.run_until(end + Duration::from_secs(1));

    assert_within_caps(&simulation, &accounts, "calm");
    let mut totals = BTreeMap::from([(true, (0, 0)), (false, (0, 0))]);
    for account in &accounts {
        let inside = admitted_by_one_bucket(account, &offered[&account.digest]);
        let admitted = simulation.admitted[&account.digest].len();
        let total = totals.entry(account.rate > 100.0).or_default();
        *total = (total.0 + inside, total.1 + admitted.min(inside));
    }
    for (is_large, (inside, admitted)) in totals {
        let share = admitted as f64 / inside as f64;
        println!("large: {is_large}, admitted {admitted} of {inside} inside the caps: {share:.4}");
        assert!(
            share >= 0.98,
            "large: {is_large}: admitted {admitted} of {inside} calls inside the caps"
        );
    }
    let seconds = simulation.now.as_secs_f64();
    println!(
        "messages a node a second: {:.1}",
        simulation.messages as f64 / 71.0 / seconds
    );
}

/// Guards against refusals below the cap because a node's part of a small cap is less than one call.
#[test]
fn nearly_all_calls_below_the_cap_are_admitted_in_calm() {
    check_calm(1, |rng, _| rng.random_range(0..71));
}

/// Guards against refusals below the cap when the callers move to other nodes every second.
#[test]
fn nearly_all_calls_below_the_cap_are_admitted_while_demand_moves() {
    check_calm(2, |rng, at| {
        let third = (at.as_secs() % 3) as usize;
        third * 23 + rng.random_range(0..23)
    });
}

/// Guards against a lower cap that takes effect only after the tokens of the earlier one are used.
#[test]
fn a_lowered_cap_binds_one_window_later() {
    let before = [TestAccount::new("school", 200.0, 200)];
    let after = [TestAccount::new("school", 10.0, 10)];
    let end = Duration::from_secs(30);
    let mut simulation = CapSimulation::new(3, 10, terms_of(&before));
    offer_load(&mut simulation, &before, 1.0, end, |rng, _| {
        rng.random_range(0..10)
    });
    simulation.run_until(Duration::from_secs(12));

    simulation.set_caps(terms_of(&after));
    simulation.run_until(end);

    let changed = Duration::from_secs(12);
    let times = simulation
        .admitted
        .get_mut(&after[0].digest)
        .expect("calls");
    assert!(times.iter().any(|at| *at > Duration::from_secs(25)));
    times.retain(|at| *at > changed + TOLERANCE.window);
    assert_within_caps(&simulation, &after, "lowered");
}

/// Guards against messages between nodes while no account has a cap.
#[test]
fn nothing_is_sent_without_caps() {
    let mut simulation = CapSimulation::new(4, 10, Vec::new());

    simulation.run_until(Duration::from_secs(10));

    assert_eq!(simulation.messages, 0);
}

/// Guards against an account that stays refused after the keeper of its slot was killed for good.
#[test]
fn calls_are_admitted_again_soon_after_keepers_are_killed() {
    let accounts = accounts_of_all_sizes();
    let end = Duration::from_secs(24);
    let mut simulation = CapSimulation::new(5, 12, terms_of(&accounts));
    simulation.link = LinkModel::calm();
    offer_load(&mut simulation, &accounts, 1.5, end, |rng, _| {
        rng.random_range(6..12)
    });
    simulation.run_until(Duration::from_secs(14));

    for node in 0..6 {
        simulation.restart(node, Duration::from_secs(60));
    }
    simulation.run_until(end);

    // Half of the nodes own half of each cap.
    for account in accounts.iter().filter(|account| account.rate >= 3.0) {
        let times = &simulation.admitted[&account.digest];
        let late = times.iter().filter(|at| **at > Duration::from_secs(18));
        let admitted = late.count() as f64;
        let expected = account.rate * 6.0 / 2.0;
        assert!(
            admitted >= expected * 0.8,
            "{account:?}: {admitted} calls in 6 s, half of the cap allows {expected}"
        );
    }
}

fn known_nodes(members: &[(&'static str, bool)]) -> Vec<KnownNode<'static>> {
    let members = members.iter();
    members
        .map(|(node, has_left)| KnownNode {
            node,
            has_left: *has_left,
        })
        .collect()
}

/// Guards against a part of a cap that a node takes over from one that may still run: one that only the store lists, or
/// one that leaves and is restarted while some peers cannot hear of it.
#[test]
fn a_node_counts_until_some_time_after_it_has_left() {
    let mut census = NodeCensus::default();
    census.set_rows(["a", "unreached"].map(str::to_owned).into_iter());
    let running = known_nodes(&[("a", false), ("b", false)]);
    let leaving = known_nodes(&[("a", false), ("b", true)]);
    let start = Duration::from_secs(100);

    let before = census.count(running.clone().into_iter(), start);
    let at_departure = census.count(leaving.clone().into_iter(), start);
    let soon = census.count(leaving.clone().into_iter(), start + Duration::from_secs(20));
    let later = census.count(leaving.into_iter(), start + Duration::from_secs(40));
    let back = census.count(running.into_iter(), start + Duration::from_secs(50));

    assert_eq!((before, at_departure, soon), (3, 3, 3));
    assert_eq!((later, back), (2, 3));
}

/// Guards against a message with the most accounts that is too long for a datagram, so that it could not be sent.
#[test]
fn the_longest_messages_fit_in_a_packet() {
    let packet = |kind| GossipPacket {
        protocol: PROTOCOL_VERSION,
        sender: "node-name-12".to_owned(),
        number: u64::MAX >> 10,
        kind: Some(kind),
        ..GossipPacket::default()
    };
    let ask = |accounts: usize| CapAsk {
        slot: 7,
        nodes: 300,
        clock_id: u64::MAX,
        ends_ms: 100_000_000,
        release: true,
        needs: vec![
            TokenNeed {
                account: u64::MAX,
                tokens: 1000,
            };
            accounts
        ],
    };
    let answer = |accounts: usize| CapAnswer {
        slot: 7,
        clock_id: u64::MAX,
        clock_ms: 100_000_000,
        nodes: 300,
        released: true,
        holds_share: true,
        grants: vec![
            TokenGrant {
                account: u64::MAX,
                tokens: 1000,
                wait_ms: 1000,
            };
            accounts
        ],
    };

    for accounts in [0, 1, MAX_NEEDS] {
        let ask = encode_packet(&packet(GossipKind::CapAsk(ask(accounts)))).expect("ask");
        let answer = encode_packet(&packet(GossipKind::CapAnswer(answer(accounts))));
        let answer = answer.expect("answer");
        println!(
            "{accounts} accounts: ask {}, answer {}",
            ask.len(),
            answer.len()
        );
    }
}
