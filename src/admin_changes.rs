//! Changes that operators make: contracts and moves.

use {
    crate::{
        admin_error::ApiError,
        admin_hooks::{AdminHooks, AuditRange, ChangeRequest, CommitFailure, ContractText},
        admin_types::{
            AuditAuthor, AuditEntry, ChangeNote, ContractAccepted, ContractBody, ErrorCode,
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
        value_rule::{VERSION_NAME_SYNTAX, is_version_name, show_duration},
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Name of a contract in errors about its text.
const CONTRACT_FILE: &str = "contract";

/// Most differences that a summary names; the audit record holds the resources in full.
const MAX_SUMMARY_DIFFERENCES: usize = 8;

/// Audit records read at once while looking for the latest change.
const AUDIT_PAGE: u32 = 200;

/// Most audit records looked through for one request.
const MAX_SCANNED: u64 = 10_000;

/// A contract that an operator wants in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContractProposal {
    /// Operator who sent it.
    pub operator: OperatorName,
    /// Customer named in the request.
    pub customer: String,
    /// Revision that the operator replaces; 0 for the first.
    pub expected_revision: u64,
    /// Text of the contract.
    pub text: String,
}

/// Puts a contract in force, whole or not at all.
pub async fn apply_contract(
    hooks: &AdminHooks,
    proposal: ContractProposal,
) -> Result<ContractAccepted, ApiError> {
    let contract = checked_contract(&proposal)?;
    let present = (hooks.contract)(proposal.customer.clone()).await?;
    let base = (hooks.accepted)(()).await?;
    if let Some(present) = &present
        && present.text == proposal.text
    {
        return Ok(unchanged_answer(present, base.version));
    }
    let differences = differences_to(&contract, present.as_ref());
    let revision = present.as_ref().map_or(0, |present| present.revision);
    let summary = contract_summary(&proposal, &differences);
    if revision != proposal.expected_revision {
        return Err(revision_conflict(hooks, &proposal, revision, summary, base.version).await);
    }
    let resources = contract.resources(&base);
    refuse_running_moves(&base, &resources)?;
    let next = commit(hooks, contract_change(base, resources, &proposal, &summary)).await?;
    Ok(ContractAccepted {
        customer: proposal.customer,
        revision: revision + 1,
        version: next.version,
        unchanged: false,
        differences,
    })
}

fn checked_contract(proposal: &ContractProposal) -> Result<CustomerContract, ApiError> {
    let contract = parse_contract(CONTRACT_FILE, &proposal.text)?;
    let named = &contract.customer.customer;
    if named != &proposal.customer {
        let message = format!(
            "The request is for customer {}, but the contract names {named}.",
            proposal.customer
        );
        return Err(ApiError::new(ErrorCode::InvalidContract, message));
    }
    Ok(contract)
}

fn unchanged_answer(present: &ContractBody, version: ConfigVersion) -> ContractAccepted {
    ContractAccepted {
        customer: present.customer.clone(),
        revision: present.revision,
        version,
        unchanged: true,
        differences: Vec::new(),
    }
}

/// Returns the differences to the contract in force. A stored text that an older program accepted but this
/// one does not is treated as absent, so that it can be replaced.
fn differences_to(
    contract: &CustomerContract,
    present: Option<&ContractBody>,
) -> Vec<ContractDifference> {
    let older = present.and_then(|present| parse_contract(CONTRACT_FILE, &present.text).ok());
    match older {
        Some(older) => contract.diff_from(&older),
        None => contract.diff_from_none(),
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
        "The contract of {} has revision {revision}, but the change was made for revision {}.",
        proposal.customer, proposal.expected_revision
    );
    let mut error = ApiError::new(ErrorCode::Conflict, message);
    error.body.yours = Some(Box::new(own_note(&proposal.operator, &summary)));
    error.body.revision = Some(revision);
    // The conflict stands even if the record of the other change cannot be read now.
    let history = contract_history(hooks, &proposal.customer, head, 1).await;
    let latest = history
        .ok()
        .and_then(|found| found.records.into_iter().next());
    error.body.theirs = latest.map(|entry| Box::new(note_of(&entry)));
    error
}

/// A service whose move is running must keep its resources, or the move could not be ended.
fn refuse_running_moves(
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

/// Starts a move to a version.
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
    let base = (hooks.accepted)(()).await?;
    let (service, split) = service_with_split(&base, &key)?;
    refuse_needless_move(split, &request)?;
    let next_split = started_split(&base, service, split, &operator, &request);
    let summary = format!(
        "start of move {} of {key} from {} to {}",
        base.version + 1,
        split.stable,
        request.version
    );
    change_split(hooks, base.clone(), next_split, operator, summary).await
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
                show_duration(finish),
                show_duration(*FINISH_RANGE.start()),
                show_duration(*FINISH_RANGE.end())
            );
            Err(ApiError::new(ErrorCode::InvalidChange, message))
        }
        None => Ok(()),
    }
}

