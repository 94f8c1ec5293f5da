//! Formats results of the operator program as text for people.

use {
    crate::{
        admin_types::{
            AuditEntry, ConflictingChange, ContractHistory, ErrorBody, MoveView, NodeStatus,
        },
        config::{CallLimits, MovePhase, RouteSpec, ServiceSpec, VersionMove},
        ids::ConfigVersion,
        ini_file::InputError,
        membership::MemberState,
        value_rule::{format_duration, format_permille, format_size},
    },
    serde::Serialize,
    std::collections::BTreeMap,
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Result of `explain`: the state of a service and the audit records that led to it.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceExplanation {
    /// Versions, latest move and limits of the service.
    pub view: MoveView,
    /// Whether `view` was read from the store; otherwise it is what the queried node has in force.
    pub from_store: bool,
    /// Changes of the service's traffic split since the start of its latest move.
    pub steps: Vec<AuditEntry>,
    /// Last changes of the customer, the service and its traffic split.
    pub latest: Vec<AuditEntry>,
    /// Why audit records are missing from `steps` or `latest`; none if they are complete.
    pub gap: Option<String>,
}

/// Formats a time in milliseconds since the Unix epoch as RFC 3339.
pub fn format_time(at_ms: u64) -> String {
    let nanos = i128::from(at_ms) * 1_000_000;
    let time = OffsetDateTime::from_unix_timestamp_nanos(nanos).ok();
    let formatted = time.and_then(|time| time.format(&Rfc3339).ok());
    formatted.unwrap_or_else(|| format!("{at_ms} ms since the Unix epoch"))
}

/// Formats errors of a contract file, one per line.
pub fn format_input_errors(errors: &[InputError]) -> String {
    join_lines(errors.iter().map(ToString::to_string))
}

fn join_lines(lines: impl Iterator<Item = String>) -> String {
    lines.map(|line| format!("{line}\n")).collect()
}

/// Formats the details of an API error: errors of the contract, both changes of a conflict, and versions.
pub fn format_error_body(body: &ErrorBody) -> String {
    let mut text = format_input_errors(&body.errors);
    if let Some(yours) = &body.yours {
        text += &format!("  yours:  {}\n", format_change(yours));
    }
    if let Some(theirs) = &body.theirs {
        text += &format!("  theirs: {}\n", format_change(theirs));
    }
    if let Some(revision) = body.revision {
        text += &format!("  revision in force: {revision}\n");
    }
    if let Some(version) = body.version {
        text += &format!("  look at the audit record of version {version}\n");
    }
    text
}

fn format_change(change: &ConflictingChange) -> String {
    let mut text = change.author.to_string();
    if let Some(version) = change.version {
        text += &format!(", version {version}");
    }
    if let Some(at_ms) = change.at_ms {
        text += &format!(", {}", format_time(at_ms));
    }
    format!("{text}: {}", change.summary)
}

/// Formats an audit record as one line.
pub fn format_entry(entry: &AuditEntry) -> String {
    format!(
        "version {}  {}  {}: {}",
        entry.version,
        format_time(entry.at_ms),
        entry.author,
        entry.summary
    )
}

/// Formats the changes of a contract, one per line.
pub fn format_history(history: &ContractHistory) -> String {
    let mut text = join_lines(history.records.iter().map(format_entry));
    if let Some(before) = history.before {
        text += &format!("changes older than version {before} were not searched\n");
    }
    text
}

/// Formats the latest move of a service: one line each for its state, its reason and a veto.
pub fn format_move(view: &MoveView) -> String {
    let Some(current) = &view.current_move else {
        return format!("{}  stable {}  no move yet\n", view.key, view.stable);
    };
    let mut text = format!(
        "{}  move {}  {} -> {}  {}  share {}  finish by {}\n  reason: {}\n",
        view.key,
        current.id,
        current.previous,
        current.candidate,
        current.phase,
        format_permille(view.candidate_permille),
        format_time(current.finish_by_ms),
        current.reason
    );
    if let Some(veto) = &view.veto {
        text += &format!("  veto by node {}: {}\n", veto.issuer, veto.reason);
    }
    text
}

/// Formats the outcome of a move as one line.
pub fn format_outcome(key: &str, ended: &VersionMove) -> String {
    let result = match ended.phase {
        MovePhase::Done => "has taken over",
        MovePhase::TakenBack => "was taken back",
        _ => "has not ended",
    };
    format!(
        "move {} of {key}: {} {result}: {}\n",
        ended.id, ended.candidate, ended.reason
    )
}

/// Formats the versions of services with their shares of calls and their numbers of reachable targets, one
/// service per line.
pub fn format_versions(views: &[MoveView], status: &NodeStatus) -> String {
    join_lines(
        views
            .iter()
            .map(|view| format_service_versions(view, status)),
    )
}

fn format_service_versions(view: &MoveView, status: &NodeStatus) -> String {
    let mut target_counts: BTreeMap<&str, usize> = BTreeMap::new();
    target_counts.insert(&view.stable, 0);
    for member in &status.members {
        let reachable = matches!(member.state, MemberState::Alive | MemberState::Suspect);
        let target = member
            .target
            .as_ref()
            .filter(|target| target.key == view.key);
        if let (true, Some(target)) = (reachable, target) {
            *target_counts.entry(&target.version).or_default() += 1;
        }
    }
    let shown: Vec<String> = target_counts
        .iter()
        .map(|(version, count)| {
            let share = version_share(view, version);
            format!(
                "{version}: share {}, {count} targets",
                format_permille(share)
            )
        })
        .collect();
    format!("{}  {}", view.key, shown.join("; "))
}

fn version_share(view: &MoveView, version: &str) -> u32 {
    let candidate = view.current_move.as_ref().map(|current| &current.candidate);
    if version == view.stable {
        1000 - view.candidate_permille.min(1000)
    } else if candidate.is_some_and(|candidate| candidate == version) {
        view.candidate_permille
    } else {
        0
    }
}

/// Formats the status of a node and, one per line, the members that it knows and the vetoes.
pub fn format_status(status: &NodeStatus) -> String {
    let newest = newest_version(status);
    let ready = if status.ready { "ready" } else { "not ready" };
    let mut text = format!(
        "node {} in {}/{}: version {}, {ready}; newest version known: {newest}\n",
        status.node, status.region, status.domain, status.version
    );
    for member in &status.members {
        let lag_note = match newest - member.applied_version {
            0 => String::new(),
            lag => format!("  behind by {lag}"),
        };
        text += &format!(
            "  {}  {}  {}  version {}{lag_note}\n",
            member.node, member.domain, member.state, member.applied_version
        );
    }
    for veto in &status.vetoes {
        text += &format!(
            "  veto against move {} of {} by node {}: {}\n",
            veto.move_id, veto.key, veto.issuer, veto.reason
        );
    }
    text
}

fn newest_version(status: &NodeStatus) -> ConfigVersion {
    let members = status.members.iter().map(|member| member.applied_version);
    members.max().unwrap_or_default().max(status.version)
}

/// Formats an explanation of the state of a service.
pub fn format_explanation(explanation: &ServiceExplanation) -> String {
    let view = &explanation.view;
    let source = if explanation.from_store {
        "accepted in the store"
    } else {
        "in force on the node queried; the store cannot be read"
    };
    let mut text = format!("configuration version {}, {source}\n", view.as_of);
    text += &format_move(view);
    text += "steps of the latest move:\n";
    text += &join_lines(explanation.steps.iter().map(format_indented_entry));
    text += "latest changes of the service and its customer:\n";
    text += &join_lines(explanation.latest.iter().map(format_indented_entry));
    if let Some(gap) = &explanation.gap {
        text += &format!("audit records are incomplete: {gap}\n");
    }
    text + &format_limits(&view.service)
}

fn format_indented_entry(entry: &AuditEntry) -> String {
    format!("  {}", format_entry(entry))
}

fn format_limits(service: &ServiceSpec) -> String {
    let mut text = format!("limits of service {}:\n", service.key);
    text += &format_call_limits("  all routes", &service.limits);
    text += &join_lines(service.routes.iter().map(format_route));
    text
}

fn format_route(route: &RouteSpec) -> String {
    let mut text = format!(
        "  {}: deadline {} (line {}), body limit {} (line {})",
        route.name,
        format_duration(route.deadline),
        route.deadline_line,
        format_size(route.body_limit.value),
        route.body_limit.line
    );
    for (name, limit) in limit_texts(&route.limits) {
        text += &format!(", {name} {limit}");
    }
    text
}

fn format_call_limits(label: &str, limits: &CallLimits) -> String {
    let named = limit_texts(limits).into_iter();
    join_lines(named.map(|(name, limit)| format!("{label}: {name} {limit}")))
}

fn limit_texts(limits: &CallLimits) -> Vec<(&'static str, String)> {
    let named = [("rate", limits.rate), ("concurrency", limits.concurrency)];
    let formatted = named.into_iter().filter_map(|(name, limit)| {
        let limit = limit?;
        Some((name, format!("{} (line {})", limit.value, limit.line)))
    });
    formatted.collect()
}
