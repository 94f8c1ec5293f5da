//! Simulation of the usage caps of a fleet: machines without sockets, a network that delays, loses and repeats
//! messages, and faults of nodes and links.

use {
    poplarwing::{
        accounts::{
            cap_fleet::{KnownNode, NodeCensus},
            cap_machine::{CapMachine, FleetView, KEEPER_CANDIDATES, OutgoingAsk},
            cap_stock::TokenDecision,
            cap_terms::{AccountDigest, CAP_SLOTS, CapTerms},
        },
        wire::{CapAnswer, CapAsk},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        hash::Hasher,
        time::Duration,
    },
    xxhash_rust::xxh3::Xxh3,
};

/// Time between two steps of a node.
const TICK: Duration = Duration::from_millis(20);

/// Time between two reads of the membership by a node.
const FLEET_PERIOD: Duration = Duration::from_millis(250);

/// Time until the members of a fleet know of a change.
const NEWS_DELAY: Duration = Duration::from_millis(1500);

/// Time for which a restarted node counts only the members that are alive for it.
const ROWS_DELAY: Duration = Duration::from_millis(2000);

/// Longest wait of a call for a token.
const ADMISSION_WAIT: Duration = Duration::from_millis(100);

/// Largest drift of a clock, as a fraction.
const MAX_DRIFT: f64 = 0.0005;

/// Behaviour of the links.
#[derive(Clone, Copy, Debug)]
pub struct LinkModel {
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Fraction of the messages that arrive twice.
    pub repeat: f64,
    /// Shortest and longest delay of a message.
    pub delay: (Duration, Duration),
}

impl LinkModel {
    /// Returns the links of a fleet without faults.
    pub fn calm() -> Self {
        Self {
            loss: 0.0,
            repeat: 0.0,
            delay: (Duration::from_micros(300), Duration::from_micros(1500)),
        }
    }
}

#[derive(Clone, Debug)]
enum CapMessage {
    Ask(CapAsk),
    Answer(CapAnswer),
}

#[derive(Clone, Debug)]
enum SimEvent {
    Tick(usize),
    Arrival(usize, AccountDigest),
    Deliver {
        to: usize,
        from: usize,
        number: u64,
        message: CapMessage,
    },
    GiveBack {
        node: usize,
        epoch: u64,
        account: AccountDigest,
        expires: Duration,
    },
    Start(usize),
    Stop(usize),
}

/// Whether peers can reach a node, which they learn with `NEWS_DELAY`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Reachability {
    is_up: bool,
    group: usize,
}

struct SimNode {
    name: String,
    machine: Option<CapMachine>,
    epoch: u64,
    started: Duration,
    drift: f64,
    suspended_until: Duration,
    fleet_read_at: Option<Duration>,
    is_leaving: bool,
    state: Reachability,
    previous: Reachability,
    changed_at: Duration,
    /// When the node last joined or left.
    member_changed_at: Duration,
    is_member: bool,
    census: NodeCensus,
    /// For each other node that this one knows, whether it is a member or has left.
    known_members: BTreeMap<usize, bool>,
    waiting: Vec<(AccountDigest, Duration)>,
    /// Weights for the rank as keeper of each slot.
    weights: Vec<u64>,
}

/// Fleet under simulation.
pub struct CapSimulation {
    pub rng: StdRng,
    pub now: Duration,
    pub link: LinkModel,
    /// Fraction of the admitted calls that turn out not to have run.
    pub give_back: f64,
    /// Times at which calls were admitted that ran, for each account.
    pub admitted: BTreeMap<AccountDigest, Vec<Duration>>,
    caps: Vec<(AccountDigest, CapTerms)>,
    nodes: Vec<SimNode>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    last_event: u64,
    pub messages: u64,
}

