//! Membership protocol among hundreds of state machines in simulated time; a round is one probe interval.

#[allow(
    dead_code,
    reason = "the experiments use more of the simulation than this test"
)]
#[path = "../experiments/src/simulated_net.rs"]
mod simulated_net;

use {
    poplarwing::{
        config::{MovePhase, ServiceKey, TrafficSplit, VersionMove},
        membership::{MemberState, TargetRecord},
        veto_table::VetoRecord,
        wire::MAX_PACKET_BYTES,
    },
    simulated_net::{DOMAIN_COUNT, SimulatedNet, name_of, section},
};

const SEED: u64 = 11;

fn network(size: usize) -> SimulatedNet {
    let mut net = SimulatedNet::new(size, SEED, section(4));
    net.run_rounds(10);
    net
}

fn split_by(net: &mut SimulatedNet, is_other_side: impl Fn(usize) -> bool) {
    for (index, node) in net.nodes.iter_mut().enumerate() {
        node.side = u8::from(is_other_side(index));
    }
}

fn target(draining: bool, demand: u32) -> TargetRecord {
    TargetRecord {
        key: ServiceKey {
            customer: "kestrel".to_owned(),
            service: "ledger".to_owned(),
        },
        version: "v1".to_owned(),
        slots: 6,
        connections: 130,
        draining,
        demand,
        left: None,
    }
}

fn running_split(move_id: u64) -> TrafficSplit {
    TrafficSplit {
        key: target(false, 0).key,
        stable: "v1".to_owned(),
        candidate_permille: 50,
        current_move: Some(VersionMove {
            id: move_id,
            candidate: "v2".to_owned(),
            previous: "v1".to_owned(),
            phase: MovePhase::Canary,
            started_at_ms: 0,
            finish_by_ms: 0,
            reason: String::new(),
        }),
    }
}

/// Guards against false suspicions caused by packet loss alone.
#[test]
fn packet_loss_alone_declares_no_member_dead() {
    let mut net = SimulatedNet::new(300, SEED, section(4));
    net.loss = 0.05;

    net.run_rounds(120);

    let dead: usize = (0..300)
        .map(|index| net.count_views(index, MemberState::Dead))
        .sum();
    assert_eq!(dead, 0);
    let refuted = net
        .nodes
        .iter()
        .filter(|node| node.machine.own().incarnation > 1)
        .count();
    assert!(refuted <= 1, "{refuted} nodes were suspected at 5% loss");
}

/// Guards against members that never learn of another member's death, and against declaring it too early.
#[test]
fn every_member_declares_a_stopped_node_dead() {
    let mut net = network(300);

    net.stop(17);
    let rounds = net.rounds_until(30, |net| net.count_views(17, MemberState::Dead) == 299);

    assert!(
        rounds.is_some_and(|rounds| rounds >= 7),
        "declared dead by all after {rounds:?} rounds"
    );
}

/// Guards against a node that sends but receives no packets making the other members list each other as dead, and
/// against lasting disagreement after the cut ends.
#[test]
fn a_one_way_cut_leaves_the_other_members_in_agreement() {
    let mut net = network(200);
    net.nodes[5].side = 1;
    net.cuts.insert((0, 1));

    net.run_rounds(60);

    assert_eq!(net.count_views(5, MemberState::Dead), 199);
    for index in (0..200).filter(|index| *index != 5) {
        let name = name_of(index);
        let wrong = net.nodes.iter().enumerate().filter(|(viewer, node)| {
            *viewer != 5
                && node
                    .members
                    .get(&name)
                    .is_none_or(|seen| seen.state == MemberState::Dead)
        });
        assert_eq!(wrong.count(), 0, "{name} is listed as dead");
    }
    net.cuts.clear();
    let rounds = net.rounds_until(120, SimulatedNet::agrees);
    assert!(
        rounds.is_some(),
        "members still disagree 120 rounds after the cut"
    );
}

