//! Configuration changes requested by operators: contracts and moves.
//!
//! A contract is a customer's configuration file: its services, routes and limits. A move shifts a
//! service's calls step by step from its stable version to a candidate version. Every change is built on
//! the accepted configuration (the latest one in the store) and committed against that base version.

use {
    crate::{
        admin_error::ApiError,
        admin_hooks::{AdminHooks, AuditRange, ChangeRequest, CommitFailure, ContractText},
        admin_types::{
            AuditAuthor, AuditEntry, ConflictingChange, ContractAccepted, ContractBody, ErrorCode,
            MoveAccepted, MoveRequest,
        },
        config::{
            ConfigSnapshot, MovePhase, ResourceName, ServiceKey, ServiceSpec, TrafficSplit,
            VersionMove,
        },
        contract::{
            ContractDifference, ContractResources, CustomerContract, FINISH_RANGE, parse_contract,
        },
        ids::{ConfigVersion, OperatorName},
        value_rule::{VERSION_NAME_SYNTAX, format_duration, is_version_name},
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// File name shown in parse errors of a contract that came in a request.
const REQUEST_FILE_NAME: &str = "contract";

/// Most differences listed in a summary; the audit record holds the changed resources in full.
const MAX_SUMMARY_DIFFERENCES: usize = 8;

/// Audit records read from the store per page of a search.
const AUDIT_PAGE_SIZE: u32 = 200;

/// Most audit records searched for one request.
const MAX_SEARCHED_RECORDS: u64 = 10_000;

/// A contract that an operator asks to apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContractProposal {
    /// Operator who sent the request.
    pub operator: OperatorName,
    /// Customer named in the request path; must be the one that the text names.
    pub customer: String,
    /// Revision that the contract replaces; 0 for the first contract of the customer.
    pub expected_revision: u64,
    /// Text of the contract, in INI format.
    pub text: String,
}

/// Applies a contract atomically.
///
/// A text equal to the current one is accepted without a change. Fails with a conflict if the current
/// revision is not the expected one.
pub async fn apply_contract(
    hooks: &AdminHooks,
    proposal: ContractProposal,
) -> Result<ContractAccepted, ApiError> {
    let contract = parse_proposal(&proposal)?;
    let current = (hooks.read_contract)(proposal.customer.clone()).await?;
    let base = (hooks.read_accepted)(()).await?;
    if let Some(current) = &current
        && current.text == proposal.text
    {
        return Ok(unchanged_response(current, base.version));
    }
    let differences = contract_differences(&contract, current.as_ref());
    let revision = current.as_ref().map_or(0, |current| current.revision);
    let summary = contract_summary(&proposal, &differences);
    if revision != proposal.expected_revision {
        return Err(revision_conflict(hooks, &proposal, revision, summary, base.version).await);
    }
    let resources = contract.resources(&base);
    reject_removal_during_move(&base, &resources)?;
    let next = commit(hooks, contract_change(base, resources, &proposal, &summary)).await?;
    Ok(ContractAccepted {
        customer: proposal.customer,
        revision: revision + 1,
        version: next.version,
        unchanged: false,
        differences,
    })
}

fn parse_proposal(proposal: &ContractProposal) -> Result<CustomerContract, ApiError> {
    let contract = parse_contract(REQUEST_FILE_NAME, &proposal.text)?;
    let named_customer = &contract.customer.customer;
    if named_customer != &proposal.customer {
        let message = format!(
            "The request is for customer {}, but the contract is for customer {named_customer}.",
            proposal.customer
        );
        return Err(ApiError::new(ErrorCode::InvalidContract, message));
    }
    Ok(contract)
}

fn unchanged_response(current: &ContractBody, version: ConfigVersion) -> ContractAccepted {
    ContractAccepted {
        customer: current.customer.clone(),
        revision: current.revision,
        version,
        unchanged: true,
        differences: Vec::new(),
    }
}

/// Returns the differences from the current contract. A stored text that an older release accepted but this
/// one rejects is treated as absent, so that it can be replaced.
fn contract_differences(
    contract: &CustomerContract,
    current: Option<&ContractBody>,
) -> Vec<ContractDifference> {
    let current_contract =
        current.and_then(|current| parse_contract(REQUEST_FILE_NAME, &current.text).ok());
    match current_contract {
        Some(current_contract) => contract.diff_from(&current_contract),
        None => contract.diff_from_empty(),
    }
}

fn contract_summary(proposal: &ContractProposal, differences: &[ContractDifference]) -> String {
    let mut parts: Vec<String> = differences
        .iter()
        .take(MAX_SUMMARY_DIFFERENCES)
        .map(ToString::to_string)
        .collect();
    if differences.len() > MAX_SUMMARY_DIFFERENCES {
        parts.push(format!(
            "{} more",
            differences.len() - MAX_SUMMARY_DIFFERENCES
        ));
    }
    if parts.is_empty() {
        parts.push("only comments, order or notation".to_owned());
    }
    format!(
        "contract of {}, revision {}: {}",
        proposal.customer,
        proposal.expected_revision + 1,
        parts.join("; ")
    )
}

async fn revision_conflict(
    hooks: &AdminHooks,
    proposal: &ContractProposal,
    revision: u64,
    summary: String,
    head: ConfigVersion,
) -> ApiError {
    let message = format!(
        "The contract of {} is at revision {revision}, but the change expects revision {}.",
        proposal.customer, proposal.expected_revision
    );
    let mut error = ApiError::new(ErrorCode::Conflict, message);
    error.body.yours = Some(Box::new(submitted_change(&proposal.operator, &summary)));
    error.body.revision = Some(revision);
    // The conflict is reported even if the audit record of the other change cannot be read.
    let history = contract_history(hooks, &proposal.customer, head, 1).await;
    let latest = history
        .ok()
        .and_then(|found| found.records.into_iter().next());
    error.body.theirs = latest.map(|entry| Box::new(accepted_change(&entry)));
    error
}

/// Rejects a contract that removes a service with a running move: without its resources the move could
/// never end.
fn reject_removal_during_move(
    base: &ConfigSnapshot,
    resources: &ContractResources,
) -> Result<(), ApiError> {
    for service in base.services() {
        let removed = resources
            .removed
            .contains(&format!("service/{}", service.key));
        let split = base.split(&service.key);
        let running = split.and_then(running_move);
        if let (true, Some(running)) = (removed, running) {
            let message = format!(
                "The contract removes service {}, but move {} to {} is running. Cancel it first.",
                service.key, running.id, running.candidate
            );
            return Err(ApiError::new(ErrorCode::MoveRunning, message));
        }
    }
    Ok(())
}

fn contract_change(
    base: Arc<ConfigSnapshot>,
    resources: ContractResources,
    proposal: &ContractProposal,
    summary: &str,
) -> ChangeRequest {
    ChangeRequest {
        base,
        changed: resources.changed,
        removed: resources.removed,
        operator: proposal.operator.clone(),
        summary: summary.to_owned(),
        contract: Some(ContractText {
            customer: proposal.customer.clone(),
            text: proposal.text.clone(),
            expected_revision: proposal.expected_revision,
        }),
    }
}

/// Starts a move of a service to another version, with no calls on it yet.
pub async fn start_move(
    hooks: &AdminHooks,
    operator: OperatorName,
    request: MoveRequest,
) -> Result<MoveAccepted, ApiError> {
    check_move_request(&request)?;
    let key = ServiceKey {
        customer: request.customer.clone(),
        service: request.service.clone(),
    };
    let base = (hooks.read_accepted)(()).await?;
    let (service, split) = service_with_split(&base, &key)?;
    reject_invalid_move(split, &request)?;
    let next_split = split_with_new_move(&base, service, split, &operator, &request);
    let summary = format!(
        "start of move {} of {key} from {} to {}",
        base.version + 1,
        split.stable,
        request.version
    );
    commit_split(hooks, base.clone(), next_split, operator, summary).await
}

fn check_move_request(request: &MoveRequest) -> Result<(), ApiError> {
    if !is_version_name(&request.version) {
        let message = format!(
            "The version is {:?}; allowed: {VERSION_NAME_SYNTAX}.",
            request.version
        );
        return Err(ApiError::new(ErrorCode::InvalidChange, message));
    }
    let finish = request.finish_within_ms.map(Duration::from_millis);
    match finish.filter(|finish| !FINISH_RANGE.contains(finish)) {
        Some(finish) => {
            let message = format!(
                "finish_within_ms is {}; allowed: from {} to {}.",
                format_duration(finish),
                format_duration(*FINISH_RANGE.start()),
                format_duration(*FINISH_RANGE.end())
            );
            Err(ApiError::new(ErrorCode::InvalidChange, message))
        }
        None => Ok(()),
    }
}

/// Returns a service and the split of its calls between versions.
pub fn service_with_split<'a>(
    snapshot: &'a ConfigSnapshot,
    key: &ServiceKey,
) -> Result<(&'a ServiceSpec, &'a TrafficSplit), ApiError> {
    let found = snapshot.service(key).zip(snapshot.split(key));
    found.ok_or_else(|| {
        let message = format!(
            "No contract in configuration version {} defines service {key}.",
            snapshot.version
        );
        ApiError::new(ErrorCode::NotFound, message)
    })
}