impl CapSimulation {
    /// Returns a fleet in which all nodes start at the same time.
    pub fn new(seed: u64, nodes: usize, caps: Vec<(AccountDigest, CapTerms)>) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            link: LinkModel::calm(),
            give_back: 0.0,
            admitted: BTreeMap::new(),
            caps,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            messages: 0,
        };
        for _ in 0..nodes {
            simulation.join();
        }
        simulation
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns a random node that runs and is not leaving.
    pub fn random_up(&mut self) -> Option<usize> {
        let nodes = self.nodes.iter().enumerate();
        let up = nodes.filter(|(_, node)| node.machine.is_some() && !node.is_leaving);
        up.map(|(index, _)| index).choose(&mut self.rng)
    }

    /// Adds a node to the fleet and starts it.
    pub fn join(&mut self) {
        let index = self.nodes.len();
        let drift = 1.0 + self.rng.random_range(-MAX_DRIFT..MAX_DRIFT);
        let name = format!("n{index}");
        let weights = (0..CAP_SLOTS).map(|slot| weight(slot, &name)).collect();
        self.nodes.push(SimNode {
            name,
            weights,
            machine: None,
            epoch: 1_000_000,
            started: self.now,
            drift,
            suspended_until: Duration::ZERO,
            fleet_read_at: None,
            is_leaving: false,
            state: Reachability::default(),
            previous: Reachability::default(),
            changed_at: self.now,
            member_changed_at: self.now,
            is_member: false,
            census: NodeCensus::default(),
            known_members: BTreeMap::new(),
            waiting: Vec::new(),
        });
        self.start(index);
    }

    /// Kills a node and starts it again after `pause`.
    pub fn restart(&mut self, index: usize, pause: Duration) {
        if self.nodes[index].machine.is_none() {
            return;
        }
        self.stop(index);
        self.schedule(pause, SimEvent::Start(index));
    }

    /// Lets a node leave in an orderly way, end after `grace` and start again after that.
    pub fn leave(&mut self, index: usize, grace: Duration) {
        let node = &mut self.nodes[index];
        if node.machine.is_none() || node.is_leaving {
            return;
        }
        node.is_leaving = true;
        node.fleet_read_at = None;
        node.is_member = false;
        node.member_changed_at = self.now;
        self.schedule(grace, SimEvent::Stop(index));
        self.schedule(grace * 2, SimEvent::Start(index));
    }

    /// Suspends a node; its clock goes on.
    pub fn suspend(&mut self, index: usize, pause: Duration) {
        self.nodes[index].suspended_until = self.now + pause;
    }

    /// Divides the nodes into groups that cannot reach each other.
    pub fn partition(&mut self, group_of: impl Fn(usize) -> usize) {
        for index in 0..self.nodes.len() {
            let group = group_of(index);
            self.change_state(index, |state| state.group = group);
        }
    }

    /// Returns the fraction of the caps of a slot that all keepers hold together.
    pub fn total_share(&mut self, slot: usize) -> f64 {
        let mut total = 0.0;
        for index in 0..self.nodes.len() {
            let clock = self.clock(index);
            let machine = self.nodes[index].machine.as_mut();
            total += machine.map_or(0.0, |machine| machine.held_share(slot, clock));
        }
        total
    }

    /// Returns the node that comes first as the keeper of a slot while all nodes run.
    pub fn first_keeper(&self, slot: usize) -> usize {
        let nodes = 0..self.nodes.len();
        let first = nodes.min_by_key(|node| self.nodes[*node].weights[slot]);
        first.unwrap_or_default()
    }

    /// Replaces the caps on all nodes at once.
    pub fn set_caps(&mut self, caps: Vec<(AccountDigest, CapTerms)>) {
        self.caps = caps;
        for index in 0..self.nodes.len() {
            let clock = self.clock(index);
            if let Some(machine) = &mut self.nodes[index].machine {
                machine.set_caps(&self.caps, clock);
            }
        }
    }

    /// Lets a call arrive at a node after `delay`.
    pub fn arrive(&mut self, delay: Duration, node: usize, account: AccountDigest) {
        self.schedule(delay, SimEvent::Arrival(node, account));
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Start(index) => self.start(index),
            SimEvent::Stop(index) => self.stop(index),
            SimEvent::Tick(index) => {
                if self.nodes[index].machine.is_some() {
                    self.schedule(TICK, SimEvent::Tick(index));
                    self.run_node(index, |_, _| {});
                }
            }
            SimEvent::Arrival(index, account) => {
                if self.defer(index, SimEvent::Arrival(index, account)) {
                    return;
                }
                let now = self.now;
                let clock = self.clock(index);
                let node = &mut self.nodes[index];
                if let Some(machine) = &mut node.machine
                    && machine.begin(account, clock)
                {
                    node.waiting.push((account, now));
                    self.admit_waiting(index);
                }
            }
            SimEvent::Deliver {
                to,
                from,
                number,
                message,
            } => self.deliver(to, from, number, message),
            SimEvent::GiveBack {
                node,
                epoch,
                account,
                expires,
            } => {
                let clock = self.clock(node);
                let node = &mut self.nodes[node];
                if let Some(machine) = node.machine.as_mut().filter(|_| node.epoch == epoch) {
                    machine.give_back(account, expires, clock);
                }
            }
        }
    }

    fn start(&mut self, index: usize) {
        let caps = self.caps.clone();
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.machine.is_some() {
            return;
        }
        node.epoch += 1000;
        node.started = now;
        node.is_leaving = false;
        node.fleet_read_at = None;
        node.suspended_until = Duration::ZERO;
        let mut machine = CapMachine::new(node.name.clone(), node.epoch, Duration::ZERO);
        machine.set_caps(&caps, Duration::ZERO);
        node.machine = Some(machine);
        node.census = NodeCensus::default();
        node.known_members.clear();
        if !node.is_member {
            node.is_member = true;
            node.member_changed_at = now;
        }
        self.change_state(index, |state| state.is_up = true);
        let phase = TICK.mul_f64(self.rng.random::<f64>());
        self.schedule(phase, SimEvent::Tick(index));
    }

    fn stop(&mut self, index: usize) {
        self.nodes[index].machine = None;
        self.nodes[index].waiting.clear();
        self.change_state(index, |state| state.is_up = false);
    }

    fn change_state(&mut self, index: usize, change: impl FnOnce(&mut Reachability)) {
        let known = self.known_state(index);
        let now = self.now;
        let node = &mut self.nodes[index];
        let mut changed = node.state;
        change(&mut changed);
        if changed != node.state {
            node.state = changed;
            node.previous = known;
            node.changed_at = now;
        }
    }

    fn known_state(&self, index: usize) -> Reachability {
        let node = &self.nodes[index];
        let is_known = self.now >= node.changed_at + NEWS_DELAY;
        if is_known { node.state } else { node.previous }
    }

    /// Lets a node learn which others have joined and left, of those that it can reach. The store tells a restarted
    /// node the names of all nodes that have not left.
    fn learn_members(&mut self, index: usize) {
        let now = self.now;
        let rows_at = self.nodes[index].started + ROWS_DELAY;
        let reads_rows = now >= rows_at && now < rows_at + FLEET_PERIOD * 2;
        let group = self.nodes[index].state.group;
        for other in 0..self.nodes.len() {
            let state = &self.nodes[other];
            let (is_member, state_group) = (state.is_member, state.state.group);
            let has_news = now >= state.member_changed_at + NEWS_DELAY && state_group == group;
            let known = &mut self.nodes[index].known_members;
            if has_news || other == index {
                known.insert(other, is_member);
            } else if reads_rows && is_member {
                known.entry(other).or_insert(true);
            }
        }
    }

    fn count_nodes(&mut self, index: usize) -> usize {
        self.learn_members(index);
        let clock = self.clock(index);
        let known = self.nodes[index].known_members.clone();
        let names: Vec<(String, bool)> = known
            .into_iter()
            .map(|(other, is_member)| (self.nodes[other].name.clone(), !is_member))
            .collect();
        let members = names.iter().map(|(node, has_left)| KnownNode {
            node,
            has_left: *has_left,
        });
        self.nodes[index].census.count(members, clock)
    }

    fn deliver(&mut self, to: usize, from: usize, number: u64, message: CapMessage) {
        let event = SimEvent::Deliver {
            to,
            from,
            number,
            message: message.clone(),
        };
        if self.defer(to, event) {
            return;
        }
        let sender = self.nodes[from].name.clone();
        let clock = self.clock(to);
        let Some(machine) = &mut self.nodes[to].machine else {
            return;
        };
        match message {
            CapMessage::Ask(ask) => {
                if let Some(answer) = machine.answer(&sender, number, &ask, clock) {
                    self.send(to, from, number, CapMessage::Answer(answer));
                }
            }
            CapMessage::Answer(answer) => {
                machine.take_answer(&sender, number, &answer, clock);
                self.admit_waiting(to);
                self.run_node(to, |_, _| {});
            }
        }
    }

    /// Puts an event of a suspended node off until it resumes.
    fn defer(&mut self, index: usize, event: SimEvent) -> bool {
        let until = self.nodes[index].suspended_until;
        if until <= self.now {
            return false;
        }
        self.schedule(until - self.now, event);
        true
    }

    fn run_node(&mut self, index: usize, step: impl FnOnce(&mut CapMachine, Duration)) {
        if self.nodes[index].suspended_until > self.now {
            return;
        }
        self.read_fleet(index);
        let clock = self.clock(index);
        let Some(machine) = &mut self.nodes[index].machine else {
            return;
        };
        step(machine, clock);
        let due = machine.poll(clock);
        self.send_all(index, due);
        self.admit_waiting(index);
    }

    fn read_fleet(&mut self, index: usize) {
        let now = self.now;
        let node = &self.nodes[index];
        if node.fleet_read_at.is_some_and(|at| now < at + FLEET_PERIOD) {
            return;
        }
        let nodes = self.count_nodes(index);
        let view = self.fleet_view(index, nodes);
        let clock = self.clock(index);
        let node = &mut self.nodes[index];
        node.fleet_read_at = Some(now);
        if let Some(machine) = &mut node.machine {
            machine.set_fleet(view, clock);
        }
    }

    fn fleet_view(&self, index: usize, nodes: usize) -> FleetView {
        let own = &self.nodes[index];
        let own_group = self.known_state(index).group;
        let is_alive = |other: &usize| {
            let state = self.known_state(*other);
            let has_left = own.known_members.get(other) != Some(&true);
            *other == index || (state.is_up && !has_left && state.group == own_group)
        };
        let alive: Vec<usize> = (0..self.nodes.len()).filter(is_alive).collect();
        let keepers = (0..CAP_SLOTS).map(|slot| {
            let mut left = alive.clone();
            let first = (0..KEEPER_CANDIDATES.min(left.len())).map(|_| {
                let lowest = left.iter().enumerate();
                let lowest = lowest.min_by_key(|(_, node)| self.nodes[**node].weights[slot]);
                let place = lowest.map_or(0, |(place, _)| place);
                self.nodes[left.swap_remove(place)].name.clone()
            });
            first.collect()
        });
        FleetView {
            nodes,
            has_rows: self.now >= own.started + ROWS_DELAY,
            is_leaving: own.is_leaving,
            keepers: keepers.collect(),
        }
    }

    fn admit_waiting(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        let mut has_polled = false;
        for (account, since) in waiting {
            let clock = self.clock(index);
            let Some(machine) = &mut self.nodes[index].machine else {
                return;
            };
            let mut decision = machine.take(account, clock);
            if decision == Some(TokenDecision::Pending) && !has_polled {
                has_polled = true;
                let due = machine.poll(clock);
                decision = machine.take(account, clock);
                self.send_all(index, due);
            }
            let is_pending = decision == Some(TokenDecision::Pending);
            let node = &mut self.nodes[index];
            if is_pending && self.now < since + ADMISSION_WAIT {
                node.waiting.push((account, since));
                continue;
            }
            if let Some(machine) = &mut node.machine {
                machine.end(account);
            }
            if let Some(TokenDecision::Taken(expires)) = decision {
                self.admit(index, account, expires);
            }
        }
    }

    fn admit(&mut self, node: usize, account: AccountDigest, expires: Duration) {
        if self.give_back > 0.0 && self.rng.random_bool(self.give_back) {
            let delay = Duration::from_millis(self.rng.random_range(0..400));
            let epoch = self.nodes[node].epoch;
            let event = SimEvent::GiveBack {
                node,
                epoch,
                account,
                expires,
            };
            self.schedule(delay, event);
            return;
        }
        self.admitted.entry(account).or_default().push(self.now);
    }

    fn send_all(&mut self, from: usize, due: Vec<OutgoingAsk>) {
        for outgoing in due {
            let to = self
                .nodes
                .iter()
                .position(|node| node.name == outgoing.keeper);
            if let Some(to) = to {
                self.send(from, to, outgoing.number, CapMessage::Ask(outgoing.ask));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, number: u64, message: CapMessage) {
        self.messages += 1;
        let is_cut = self.nodes[from].state.group != self.nodes[to].state.group;
        let is_lost = self.link.loss > 0.0 && self.rng.random_bool(self.link.loss);
        if is_cut || is_lost {
            return;
        }
        let is_repeated = self.link.repeat > 0.0 && self.rng.random_bool(self.link.repeat);
        for _ in 0..1 + usize::from(is_repeated) {
            let (shortest, longest) = self.link.delay;
            let delay = shortest + (longest - shortest).mul_f64(self.rng.random::<f64>());
            let event = SimEvent::Deliver {
                to,
                from,
                number,
                message: message.clone(),
            };
            self.schedule(delay, event);
        }
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.last_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// Returns the time of a node's clock, which starts with the process and counts suspensions.
    fn clock(&self, index: usize) -> Duration {
        let node = &self.nodes[index];
        (self.now - node.started).mul_f64(node.drift)
    }
}

fn weight(slot: usize, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write_usize(slot);
    hasher.write(name.as_bytes());
    hasher.finish()
}
