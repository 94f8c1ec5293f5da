//! Gossip of how current each member's copy of the platform store is, in simulated time.
//!
//! Few members read the store; the others learn from gossip up to which time of the store's clock they are current.

#[allow(
    dead_code,
    reason = "the experiments use more of the simulation than this test"
)]
#[path = "../experiments/src/simulated_net.rs"]
mod simulated_net;

use {
    poplarwing::{
        mesh::store_reader::{CONFIRMATION_INTERVAL, OVERDUE_AFTER},
        wire::{GossipKind, GossipPacket, PROTOCOL_VERSION, Push, StoreView},
    },
    simulated_net::{SimulatedNet, SimulatedNode, address_of, name_of, section},
    std::time::Duration,
};

const SEED: u64 = 17;

const MEMBERS: usize = 300;

/// Members that read the store, one after another.
const READERS: usize = 3;

fn network() -> SimulatedNet {
    let mut net = SimulatedNet::new(MEMBERS, SEED, section(4));
    net.run_rounds(10);
    net
}

fn read_store(net: &mut SimulatedNet, reader: usize) {
    receive_answer(net, reader, Duration::ZERO);
}

/// Lets a member receive an answer of the store that was on its way for some time.
fn receive_answer(net: &mut SimulatedNet, reader: usize, age: Duration) {
    let read_at = net.now - age;
    let version = net.nodes[reader].version;
    net.act(reader, |machine, now, tables| {
        machine.confirm_store_read(read_at, read_at, version, now, tables)
    });
}

/// Lets the readers take turns; returns the highest number of overdue members.
///
/// The first round is not counted, since not every reader has read by then.
fn run_readers(net: &mut SimulatedNet, rounds: usize) -> usize {
    let mut worst = 0;
    for read_index in 0..rounds * READERS {
        read_store(net, read_index % READERS);
        net.run_until(net.now + CONFIRMATION_INTERVAL);
        if read_index >= READERS {
            worst = worst.max(overdue_members(net));
        }
    }
    worst
}

fn overdue_members(net: &SimulatedNet) -> usize {
    let is_overdue = |confirmed_at: Duration| net.now.saturating_sub(confirmed_at) > OVERDUE_AFTER;
    let nodes = net.nodes.iter();
    nodes
        .filter(|node| is_overdue(node.machine.store_confirmed_at()))
        .count()
}

/// Guards against members that read the store themselves although gossip from the readers keeps them current.
#[test]
fn the_store_clock_of_few_readers_reaches_nearly_all_members() {
    let mut net = network();
    net.loss = 0.02;

    let worst = run_readers(&mut net, 10);

    assert!(
        worst <= MEMBERS / 50,
        "{worst} of {MEMBERS} members are overdue"
    );
}

/// Guards against gossip of the store clock exceeding the control-traffic budget of 3 KB/s per member.
#[test]
fn gossip_of_the_store_clock_stays_within_the_control_budget() {
    let mut net = network();
    let before = net.total_bytes();

    run_readers(&mut net, 10);

    let seconds = (CONFIRMATION_INTERVAL * READERS as u32 * 10).as_secs();
    // Bytes are counted at both ends of each packet.
    let rate = (net.total_bytes() - before) / (MEMBERS as u64 * seconds);
    assert!(rate < 3_000, "{rate} bytes per second per member");
}

/// Guards against a member that counts as current while it has an older configuration.
#[test]
fn a_store_clock_is_adopted_only_with_its_configuration_version() {
    let mut net = network();
    let start = net.now;

    net.apply(7, 2);
    read_store(&mut net, 7);

    for _ in 0..3_000 {
        net.run_until(net.now + Duration::from_millis(1));
        let is_behind = |node: &&SimulatedNode| node.version < 2;
        let mut behind = net.nodes.iter().filter(is_behind);
        assert!(behind.all(|node| node.machine.store_confirmed_at() <= start));
    }
    let informed = net.nodes.iter();
    let informed = informed.filter(|node| node.machine.store_confirmed_at() > start);
    assert!(informed.count() > MEMBERS / 2);
}

/// Guards against a member that counts the age of a confirmation from its arrival: it may have been passed on for more
/// than a second, or the store's answer may have been late, and meanwhile the operator has made a change.
#[test]
fn the_age_of_a_confirmation_counts_from_the_read() {
    let mut net = network();
    let age = Duration::from_millis(800);
    let read_at = net.now - age;
    receive_answer(&mut net, 7, age);

    net.run_rounds(3);

    let latest = net.nodes.iter();
    let latest = latest.map(|node| node.machine.store_confirmed_at()).max();
    // Ages are sent in whole milliseconds, and a datagram takes up to one.
    let late_by = latest.expect("members").saturating_sub(read_at);
    assert!(late_by < Duration::from_millis(50), "{late_by:?}");
}

/// Guards against members that read the store because they never have the newest configuration when a confirmation
/// arrives: one that came with a configuration holds once that configuration is applied.
#[test]
fn a_store_clock_that_came_with_a_newer_configuration_is_adopted_with_it() {
    let mut net = network();
    let age = Duration::from_millis(100);
    let read_at = net.now - age;
    for (clock_ms, version) in [(1_000, 2), (1_050, 3)] {
        let packet = push_packet(clock_ms, version, age);
        net.act(3, |machine, now, tables| {
            machine.handle_packet(&packet, address_of(7), now, tables)
        });
    }
    let before = net.nodes[3].machine.store_confirmed_at();

    net.apply(3, 2);

    assert_eq!(before, Duration::ZERO);
    assert_eq!(net.nodes[3].machine.store_confirmed_at(), read_at);
}

/// Returns a packet of a member with a configuration version and a store clock of some age.
fn push_packet(clock_ms: u64, version: u64, age: Duration) -> GossipPacket {
    GossipPacket {
        protocol: PROTOCOL_VERSION,
        sender: name_of(7),
        config_version: version,
        kind: Some(GossipKind::Push(Push {})),
        store_view: Some(StoreView {
            clock_ms,
            moves_digest: 0,
            age_ms: age.as_millis() as u64,
        }),
        ..GossipPacket::default()
    }
}

/// Guards against a member that does not announce new moves (rollouts of a service version) to others.
#[test]
fn a_higher_moves_digest_reaches_other_members_within_a_round() {
    let mut net = network();

    net.act(3, |machine, _, tables| machine.set_moves_digest(9, tables));

    net.run_rounds(1);
    let informed = net
        .nodes
        .iter()
        .filter(|node| node.highest_moves_digest == 9);
    assert!(
        informed.count() >= 4,
        "too few members learned within one round of the higher digest"
    );
}