fn reject_invalid_move(split: &TrafficSplit, request: &MoveRequest) -> Result<(), ApiError> {
    if let Some(running) = running_move(split) {
        let message = format!(
            "Move {} of {} to {} is running. Wait until it ends or cancel it.",
            running.id, split.key, running.candidate
        );
        return Err(ApiError::new(ErrorCode::MoveRunning, message));
    }
    if split.stable == request.version {
        let message = format!(
            "{} is already the stable version of {}.",
            split.stable, split.key
        );
        return Err(ApiError::new(ErrorCode::InvalidChange, message));
    }
    Ok(())
}

/// Returns the current move of a split if it has not ended.
pub fn running_move(split: &TrafficSplit) -> Option<&VersionMove> {
    let current = split.current_move.as_ref()?;
    let ended = matches!(current.phase, MovePhase::Done | MovePhase::TakenBack);
    (!ended).then_some(current)
}

fn split_with_new_move(
    base: &ConfigSnapshot,
    service: &ServiceSpec,
    split: &TrafficSplit,
    operator: &OperatorName,
    request: &MoveRequest,
) -> TrafficSplit {
    let finish_within = request
        .finish_within_ms
        .map_or(service.move_policy.finish_within, Duration::from_millis);
    let started_at_ms = now_ms();
    TrafficSplit {
        candidate_permille: 0,
        current_move: Some(VersionMove {
            id: base.version + 1,
            candidate: request.version.clone(),
            previous: split.stable.clone(),
            phase: MovePhase::Waiting,
            started_at_ms,
            finish_by_ms: started_at_ms.saturating_add(finish_within.as_millis() as u64),
            reason: format!("started by operator {operator}"),
        }),
        ..split.clone()
    }
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}

