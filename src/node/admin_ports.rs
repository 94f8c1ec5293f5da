//! Implementation of the operations of the operator API on the store and the node.

use {
    super::{NodeParts, apply_accepted_config},
    crate::{
        admin_hooks::{
            AdminHooks, AuditRange, ChangeRequest, CommitFailure, ReadFailure, async_hook,
        },
        admin_types::{
            AuditAuthor, AuditEntry, ContractBody, ContractReference, TargetAnnouncementBody,
        },
        config::ConfigSnapshot,
        config_store::{AuditRecord, ChangeAuthor, CommitError, ConfigChange, ContractWrite},
        ids::CustomerName,
        membership::TargetRecord,
        platform_store::StoreError,
    },
    std::{sync::Arc, time::Instant},
};

/// Returns the callbacks through which the operator API reads and changes the node and the store.
pub fn admin_hooks(parts: &NodeParts) -> AdminHooks {
    let (accepted, contract) = (parts.clone(), parts.clone());
    let (commit, audit) = (parts.clone(), parts.clone());
    let (announce, metrics) = (parts.clone(), parts.metrics.clone());
    AdminHooks {
        read_accepted: async_hook(move |()| read_accepted(accepted.clone())),
        read_contract: async_hook(move |customer| read_contract(contract.clone(), customer)),
        commit: async_hook(move |request| commit_change(commit.clone(), request)),
        read_audit: async_hook(move |range| read_audit(audit.clone(), range)),
        announce: Arc::new(move |body| announce_target(&announce, body)),
        metrics: Arc::new(move || metrics.render()),
    }
}

fn read_failure(error: StoreError) -> ReadFailure {
    ReadFailure {
        operation: format!("{} at {}", error.step, error.endpoint),
        cause: error.fault.to_string(),
    }
}

async fn read_accepted(parts: NodeParts) -> Result<Arc<ConfigSnapshot>, ReadFailure> {
    let head = parts.config.head().await.map_err(read_failure)?;
    let current = parts.board.gate.current();
    if head.version == current.version {
        return Ok(current);
    }
    let loaded = parts.config.load_from(&current, &head).await;
    loaded.map(Arc::new).map_err(read_failure)
}

async fn read_contract(
    parts: NodeParts,
    customer: CustomerName,
) -> Result<Option<ContractBody>, ReadFailure> {
    let stored = parts
        .config
        .contract(&customer)
        .await
        .map_err(read_failure)?;
    Ok(stored.map(|contract| ContractBody {
        customer: contract.customer,
        revision: contract.revision,
        text: contract.text,
    }))
}

async fn commit_change(
    parts: NodeParts,
    request: ChangeRequest,
) -> Result<Arc<ConfigSnapshot>, CommitFailure> {
    let next_version = request.base.version + 1;
    let change = ConfigChange {
        base: request.base,
        changed: request.changed,
        removed: request.removed,
        author: ChangeAuthor::Operator(request.operator),
        summary: request.summary,
        contract: request.contract.map(|contract| ContractWrite {
            customer: contract.customer,
            text: contract.text,
            expected_revision: contract.expected_revision,
        }),
    };
    match parts.config.commit(change).await {
        Ok(snapshot) => {
            apply_accepted_config(&parts, snapshot.clone());
            Ok(Arc::new(snapshot))
        }
        Err(error) => Err(commit_failure(error, next_version)),
    }
}

fn commit_failure(error: CommitError, version: u64) -> CommitFailure {
    match error {
        CommitError::Conflict { theirs, .. } => CommitFailure::Conflict {
            theirs: Box::new(audit_entry(*theirs)),
        },
        CommitError::Store(error) if error.may_have_taken_effect() => CommitFailure::Unknown {
            version,
            cause: error.to_string(),
        },
        CommitError::Invalid(error) => CommitFailure::Invalid(error.to_string()),
        other => CommitFailure::NotAccepted(other.to_string()),
    }
}

async fn read_audit(parts: NodeParts, range: AuditRange) -> Result<Vec<AuditEntry>, ReadFailure> {
    let records = parts
        .config
        .audit(range.from, range.limit)
        .await
        .map_err(read_failure)?;
    Ok(records.into_iter().map(audit_entry).collect())
}

fn audit_entry(record: AuditRecord) -> AuditEntry {
    AuditEntry {
        version: record.version,
        previous: record.version - 1,
        at_ms: record.at_ms,
        author: match record.author {
            ChangeAuthor::Operator(name) => AuditAuthor::Operator(name),
            ChangeAuthor::Controller { node, .. } => AuditAuthor::Controller(node),
        },
        summary: record.summary,
        contract: record.contract.map(|contract| ContractReference {
            customer: contract.customer,
            revision: contract.revision,
        }),
        changed: record
            .delta
            .changed
            .into_iter()
            .map(|entry| entry.resource)
            .collect(),
        removed: record.delta.removed,
    }
}

fn without_demand(target: &TargetRecord) -> TargetRecord {
    TargetRecord {
        demand: 0,
        ..target.clone()
    }
}

fn announce_target(parts: &NodeParts, body: TargetAnnouncementBody) {
    parts.target.announce(body, Instant::now());
    let record = parts.target.record();
    let published = parts.gossip.own().target;
    // Changes of the demand alone are gossiped periodically; every other change is gossiped immediately.
    if record.as_ref().map(without_demand) != published.as_ref().map(without_demand) {
        parts.gossip.announce_target(record);
    }
}