/// Guards against one broken link between two nodes making either suspect: indirect probes through relays must reach it.
#[test]
fn a_broken_link_between_two_nodes_is_bridged_by_relays() {
    let mut net = network(100);
    net.nodes[1].side = 1;
    net.nodes[2].side = 2;
    net.cuts.extend([(1, 2), (2, 1)]);

    net.run_rounds(200);

    let refuted = net
        .nodes
        .iter()
        .filter(|node| node.machine.own().incarnation > 1)
        .count();
    assert_eq!(refuted, 0);
    assert!(net.agrees());
}

/// Guards against partitions that list each other as dead and never reconnect, and against a configuration version
/// that stays on the side that applied it.
#[test]
fn partitions_merge_and_share_the_version() {
    let mut net = network(240);
    split_by(&mut net, |index| index % DOMAIN_COUNT >= 8);
    net.cuts.extend([(0, 1), (1, 0)]);
    net.run_rounds(120);
    assert_eq!(net.count_views(0, MemberState::Dead), 80);
    assert_eq!(net.count_views(8, MemberState::Dead), 160);
    net.apply(0, 5);
    net.run_rounds(12);
    assert!(
        net.nodes
            .iter()
            .all(|node| node.version == if node.side == 0 { 5 } else { 0 })
    );

    net.cuts.clear();
    let versions = net.rounds_until(12, |net| net.share_with(5) == 1.0);
    let members = net.rounds_until(120, SimulatedNet::agrees);

    assert!(
        versions.is_some(),
        "the version did not reach all nodes within 12 rounds after the cut"
    );
    assert!(
        members.is_some(),
        "members still disagree 120 rounds after the cut"
    );
}

/// Guards against lasting disagreement, or packets above the size limit, after a whole failure domain stops or
/// restarts at once.
#[test]
fn members_agree_after_a_failure_domain_stops_and_restarts() {
    let mut net = network(240);
    let lost: Vec<usize> = (0..240).filter(|index| index % DOMAIN_COUNT == 3).collect();

    lost.iter().for_each(|index| net.stop(*index));
    let rounds_after_stop = net.rounds_until(60, SimulatedNet::agrees);
    lost.iter().for_each(|index| net.restart(*index, 4));
    let rounds_after_restart = net.rounds_until(60, SimulatedNet::agrees);

    assert!(
        rounds_after_stop.is_some(),
        "members disagree 60 rounds after the domain stopped"
    );
    assert!(
        rounds_after_restart.is_some(),
        "members disagree 60 rounds after the domain restarted"
    );
    assert!(net.longest_datagram <= MAX_PACKET_BYTES);
}

/// Guards against gossip of many simultaneous deaths exceeding the control-traffic budget of 3 KB/s per member.
#[test]
fn many_deaths_stay_within_the_control_budget() {
    let mut net = network(800);
    let before = net.total_bytes();

    (0..200).for_each(|index| net.stop(index));
    net.run_rounds(30);

    let rate = (net.total_bytes() - before) / (600 * 30);
    assert!(rate < 3_000, "{rate} bytes per second per member");
}

/// Guards against the last two nodes of a fleet never detecting each other's death: a node that receives no packets
/// at first assumes that it is isolated itself.
#[test]
fn a_node_that_is_left_alone_declares_the_other_dead() {
    let mut net = network(2);

    net.stop(1);
    let rounds = net.rounds_until(40, |net| net.count_views(1, MemberState::Dead) == 1);

    assert!(rounds.is_some());
}

/// Guards against a node that receives no packets making healthy members refute false suspicions.
#[test]
fn a_node_that_receives_no_packets_suspects_no_member_at_first() {
    let mut net = network(200);
    net.nodes[5].side = 1;
    net.cuts.insert((0, 1));

    net.run_rounds(9);

    let refuted = net
        .nodes
        .iter()
        .enumerate()
        .filter(|(index, node)| *index != 5 && node.machine.own().incarnation > 1);
    assert_eq!(refuted.count(), 0);
}