/// Cancels a running move: all calls go back to the stable version. A `move_id` restricts this to one
/// move, so that a later one is not cancelled by mistake.
pub async fn cancel_move(
    hooks: &AdminHooks,
    operator: OperatorName,
    key: &ServiceKey,
    move_id: Option<ConfigVersion>,
) -> Result<MoveAccepted, ApiError> {
    let base = (hooks.read_accepted)(()).await?;
    let (_, split) = service_with_split(&base, key)?;
    let wanted = running_move(split).filter(|found| move_id.is_none_or(|id| id == found.id));
    let Some(running) = wanted else {
        let name = move_id.map_or_else(|| "No move".to_owned(), |id| format!("Not move {id}"));
        let message = format!("{name} of {key} is running.");
        return Err(ApiError::new(ErrorCode::NoSuchMove, message));
    };
    let next_split = TrafficSplit {
        candidate_permille: 0,
        current_move: Some(VersionMove {
            phase: MovePhase::TakenBack,
            reason: format!(
                "cancelled by operator {operator} in phase {}",
                running.phase
            ),
            ..running.clone()
        }),
        ..split.clone()
    };
    let summary = format!(
        "cancellation of move {} of {key} to {} in phase {}",
        running.id, running.candidate, running.phase
    );
    commit_split(hooks, base.clone(), next_split, operator, summary).await
}

async fn commit_split(
    hooks: &AdminHooks,
    base: Arc<ConfigSnapshot>,
    split: TrafficSplit,
    operator: OperatorName,
    summary: String,
) -> Result<MoveAccepted, ApiError> {
    let key = split.key.clone();
    let move_id = split.current_move.as_ref().map_or(0, |current| current.id);
    let change = ChangeRequest {
        base,
        changed: vec![split.into()],
        removed: Vec::new(),
        operator,
        summary,
        contract: None,
    };
    let next = commit(hooks, change).await?;
    Ok(MoveAccepted {
        key,
        move_id,
        version: next.version,
    })
}

/// Commits in a separate task, so that a client that disconnects does not abort a commit half-way.
async fn commit(
    hooks: &AdminHooks,
    change: ChangeRequest,
) -> Result<Arc<ConfigSnapshot>, ApiError> {
    let submitted = submitted_change(&change.operator, &change.summary);
    let version = change.base.version + 1;
    let result = match tokio::spawn((hooks.commit)(change)).await {
        Ok(result) => result,
        Err(error) => Err(CommitFailure::Unknown {
            version,
            cause: error.to_string(),
        }),
    };
    result.map_err(|failure| commit_error(failure, submitted))
}