/// Returns a service and its split.
pub fn service_with_split<'a>(
    snapshot: &'a ConfigSnapshot,
    key: &ServiceKey,
) -> Result<(&'a ServiceSpec, &'a TrafficSplit), ApiError> {
    let found = snapshot.service(key).zip(snapshot.split(key));
    found.ok_or_else(|| {
        let message = format!(
            "No contract in configuration version {} has the service {key}.",
            snapshot.version
        );
        ApiError::new(ErrorCode::NotFound, message)
    })
}

fn refuse_needless_move(split: &TrafficSplit, request: &MoveRequest) -> Result<(), ApiError> {
    if let Some(running) = running_move(split) {
        let message = format!(
            "Move {} of {} to {} is running. Wait for its end or cancel it.",
            running.id, split.key, running.candidate
        );
        return Err(ApiError::new(ErrorCode::MoveRunning, message));
    }
    if split.stable == request.version {
        let message = format!("{} of {} is the stable version.", split.stable, split.key);
        return Err(ApiError::new(ErrorCode::InvalidChange, message));
    }
    Ok(())
}

/// Returns the move of a split that has not ended.
pub fn running_move(split: &TrafficSplit) -> Option<&VersionMove> {
    let current = split.current_move.as_ref()?;
    let ended = matches!(current.phase, MovePhase::Done | MovePhase::TakenBack);
    (!ended).then_some(current)
}

fn started_split(
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

/// Takes a running move back; `move_id` guards against cancelling a later one.
pub async fn cancel_move(
    hooks: &AdminHooks,
    operator: OperatorName,
    key: &ServiceKey,
    move_id: Option<ConfigVersion>,
) -> Result<MoveAccepted, ApiError> {
    let base = (hooks.accepted)(()).await?;
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
    change_split(hooks, base.clone(), next_split, operator, summary).await
}

async fn change_split(
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

/// Commits in a task of its own, so that a client that goes away does not cut a commit in two.
async fn commit(
    hooks: &AdminHooks,
    change: ChangeRequest,
) -> Result<Arc<ConfigSnapshot>, ApiError> {
    let note = own_note(&change.operator, &change.summary);
    let version = change.base.version + 1;
    let result = match tokio::spawn((hooks.commit)(change)).await {
        Ok(result) => result,
        Err(error) => Err(CommitFailure::Unknown {
            version,
            cause: error.to_string(),
        }),
    };
    result.map_err(|failure| commit_error(failure, note))
}

fn commit_error(failure: CommitFailure, yours: ChangeNote) -> ApiError {
    let message = format!("{failure}.");
    match failure {
        CommitFailure::Conflict { theirs } => {
            let mut error = ApiError::new(ErrorCode::Conflict, message);
            error.body.yours = Some(Box::new(yours));
            error.body.theirs = Some(Box::new(note_of(&theirs)));
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

fn own_note(operator: &OperatorName, summary: &str) -> ChangeNote {
    ChangeNote {
        author: AuditAuthor::Operator(operator.clone()),
        summary: summary.to_owned(),
        version: None,
        at_ms: None,
    }
}

fn note_of(entry: &AuditEntry) -> ChangeNote {
    ChangeNote {
        author: entry.author.clone(),
        summary: entry.summary.clone(),
        version: Some(entry.version),
        at_ms: Some(entry.at_ms),
    }
}

/// Audit records found in one look through a part of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditScan {
    /// Records found, in the order of the search.
    pub records: Vec<AuditEntry>,
    /// Version at which the search stopped; none if it reached the end of the log.
    pub stopped_at: Option<ConfigVersion>,
}

/// Looks backwards from `last` for changes of a contract.
pub async fn contract_history(
    hooks: &AdminHooks,
    customer: &str,
    last: ConfigVersion,
    limit: usize,
) -> Result<AuditScan, ApiError> {
    let mut records = Vec::new();
    let mut end = last.saturating_add(1);
    let lowest = end.saturating_sub(MAX_SCANNED).max(1);
    while end > lowest && records.len() < limit {
        let from = end.saturating_sub(u64::from(AUDIT_PAGE)).max(lowest);
        let count = (end - from) as u32;
        let page = (hooks.audit)(AuditRange { from, limit: count }).await?;
        let in_range = page.into_iter().filter(|entry| entry.version < end);
        let mut found: Vec<AuditEntry> =
            in_range.filter(|entry| changes(entry, customer)).collect();
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

fn changes(entry: &AuditEntry, customer: &str) -> bool {
    let contract = entry.contract.as_ref();
    contract.is_some_and(|contract| contract.customer == customer)
}

/// Audit records that a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AuditSearch {
    /// First version.
    pub from: ConfigVersion,
    /// Last version.
    pub until: ConfigVersion,
    /// Most records to return.
    pub limit: usize,
    /// Resource that the changes concern; none means any.
    pub resource: Option<ResourceName>,
}

/// Looks forwards for changes.
pub async fn audit_records(
    hooks: &AdminHooks,
    search: &AuditSearch,
) -> Result<AuditScan, ApiError> {
    let mut scan = AuditScan::default();
    let mut next = search.from.max(1);
    let end = next.saturating_add(MAX_SCANNED);
    while next < end {
        let range = AuditRange {
            from: next,
            limit: AUDIT_PAGE,
        };
        let page = (hooks.audit)(range).await?;
        let complete = page.len() < AUDIT_PAGE as usize;
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