/// Guards against nondeterminism, which would prevent repeating a failed run from its seed.
#[test]
fn equal_seeds_give_equal_runs() {
    let run = || {
        let mut net = network(60);
        net.loss = 0.05;
        net.stop(7);
        net.run_rounds(20);
        net.restart(7, 8);
        net.apply(3, 1);
        net.run_rounds(20);
        net.nodes
            .iter()
            .map(|node| node.bytes)
            .collect::<Vec<u64>>()
    };

    assert_eq!(run(), run());
}

/// Guards against records of a flapping node's earlier starts winning over its latest one.
#[test]
fn a_flapping_node_ends_in_its_last_state() {
    let mut net = network(150);

    for flap in 0..8 {
        net.stop(9);
        net.run_rounds(1 + flap % 5 * 3);
        net.restart(9, 20 + flap as usize);
        net.run_rounds(1 + flap % 3);
    }
    let alive = net.rounds_until(40, SimulatedNet::agrees);
    net.stop(9);
    let dead = net.rounds_until(40, SimulatedNet::agrees);

    assert!(
        alive.is_some(),
        "members disagree 40 rounds after the last restart"
    );
    assert!(
        dead.is_some(),
        "members disagree 40 rounds after the last stop"
    );
}

/// Guards against a node that resumes after a pause claiming that its peers are dead, or keeping an outdated
/// configuration version.
#[test]
fn a_paused_node_resumes_without_false_claims() {
    let mut net = network(200);
    net.apply(0, 3);
    net.run_rounds(10);

    net.pause(50, 60);
    net.run_rounds(30);
    assert_eq!(net.count_views(50, MemberState::Dead), 199);
    net.apply(1, 4);
    net.run_rounds(31);
    let rounds = net.rounds_until(12, |net| net.agrees() && net.share_with(4) == 1.0);

    assert!(
        rounds.is_some(),
        "12 rounds after the pause, members disagree or lack the newest version"
    );
    let refuted = net
        .nodes
        .iter()
        .filter(|node| node.machine.own().incarnation > 1)
        .count();
    assert_eq!(
        refuted, 1,
        "only the paused node should have refuted a claim"
    );
}

/// Guards against an older target announcement winning when updates are reordered, duplicated or lost.
#[test]
fn crossed_and_duplicated_announcements_converge() {
    let mut net = network(150);
    net.duplicates = 0.3;
    net.loss = 0.02;

    for demand in 0..20 {
        let draining = demand % 2 == 0;
        net.act(7, |machine, _, tables| {
            machine.announce_target(Some(target(draining, demand)), tables)
        });
        net.run_rounds(demand % 2);
    }
    let last = target(false, 19);
    let all_have_last = |net: &SimulatedNet| {
        net.nodes.iter().all(|node| {
            let seen = node.members.get(&name_of(7));
            seen.and_then(|record| record.target.as_ref()) == Some(&last)
        })
    };

    assert!(net.rounds_until(30, all_have_last).is_some());
}

/// Guards against gossiping a change of demand to the whole fleet, which would exceed the control-traffic budget.
#[test]
fn demand_goes_to_nodes_of_the_same_customer_only() {
    let mut net = network(150);
    for index in 0..6 {
        net.act(index, |machine, _, tables| {
            machine.announce_target(Some(target(false, 1)), tables)
        });
    }
    net.run_rounds(20);

    net.act(0, |machine, _, tables| {
        machine.announce_target(Some(target(false, 9)), tables)
    });
    net.run_rounds(2);

    let demand_at = |index: usize| {
        let record = net.nodes[index].members.get(&name_of(0));
        record
            .and_then(|record| record.target.as_ref())
            .map(|target| target.demand)
    };
    assert!((1..6).all(|index| demand_at(index) == Some(9)));
    let informed = (6..150)
        .filter(|index| demand_at(*index) == Some(9))
        .count();
    assert!(
        informed <= 4,
        "{informed} nodes without a target of the customer received the demand"
    );
}

