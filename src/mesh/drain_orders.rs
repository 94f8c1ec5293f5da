//! Applies drains of failure domains that the store or a peer states to this node.

use {
    super::{context::MeshContext, port::FeedPosition},
    crate::domain_drain::DomainDrain,
    derive_more::Display,
    std::net::SocketAddr,
    tracing::{info, warn},
};

/// Where a node has learnt of a drain.
#[derive(Clone, Copy, Debug, Display)]
enum DrainSource {
    #[display("store")]
    Store,
    #[display("peer {_0}")]
    Peer(SocketAddr),
}

/// Applies drains that were read from the store; `complete_at` is the position of a read of the whole table, none for
/// a read of changes.
pub fn apply_store_drains(
    context: &MeshContext,
    drains: Vec<DomainDrain>,
    complete_at: Option<FeedPosition>,
) {
    let changes = {
        let mut table = context.board.drains.lock();
        match complete_at {
            Some(position) => table.merge_complete(drains, position),
            None => table.merge(drains),
        }
    };
    apply_changes(context, &changes, DrainSource::Store);
}

/// Applies drains that a peer has sent.
pub fn apply_peer_drains(context: &MeshContext, drains: Vec<DomainDrain>, peer: SocketAddr) {
    let changes = context.board.drains.lock().merge(drains);
    apply_changes(context, &changes, DrainSource::Peer(peer));
}

fn apply_changes(context: &MeshContext, changes: &[DomainDrain], source: DrainSource) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        log_change(context, change, source);
    }
    let count = context.board.drains.lock().active_count();
    context.metrics.set_drained_domains(count);
    let own_domain = &context.settings.node.failure_domain;
    let own_change = changes.iter().rfind(|change| change.domain == *own_domain);
    match own_change.map(|change| change.active) {
        Some(true) => {
            info!(
                decision = "drain",
                domain = own_domain,
                "target of this node takes no calls: its failure domain is drained"
            );
            context.publish_target();
        }
        Some(false) => context.domain_restored(),
        None => {}
    }
}

fn log_change(context: &MeshContext, change: &DomainDrain, source: DrainSource) {
    let (domain, revision) = (&change.domain, change.revision);
    if !change.active {
        info!(decision = "drain", domain, revision, %source, "drain of a failure domain ended");
        return;
    }
    info!(decision = "drain", domain, revision, %source, "drain of a failure domain ordered");
    let members = context.board.members.lock();
    let is_known = *domain == context.settings.node.failure_domain
        || members.iter().any(|record| record.domain == *domain);
    if !is_known {
        warn!(
            decision = "drain",
            domain,
            revision,
            "drain names a failure domain without a known node; expected that of a node"
        );
    }
}
