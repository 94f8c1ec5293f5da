//! Text output of the operator program.

use {
    crate::{
        admin_types::{
            AuditEntry, ConflictingChange, ContractHistory, ErrorBody, MoveView, NodeStatus,
        },
        config::{CallLimits, MovePhase, RouteSpec, ServiceSpec, VersionMove},
        ids::ConfigVersion,
        ini_file::InputError,
        membership::MemberState,
        value_rule::{show_duration, show_permille, show_size},
    },
    serde::Serialize,
    std::collections::BTreeMap,
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Why a service is in its state.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceExplanation {
    /// State of the versions and the limits.
    pub view: MoveView,
    /// Whether the state was read from the store; otherwise it is that of the node asked.
    pub from_store: bool,
    /// Changes of the versions since the start of the latest move.
    pub steps: Vec<AuditEntry>,
    /// Latest changes of the service and of its customer.
    pub latest: Vec<AuditEntry>,
    /// Why audit records are missing; none if they are complete.
    pub gap: Option<String>,
}

/// Returns a time in milliseconds since the Unix epoch as RFC 3339.
pub fn show_time(at_ms: u64) -> String {
    let nanos = i128::from(at_ms) * 1_000_000;
    let time = OffsetDateTime::from_unix_timestamp_nanos(nanos).ok();
    let shown = time.and_then(|time| time.format(&Rfc3339).ok());
    shown.unwrap_or_else(|| format!("{at_ms} ms since 1970"))
}

/// Returns the faults of a file, one a line.
pub fn show_faults(errors: &[InputError]) -> String {
    lines_of(errors.iter().map(ToString::to_string))
}

fn lines_of(lines: impl Iterator<Item = String>) -> String {
    lines.map(|line| format!("{line}\n")).collect()
}

/// Returns an error of the API with both changes of a conflict.
pub fn show_error_body(body: &ErrorBody) -> String {
    let mut text = show_faults(&body.errors);
    if let Some(yours) = &body.yours {
        text += &format!("  yours:  {}\n", show_note(yours));
    }
    if let Some(theirs) = &body.theirs {
        text += &format!("  theirs: {}\n", show_note(theirs));
    }
    if let Some(revision) = body.revision {
        text += &format!("  revision in force: {revision}\n");
    }
    if let Some(version) = body.version {
        text += &format!("  look at the audit record of version {version}\n");
    }
    text
}

fn show_note(note: &ConflictingChange) -> String {
    let mut text = note.author.to_string();
    if let Some(version) = note.version {
        text += &format!(", version {version}");
    }
    if let Some(at_ms) = note.at_ms {
        text += &format!(", {}", show_time(at_ms));
    }
    format!("{text}: {}", note.summary)
}

/// Returns an audit record as one line.
pub fn show_entry(entry: &AuditEntry) -> String {
    format!(
        "version {}  {}  {}: {}",
        entry.version,
        show_time(entry.at_ms),
        entry.author,
        entry.summary
    )
}

/// Returns the changes of a contract.
pub fn show_history(history: &ContractHistory) -> String {
    let mut text = lines_of(history.records.iter().map(show_entry));
    if let Some(before) = history.before {
        text += &format!("older changes were not looked for below version {before}\n");
    }
    text
}

/// Returns the state of a move as one line.
pub fn show_move(view: &MoveView) -> String {
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
        show_permille(view.candidate_permille),
        show_time(current.finish_by_ms),
        current.reason
    );
    if let Some(veto) = &view.veto {
        text += &format!("  veto by node {}: {}\n", veto.issuer, veto.reason);
    }
    text
}

