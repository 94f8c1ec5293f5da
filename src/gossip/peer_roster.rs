//! Order in which peers are probed, and random selection of peers.

use {
    crate::membership::{MemberRecord, MemberTable},
    rand::{Rng, rngs::StdRng, seq::SliceRandom},
    std::{net::SocketAddr, sync::Arc},
};

/// Consecutive probes that may stay within the node's own failure domain.
const MAX_OWN_DOMAIN_RUN: u32 = 2;

/// Roster positions searched ahead for a member of another failure domain.
const LOOK_AHEAD: usize = 64;

/// Random draws per requested member before the roster is scanned instead.
const DRAWS_PER_MEMBER: usize = 8;

/// Name and address of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerContact {
    /// Name of the node.
    pub node: Arc<str>,
    /// Address of the node for gossip and synchronisation.
    pub address: SocketAddr,
}

/// Peers in probe order; reshuffled after each pass.
///
/// Invariant: holds each node of the member table except this one exactly once.
#[derive(Clone, Debug, Default)]
pub struct PeerRoster {
    nodes: Vec<Arc<str>>,
    next_index: usize,
    own_domain_run: u32,
}

impl PeerRoster {
    /// Returns the number of peers in any state, dead and departed ones included.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the roster is empty.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Adds a peer at a random position; the peer there moves to the end.
    pub fn add(&mut self, node: Arc<str>, rng: &mut StdRng) {
        let position = rng.random_range(0..=self.nodes.len());
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        self.nodes.swap(position, last);
    }

    /// Removes a peer; does nothing if it is absent.
    pub fn remove(&mut self, node: &str) {
        self.nodes.retain(|other| &**other != node);
    }

    /// Returns the next alive or suspect peer to probe.
    ///
    /// After a few consecutive probes within `own_domain`, the next one goes to another domain if possible, so that
    /// events cross domains even where nearly all members share one.
    pub fn next_probe(
        &mut self,
        table: &MemberTable,
        own_domain: &str,
        rng: &mut StdRng,
    ) -> Option<PeerContact> {
        for _ in 0..self.nodes.len() {
            self.reshuffle_at_end(rng);
            if self.own_domain_run >= MAX_OWN_DOMAIN_RUN {
                self.prefer_other_domain(table, own_domain);
            }
            let node = self.nodes[self.next_index].clone();
            self.next_index += 1;
            if let Some(record) = table.get(&node).filter(|record| is_reachable(record)) {
                self.update_own_domain_run(record.domain == own_domain);
                let address = record.peer_address;
                return Some(PeerContact { node, address });
            }
        }
        None
    }

    /// Returns up to `count` distinct random peers for which `accept` returns true.
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
            self.add_if_accepted(index, table, &accept, &mut chosen);
            if chosen.len() == count {
                return chosen;
            }
        }
        let start = rng.random_range(0..self.nodes.len());
        for offset in 0..self.nodes.len() {
            let index = (start + offset) % self.nodes.len();
            self.add_if_accepted(index, table, &accept, &mut chosen);
            if chosen.len() == count {
                break;
            }
        }
        chosen
    }

    fn add_if_accepted(
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

    fn reshuffle_at_end(&mut self, rng: &mut StdRng) {
        if self.next_index >= self.nodes.len() {
            self.nodes.shuffle(rng);
            self.next_index = 0;
        }
    }

    /// Moves the nearest peer of another domain within `LOOK_AHEAD` positions to the next one, if there is one.
    fn prefer_other_domain(&mut self, table: &MemberTable, own_domain: &str) {
        let end = self.nodes.len().min(self.next_index + LOOK_AHEAD);
        let other_domain = (self.next_index..end).find(|index| {
            table
                .get(&self.nodes[*index])
                .is_some_and(|record| is_reachable(record) && record.domain != own_domain)
        });
        if let Some(index) = other_domain {
            self.nodes.swap(self.next_index, index);
        }
    }

    fn update_own_domain_run(&mut self, is_own: bool) {
        self.own_domain_run = if is_own { self.own_domain_run + 1 } else { 0 };
    }
}

/// Returns whether packets may be sent to a node: it has neither left nor been declared dead.
pub fn is_reachable(record: &MemberRecord) -> bool {
    use crate::membership::MemberState::{Alive, Suspect};
    matches!(record.state, Alive | Suspect)
}
