//! What members tell each other of the platform's store, in simulated time.

#[allow(dead_code, reason = "the measurement uses other parts of the driver")]
#[path = "../experiments/src/simulated_net.rs"]
mod simulated_net;

use {
    simulated_net::{SimulatedNet, SimulatedNode, section},
    std::time::Duration,
};

const SEED: u64 = 17;

const MEMBERS: usize = 300;

/// Members that read the store.
const READERS: usize = 12;

/// Time between two reads of one reader.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// Age of the news above which members read the store themselves.
const OVERDUE: Duration = Duration::from_millis(2200);

fn network() -> SimulatedNet {
    let mut net = SimulatedNet::new(MEMBERS, SEED, section(4));
    net.run_rounds(10);
    net
}

fn read_store(net: &mut SimulatedNet, reader: usize) {
    let (clock, version) = (net.now, net.nodes[reader].version);
    net.act(reader, |machine, now, tables| {
        machine.confirm_store(clock, version, now, tables)
    });
}

/// Lets each reader read in turn for a while; returns how many members were overdue at the worst moment.
fn run_readers(net: &mut SimulatedNet, periods: usize) -> usize {
    let mut worst = 0;
    for turn in 0..periods * READERS {
        read_store(net, turn % READERS);
        net.run_until(net.now + READ_PERIOD / READERS as u32);
        if turn >= READERS {
            worst = worst.max(overdue_members(net));
        }
    }
    worst
}

fn overdue_members(net: &SimulatedNet) -> usize {
    let is_overdue = |confirmed_at: Duration| net.now.saturating_sub(confirmed_at) > OVERDUE;
    let nodes = net.nodes.iter();
    nodes
        .filter(|node| is_overdue(node.machine.store_confirmed_at()))
        .count()
}

/// Guards against members that read the store although others have read it for them.
#[test]
fn the_clock_of_few_readers_reaches_nearly_all_members() {
    let mut net = network();
    net.loss = 0.02;

    let worst = run_readers(&mut net, 10);

    assert!(
        worst <= MEMBERS / 50,
        "{worst} of {MEMBERS} members are overdue"
    );
}

/// Guards against the news of the store exceeding the control budget of 3 KB/s.
#[test]
fn the_clock_stays_within_the_control_budget() {
    let mut net = network();
    let before = net.total_bytes();

    run_readers(&mut net, 10);

    let seconds = READ_PERIOD.as_secs() * 10;
    // Bytes are counted at both ends of each packet.
    let rate = (net.total_bytes() - before) / (MEMBERS as u64 * seconds);
    assert!(rate < 3_000, "{rate} bytes per second and member");
}

/// Guards against a member that believes to have missed nothing while it has an older configuration.
#[test]
fn a_clock_is_taken_only_with_the_configuration_that_it_stands_for() {
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
    let told = net.nodes.iter();
    let told = told.filter(|node| node.machine.store_confirmed_at() > start);
    assert!(told.count() > MEMBERS / 2);
}

/// Guards against moves that a member knows and does not announce.
#[test]
fn a_member_with_fewer_moves_hears_of_one_with_more() {
    let mut net = network();

    net.act(3, |machine, _, tables| machine.set_moves_digest(9, tables));

    net.run_rounds(1);
    let heard = net.nodes.iter().filter(|node| node.heard_moves == 9);
    assert!(heard.count() >= 4, "too few were told");
}
