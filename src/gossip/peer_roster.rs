//! Order in which the peers are probed, and random choice among them.

use {
    crate::membership::{MemberRecord, MemberTable},
    rand::{Rng, rngs::StdRng, seq::SliceRandom},
    std::{net::SocketAddr, sync::Arc},
};

/// Probes in a row that may stay within the node's own failure domain.
const OWN_DOMAIN_RUN: u32 = 2;

/// Positions looked ahead for a member of another failure domain.
const LOOK_AHEAD: usize = 64;

/// Random draws per member wanted before the roster is scanned instead.
const DRAWS_PER_MEMBER: usize = 8;

/// Name and address of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerContact {
    /// Name of the node.
    pub node: Arc<str>,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Peers in the order of probing; reshuffled after each pass.
///
/// Invariant: holds each node of the member table but the own one exactly once.
#[derive(Clone, Debug, Default)]
pub struct PeerRoster {
    nodes: Vec<Arc<str>>,
    next: usize,
    own_domain_run: u32,
}

impl PeerRoster {
    /// Returns the number of peers, whatever their state.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there is no peer.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Adds a peer at a random position.
    pub fn add(&mut self, node: Arc<str>, rng: &mut StdRng) {
        let position = rng.random_range(0..=self.nodes.len());
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        self.nodes.swap(position, last);
    }

    /// Removes a peer.
    pub fn remove(&mut self, node: &str) {
        self.nodes.retain(|other| &**other != node);
    }

    /// Returns the next peer to probe.
    ///
    /// After a few probes within `own_domain` one goes to another domain if there is one, so that news
    /// crosses domains even where nearly all members share one.
    pub fn next_probe(
        &mut self,
        table: &MemberTable,
        own_domain: &str,
        rng: &mut StdRng,
    ) -> Option<PeerContact> {
        for _ in 0..self.nodes.len() {
            self.wrap(rng);
            if self.own_domain_run >= OWN_DOMAIN_RUN {
                self.bring_foreign(table, own_domain);
            }
            let node = self.nodes[self.next].clone();
            self.next += 1;
            if let Some(record) = table.get(&node).filter(|record| is_reachable(record)) {
                self.count_domain(record.domain == own_domain);
                let address = record.peer_address;
                return Some(PeerContact { node, address });
            }
        }
        None
    }

    /// Returns up to `count` different random peers that `accept` admits.
    pub fn choose(
        &self,
        table: &MemberTable,
        count: usize,
        rng: &mut StdRng,
        accept: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<PeerContact> {
        let mut chosen: Vec<PeerContact> = Vec::with_capacity(count);
        if self.nodes.is_empty() || count == 0 {
            return chosen;
        }
        for _ in 0..count * DRAWS_PER_MEMBER {
            let index = rng.random_range(0..self.nodes.len());
            self.consider(index, table, &accept, &mut chosen);
            if chosen.len() == count {
                return chosen;
            }
        }
        let start = rng.random_range(0..self.nodes.len());
        for step in 0..self.nodes.len() {
            let index = (start + step) % self.nodes.len();
            self.consider(index, table, &accept, &mut chosen);
            if chosen.len() == count {
                break;
            }
        }
        chosen
    }

    fn consider(
        &self,
        index: usize,
        table: &MemberTable,
        accept: &impl Fn(&MemberRecord) -> bool,
        chosen: &mut Vec<PeerContact>,
    ) {
        let node = &self.nodes[index];
        if chosen.iter().any(|contact| contact.node == *node) {
            return;
        }
        if let Some(record) = table.get(node).filter(|record| accept(record)) {
            chosen.push(PeerContact {
                node: node.clone(),
                address: record.peer_address,
            });
        }
    }

    fn wrap(&mut self, rng: &mut StdRng) {
        if self.next >= self.nodes.len() {
            self.nodes.shuffle(rng);
            self.next = 0;
        }
    }

    fn bring_foreign(&mut self, table: &MemberTable, own_domain: &str) {
        let end = self.nodes.len().min(self.next + LOOK_AHEAD);
        let foreign = (self.next..end).find(|index| {
            table
                .get(&self.nodes[*index])
                .is_some_and(|record| is_reachable(record) && record.domain != own_domain)
        });
        if let Some(index) = foreign {
            self.nodes.swap(self.next, index);
        }
    }

    fn count_domain(&mut self, is_own: bool) {
        self.own_domain_run = if is_own { self.own_domain_run + 1 } else { 0 };
    }
}

/// Returns whether a node is worth a packet: it has neither left nor been declared dead.
pub fn is_reachable(record: &MemberRecord) -> bool {
    use crate::membership::MemberState::{Alive, Suspect};
    matches!(record.state, Alive | Suspect)
}