/// Guards against a departing target, or a vetoed candidate, receiving calls for longer than a few seconds.
#[test]
fn departure_and_veto_reach_all_within_two_rounds() {
    let mut net = network(300);
    let veto = VetoRecord {
        key: target(false, 0).key,
        move_id: 8,
        issuer: name_of(2),
        reason: "failures".repeat(100),
    };

    net.act(1, |machine, _, tables| machine.leave(tables));
    net.act(2, |machine, _, tables| machine.gossip_veto(veto, tables));
    net.stop(1);
    net.run_rounds(2);

    let left = net.count_views(1, MemberState::Left);
    assert!(
        left >= 297,
        "only {left} of 299 members list the node as left"
    );
    let split = running_split(8);
    let vetoed = net
        .nodes
        .iter()
        .filter(|node| node.vetoes.against(&split).is_some());
    assert!(vetoed.count() >= 298);
}

/// Guards against a veto queued behind the events of many deaths.
#[test]
fn a_veto_is_not_delayed_by_the_events_of_many_deaths() {
    let mut net = network(400);
    (0..100).for_each(|index| net.stop(index));
    net.run_rounds(15);
    let veto = VetoRecord {
        key: target(false, 0).key,
        move_id: 8,
        issuer: name_of(200),
        reason: "failures".to_owned(),
    };

    net.act(200, |machine, _, tables| machine.gossip_veto(veto, tables));
    net.run_rounds(2);

    let split = running_split(8);
    let live = net.nodes.iter().filter(|node| node.is_up);
    let vetoed = live.filter(|node| node.vetoes.against(&split).is_some());
    assert!(vetoed.count() >= 298);
}

/// Guards against a joining node gossiping the whole member list, which would delay newer events.
#[test]
fn a_joining_node_gossips_only_its_own_record() {
    let mut net = network(200);
    net.run_rounds(60);

    net.stop(9);
    net.restart(9, 3);

    assert_eq!(net.nodes[9].machine.queue_len(), 1);
}

/// Guards against the record of an earlier start winning over a restarted node whose incarnation is too low, because
/// the peer that it joined through had evicted its record.
#[test]
fn a_node_restarted_with_too_low_an_incarnation_raises_it() {
    let mut net = network(100);
    for _ in 0..5 {
        net.stop(9);
        net.restart(9, 3);
        net.run_rounds(3);
    }
    let before = net.nodes[9].machine.own().incarnation;
    net.nodes[60].members.remove(&name_of(9));

    net.stop(9);
    net.restart(9, 60);
    assert!(net.nodes[9].machine.own().incarnation <= before);
    net.run_rounds(40);

    assert!(net.nodes[9].machine.own().incarnation > before);
    assert!(net.agrees());
}

/// Guards against keeping dead members, and the version floors of evicted ones, without end.
#[test]
fn dead_members_are_evicted_and_their_floors_pruned() {
    let mut net = SimulatedNet::new(8, SEED, section(4));
    net.apply(7, 3);
    net.run_rounds(10);
    net.stop(7);
    net.run_rounds(40);
    assert_eq!(net.count_views(7, MemberState::Dead), 7);
    assert!((0..7).any(|index| net.nodes[index].members.floor_of(&name_of(7)) == 3));

    net.run_rounds(7 * 3600);

    for node in net.nodes.iter().take(7) {
        assert!(node.members.get(&name_of(7)).is_none());
        assert_eq!(node.members.floor_of(&name_of(7)), 0);
        assert_eq!(node.machine.own().incarnation, 1);
    }
}

/// Guards against a configuration version not leaving a failure domain that holds nearly all members.
#[test]
fn a_version_crosses_from_a_domain_that_holds_nearly_all_members() {
    let is_foreign = |index: usize| index >= 238;
    let domain_of = move |index: usize| usize::from(is_foreign(index));
    let mut net = SimulatedNet::with_domains(240, SEED, section(4), domain_of);
    net.run_rounds(10);

    net.apply(0, 2);
    net.run_rounds(1);

    assert!((238..240).all(|index| net.nodes[index].version == 2));
}