fn commit_error(failure: CommitFailure, yours: ConflictingChange) -> ApiError {
    let message = format!("{failure}.");
    match failure {
        CommitFailure::Conflict { theirs } => {
            let mut error = ApiError::new(ErrorCode::Conflict, message);
            error.body.yours = Some(Box::new(yours));
            error.body.theirs = Some(Box::new(accepted_change(&theirs)));
            error
        }
        CommitFailure::Invalid(_) => ApiError::new(ErrorCode::InvalidChange, message),
        CommitFailure::NotAccepted(_) => ApiError::new(ErrorCode::StoreUnavailable, message),
        CommitFailure::Unknown { version, .. } => {
            let mut error = ApiError::new(ErrorCode::OutcomeUnknown, message);
            error.body.version = Some(version);
            error
        }
    }
}

fn submitted_change(operator: &OperatorName, summary: &str) -> ConflictingChange {
    ConflictingChange {
        author: AuditAuthor::Operator(operator.clone()),
        summary: summary.to_owned(),
        version: None,
        at_ms: None,
    }
}

fn accepted_change(entry: &AuditEntry) -> ConflictingChange {
    ConflictingChange {
        author: entry.author.clone(),
        summary: entry.summary.clone(),
        version: Some(entry.version),
        at_ms: Some(entry.at_ms),
    }
}

/// Result of a search through a part of the audit log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditScan {
    /// Matching records, in search order.
    pub records: Vec<AuditEntry>,
    /// Version at which the search stopped early, from which to continue it; none if the whole range was
    /// searched.
    pub stopped_at: Option<ConfigVersion>,
}

/// Searches for changes of a contract, from version `last` backwards.
pub async fn contract_history(
    hooks: &AdminHooks,
    customer: &str,
    last: ConfigVersion,
    limit: usize,
) -> Result<AuditScan, ApiError> {
    let mut records = Vec::new();
    let mut end = last.saturating_add(1);
    let lowest = end.saturating_sub(MAX_SEARCHED_RECORDS).max(1);
    while end > lowest && records.len() < limit {
        let from = end.saturating_sub(u64::from(AUDIT_PAGE_SIZE)).max(lowest);
        let count = (end - from) as u32;
        let page = (hooks.read_audit)(AuditRange { from, limit: count }).await?;
        let in_range = page.into_iter().filter(|entry| entry.version < end);
        let mut found: Vec<AuditEntry> = in_range
            .filter(|entry| changes_contract_of(entry, customer))
            .collect();
        found.reverse();
        records.append(&mut found);
        end = from;
    }
    if records.len() > limit {
        records.truncate(limit);
        end = records.last().map_or(end, |entry| entry.version);
    }
    Ok(AuditScan {
        records,
        stopped_at: (end > 1).then_some(end),
    })
}

fn changes_contract_of(entry: &AuditEntry, customer: &str) -> bool {
    let contract = entry.contract.as_ref();
    contract.is_some_and(|contract| contract.customer == customer)
}

/// Filter for a search of the audit log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AuditSearch {
    /// First configuration version, inclusive.
    pub from: ConfigVersion,
    /// Last configuration version, inclusive.
    pub until: ConfigVersion,
    /// Most records to return.
    pub limit: usize,
    /// Only changes of this resource; none means changes of any resource.
    pub resource: Option<ResourceName>,
}

/// Searches for audit records in ascending order of their versions.
pub async fn audit_records(
    hooks: &AdminHooks,
    search: &AuditSearch,
) -> Result<AuditScan, ApiError> {
    let mut scan = AuditScan::default();
    let mut next = search.from.max(1);
    let end = next.saturating_add(MAX_SEARCHED_RECORDS);
    while next < end {
        let range = AuditRange {
            from: next,
            limit: AUDIT_PAGE_SIZE,
        };
        let page = (hooks.read_audit)(range).await?;
        let complete = page.len() < AUDIT_PAGE_SIZE as usize;
        for entry in page {
            if entry.version > search.until {
                return Ok(scan);
            }
            if scan.records.len() == search.limit {
                scan.stopped_at = Some(entry.version);
                return Ok(scan);
            }
            next = entry.version + 1;
            let wanted = search.resource.as_ref();
            if wanted.is_none_or(|name| entry.concerns(name)) {
                scan.records.push(entry);
            }
        }
        if complete {
            return Ok(scan);
        }
    }
    scan.stopped_at = Some(next);
    Ok(scan)
}
