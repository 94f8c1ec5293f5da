//! Ranking of the live nodes and of their failure domains for a duty by rendezvous hashing. All nodes with the same
//! membership compute the same ranking, so each can tell without coordination whether a duty is its own.

use {
    super::context::MeshContext,
    crate::{
        ids::NodeId,
        membership::{MemberRecord, MemberState},
    },
    std::{collections::BTreeSet, hash::Hasher},
    xxhash_rust::xxh3::Xxh3,
};

/// Place of a failure domain among those with live nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DomainPlace {
    /// Rank of the domain; 0 is first.
    pub rank: usize,
    /// Number of domains with live nodes.
    pub domains: usize,
}

/// Returns the rank of this node among the live nodes that `accept` admits; 0 is first.
///
/// The ranking depends on the duty, so that the duties are spread over the nodes.
pub fn own_rank(
    context: &MeshContext,
    duty: &str,
    accept: impl Fn(&MemberRecord) -> bool,
) -> usize {
    let own = &context.settings.node.id;
    let own_weight = (weight(duty, own), own);
    let members = context.board.members.lock();
    let others = members.iter().filter(|record| {
        record.state == MemberState::Alive && &record.node != own && accept(record)
    });
    let before = others.filter(|record| (weight(duty, &record.node), &record.node) < own_weight);
    before.count()
}

/// Returns the first `count` live nodes by rank for a duty, this node included.
pub fn first_nodes(context: &MeshContext, duty: &str, count: usize) -> Vec<NodeId> {
    let members = context.board.members.lock();
    let live = members
        .iter()
        .filter(|record| record.state == MemberState::Alive);
    let mut ranked: Vec<(u64, &NodeId)> = live
        .map(|record| (weight(duty, &record.node), &record.node))
        .collect();
    ranked.sort_unstable();
    let first = ranked.into_iter().take(count);
    first.map(|(_, node)| node.clone()).collect()
}

/// Returns the place of a failure domain among those with live nodes.
pub fn domain_rank(context: &MeshContext, duty: &str, domain: &str) -> DomainPlace {
    let members = context.board.members.lock();
    let live = members
        .iter()
        .filter(|record| record.state == MemberState::Alive);
    let domains: BTreeSet<&str> = live.map(|record| record.domain.as_str()).collect();
    let own_weight = (weight(duty, domain), domain);
    let before = domains
        .iter()
        .filter(|other| (weight(duty, other), **other) < own_weight);
    DomainPlace {
        rank: before.count(),
        domains: domains.len(),
    }
}

fn weight(duty: &str, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(duty.as_bytes());
    hasher.write(name.as_bytes());
    hasher.finish()
}