/// Returns how a move ended as one line.
pub fn show_end(key: &str, ended: &VersionMove) -> String {
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

/// Returns the versions of services with their shares and the targets announced.
pub fn show_versions(views: &[MoveView], status: &NodeStatus) -> String {
    lines_of(views.iter().map(|view| show_service_versions(view, status)))
}

fn show_service_versions(view: &MoveView, status: &NodeStatus) -> String {
    let mut targets: BTreeMap<&str, usize> = BTreeMap::new();
    targets.insert(&view.stable, 0);
    for member in &status.members {
        let reachable = matches!(member.state, MemberState::Alive | MemberState::Suspect);
        let target = member
            .target
            .as_ref()
            .filter(|target| target.key == view.key);
        if let (true, Some(target)) = (reachable, target) {
            *targets.entry(&target.version).or_default() += 1;
        }
    }
    let shown: Vec<String> = targets
        .iter()
        .map(|(version, count)| {
            let share = share_of(view, version);
            format!("{version}: share {}, {count} targets", show_permille(share))
        })
        .collect();
    format!("{}  {}", view.key, shown.join("; "))
}

fn share_of(view: &MoveView, version: &str) -> u32 {
    let candidate = view.current_move.as_ref().map(|current| &current.candidate);
    if version == view.stable {
        1000 - view.candidate_permille.min(1000)
    } else if candidate.is_some_and(|candidate| candidate == version) {
        view.candidate_permille
    } else {
        0
    }
}

/// Returns the nodes with their configuration versions.
pub fn show_status(status: &NodeStatus) -> String {
    let newest = newest_version(status);
    let ready = if status.ready { "ready" } else { "not ready" };
    let mut text = format!(
        "node {} in {}/{}: version {}, {ready}; newest version known: {newest}\n",
        status.node, status.region, status.domain, status.version
    );
    for member in &status.members {
        let lag = match newest - member.applied_version {
            0 => String::new(),
            lag => format!("  behind by {lag}"),
        };
        text += &format!(
            "  {}  {}  {}  version {}{lag}\n",
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

/// Returns why a service is in its state.
pub fn show_explanation(explanation: &ServiceExplanation) -> String {
    let view = &explanation.view;
    let source = if explanation.from_store {
        "accepted in the store"
    } else {
        "in force on the node asked; the store cannot be read"
    };
    let mut text = format!("configuration version {}, {source}\n", view.as_of);
    text += &show_move(view);
    text += "steps of the latest move:\n";
    text += &lines_of(explanation.steps.iter().map(indented_entry));
    text += "latest changes of the service and its customer:\n";
    text += &lines_of(explanation.latest.iter().map(indented_entry));
    if let Some(gap) = &explanation.gap {
        text += &format!("audit records are incomplete: {gap}\n");
    }
    text + &show_limits(&view.service)
}

fn indented_entry(entry: &AuditEntry) -> String {
    format!("  {}", show_entry(entry))
}

fn show_limits(service: &ServiceSpec) -> String {
    let mut text = format!("limits of service {}:\n", service.key);
    text += &show_call_limits("  all routes", &service.limits);
    text += &lines_of(service.routes.iter().map(show_route));
    text
}

fn show_route(route: &RouteSpec) -> String {
    let mut text = format!(
        "  {}: deadline {} (line {}), body limit {} (line {})",
        route.name,
        show_duration(route.deadline),
        route.deadline_line,
        show_size(route.body_limit.value),
        route.body_limit.line
    );
    for (name, limit) in named_limits(&route.limits) {
        text += &format!(", {name} {limit}");
    }
    text
}

fn show_call_limits(label: &str, limits: &CallLimits) -> String {
    let named = named_limits(limits).into_iter();
    lines_of(named.map(|(name, limit)| format!("{label}: {name} {limit}")))
}

fn named_limits(limits: &CallLimits) -> Vec<(&'static str, String)> {
    let named = [("rate", limits.rate), ("concurrency", limits.concurrency)];
    let shown = named.into_iter().filter_map(|(name, limit)| {
        let limit = limit?;
        Some((name, format!("{} (line {})", limit.value, limit.line)))
    });
    shown.collect()
}
