//! Contracts of customers: parsing, checks, difference, and the resources they stand for.

use {
    crate::{
        config::{
            CallLimits, ConfigResource, ConfigSnapshot, ContractLimit, CustomerSpec, MovePolicy,
            MovePreference, ResourceName, RouteSpec, ServiceKey, ServiceSpec, TrafficSplit,
        },
        ids::{RouteName, ServiceName},
        ini_file::{ErrorList, IniFile, IniSection, InputErrors, SectionReader, parse_ini},
        value_rule::{
            ValueRule, all_differ, bool_rule, duration_rule, host_rule, is_name, name_rule,
            number_rule, permille_rule, rule, show_duration, show_permille, show_size, size_rule,
            version_rule,
        },
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::RangeInclusive, time::Duration},
};

/// Allowed rates in calls per second.
const RATE_RANGE: RangeInclusive<u64> = 1..=10_000_000;

/// Allowed numbers of calls in progress.
const CONCURRENCY_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// Allowed deadlines.
const DEADLINE_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(3600);

/// Largest body limit in bytes.
const MAX_BODY_BYTES: u64 = 64 << 30;

/// Allowed times for a version to take over.
///
/// The verdict gains evidence at a limited rate, so that a short disturbance proves nothing. Below a minute
/// the last step before the takeover is too short for any verdict, and every move would be taken back.
pub const FINISH_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(60)..=Duration::from_secs(7 * 86_400);

/// Allowed times for watching a version after it took over.
const WATCH_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(86_400);

/// Default of `canary_share`, in per mille.
const DEFAULT_CANARY_PERMILLE: u32 = 50;

/// Methods that a route may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Forms of section headers.
const SECTION_SYNTAX: &str =
    "[customer], [service SERVICE], [route SERVICE ROUTE] or [move SERVICE]";

/// All faults of a contract.
pub type ContractErrors = InputErrors;

/// A checked contract of a customer.
///
/// Invariants: service names and hosts are unique, and every service has a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerContract {
    /// The customer and its limits over all services.
    pub customer: CustomerSpec,
    /// Services in the order of the contract.
    pub services: Vec<ServiceSpec>,
    /// Lines of the sections and keys that the contract holds.
    pub lines: Vec<TermLine>,
}

/// Line of a section or of a key in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermLine {
    /// Section.
    pub section: String,
    /// Key, or empty for the header of the section.
    pub key: String,
    /// Line, counted from 1.
    pub line: u32,
}

/// Resources that a contract adds, changes or removes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ContractResources {
    /// New and changed resources.
    pub changed: Vec<ConfigResource>,
    /// Names of resources that the contract no longer has.
    pub removed: Vec<ResourceName>,
}

/// One setting of a contract in its canonical form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractTerm {
    /// Section that holds the setting.
    pub section: String,
    /// Key of the setting.
    pub key: String,
    /// Value in canonical form.
    pub value: String,
    /// Line that sets the value; for a default, the line of the section.
    pub line: u32,
}

/// How a setting differs between two contracts.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TermChange {
    /// Only the new contract has the setting.
    #[display("added")]
    Added,
    /// The value differs.
    #[display("changed")]
    Changed,
    /// Only the old contract has the setting.
    #[display("removed")]
    Removed,
}

/// One difference between two contracts.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(
    "{change} [{section}] {key}: {} -> {}{}",
    shown_value(before),
    shown_value(after),
    shown_line(line)
)]
#[serde(deny_unknown_fields)]
pub struct ContractDifference {
    /// How the setting differs.
    pub change: TermChange,
    /// Section that holds the setting.
    pub section: String,
    /// Key of the setting.
    pub key: String,
    /// Value in the old contract.
    pub before: Option<String>,
    /// Value in the new contract.
    pub after: Option<String>,
    /// Line of the new contract that sets the value; none if the setting was removed.
    pub line: Option<u32>,
}

fn shown_value(value: &Option<String>) -> &str {
    value.as_deref().unwrap_or("(none)")
}

fn shown_line(line: &Option<u32>) -> String {
    line.map_or_else(String::new, |line| format!(" (line {line})"))
}

impl CustomerContract {
    /// Returns what has to change in `present` for this contract to be in force.
    ///
    /// A service that exists keeps its traffic split; a new one starts with its initial version.
    pub fn resources(&self, present: &ConfigSnapshot) -> ContractResources {
        let wanted = self.wanted_resources(present);
        let removed = owned_names(present, &self.customer.customer)
            .into_iter()
            .filter(|name| !wanted.iter().any(|resource| &resource.name() == name))
            .collect();
        let changed = wanted
            .into_iter()
            .filter(|resource| {
                let entry = present.resources.get(&resource.name());
                entry.is_none_or(|entry| &entry.resource != resource)
            })
            .collect();
        ContractResources { changed, removed }
    }

    fn wanted_resources(&self, present: &ConfigSnapshot) -> Vec<ConfigResource> {
        let mut wanted = vec![self.customer.clone().into()];
        for service in &self.services {
            wanted.push(service.clone().into());
            let split = present.split(&service.key).cloned();
            wanted.push(split.unwrap_or_else(|| initial_split(service)).into());
        }
        wanted
    }

    /// Returns all settings in canonical form, in the order of the contract.
    pub fn terms(&self) -> Vec<ContractTerm> {
        let mut terms = TermList {
            section: "customer".to_owned(),
            lines: &self.lines,
            terms: Vec::new(),
        };
        terms.add("name", &self.customer.customer);
        terms.add_limits(&self.customer.limits);
        for service in &self.services {
            add_service_terms(&mut terms, service);
        }
        terms.terms
    }

    /// Returns the differences from an older contract to this one.
    pub fn diff_from(&self, older: &CustomerContract) -> Vec<ContractDifference> {
        let before = older.terms();
        let after = self.terms();
        let mut differences: Vec<ContractDifference> = after
            .iter()
            .filter_map(|term| difference_of(find_term(&before, term), Some(term)))
            .collect();
        let removed = before
            .iter()
            .filter(|term| find_term(&after, term).is_none());
        differences.extend(removed.filter_map(|term| difference_of(Some(term), None)));
        differences
    }

    /// Returns all settings as additions, for a customer that has no contract yet.
    pub fn diff_from_none(&self) -> Vec<ContractDifference> {
        let terms = self.terms();
        let added = terms.iter().map(|term| difference_of(None, Some(term)));
        added.flatten().collect()
    }
}

fn initial_split(service: &ServiceSpec) -> TrafficSplit {
    TrafficSplit {
        key: service.key.clone(),
        stable: service.initial_version.clone(),
        candidate_permille: 0,
        current_move: None,
    }
}

fn owned_names(present: &ConfigSnapshot, customer: &str) -> Vec<ResourceName> {
    let owned = present.resources.iter().filter(|(_, entry)| {
        let owner = match &entry.resource {
            ConfigResource::Customer(spec) => &spec.customer,
            ConfigResource::Service(spec) => &spec.key.customer,
            ConfigResource::Split(split) => &split.key.customer,
            ConfigResource::Route(_) | ConfigResource::Backend(_) | ConfigResource::Intake(_) => {
                return false;
            }
        };
        owner == customer
    });
    owned.map(|(name, _)| name.clone()).collect()
}

fn find_term<'a>(terms: &'a [ContractTerm], wanted: &ContractTerm) -> Option<&'a ContractTerm> {
    terms
        .iter()
        .find(|term| term.section == wanted.section && term.key == wanted.key)
}

fn difference_of(
    before: Option<&ContractTerm>,
    after: Option<&ContractTerm>,
) -> Option<ContractDifference> {
    let term = after.or(before)?;
    let change = match (before, after) {
        (Some(before), Some(after)) if before.value == after.value => return None,
        (Some(_), Some(_)) => TermChange::Changed,
        (None, _) => TermChange::Added,
        (_, None) => TermChange::Removed,
    };
    Some(ContractDifference {
        change,
        section: term.section.clone(),
        key: term.key.clone(),
        before: before.map(|term| term.value.clone()),
        after: after.map(|term| term.value.clone()),
        line: after.map(|term| term.line),
    })
}

/// Collects the terms of one section after the other.
struct TermList<'a> {
    section: String,
    lines: &'a [TermLine],
    terms: Vec<ContractTerm>,
}

impl TermList<'_> {
    fn add(&mut self, key: &str, value: &str) {
        let line = self.line_of(key).or_else(|| self.line_of(""));
        self.terms.push(ContractTerm {
            section: self.section.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            line: line.unwrap_or_default(),
        });
    }

    fn line_of(&self, key: &str) -> Option<u32> {
        let mut lines = self.lines.iter();
        let found = lines.find(|line| line.section == self.section && line.key == key)?;
        Some(found.line)
    }

    fn add_limits(&mut self, limits: &CallLimits) {
        for (key, limit) in [("rate", limits.rate), ("concurrency", limits.concurrency)] {
            if let Some(limit) = limit {
                self.add(key, &limit.value.to_string());
            }
        }
    }
}

fn add_service_terms(terms: &mut TermList<'_>, service: &ServiceSpec) {
    let name = &service.key.service;
    terms.section = format!("service {name}");
    terms.add("host", &service.host);
    terms.add("initial_version", &service.initial_version);
    terms.add_limits(&service.limits);
    for route in &service.routes {
        terms.section = format!("route {name} {}", route.name);
        add_route_terms(terms, route);
    }
    let policy = &service.move_policy;
    terms.section = format!("move {name}");
    terms.add("prefer", &policy.prefer.to_string());
    terms.add("finish_within", &show_duration(policy.finish_within));
    terms.add("canary_share", &show_permille(policy.canary_permille));
    terms.add("watch_for", &show_duration(policy.watch_for));
}

fn add_route_terms(terms: &mut TermList<'_>, route: &RouteSpec) {
    terms.add("path", &route.path);
    if !route.methods.is_empty() {
        terms.add("methods", &route.methods.join(", "));
    }
    terms.add("idempotent", &route.idempotent.to_string());
    terms.add("keyed", &route.keyed.to_string());
    terms.add("deadline", &show_duration(route.deadline));
    terms.add("body_limit", &show_size(route.body_limit.value));
    terms.add_limits(&route.limits);
}

/// What a section header stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum SectionKind {
    Customer,
    Service(ServiceName),
    Route(ServiceName, RouteName),
    Move(ServiceName),
}

/// A section with what its header stands for.
struct KnownSection<'a> {
    kind: SectionKind,
    section: &'a IniSection,
}

/// Parses and checks a contract; `file` names the text in errors.
pub fn parse_contract(file: &str, text: &str) -> Result<CustomerContract, ContractErrors> {
    let mut errors = ErrorList::new(file);
    let ini = parse_ini(file, text, &mut errors);
    let sections = known_sections(&ini, &mut errors);
    let customer = read_customer(&ini, &sections, &mut errors);
    // The services are checked even if the customer's name is faulty, so that all errors show at once.
    let name = customer.as_ref().map_or("", |spec| spec.customer.as_str());
    let services = read_services(name, &ini, &sections, &mut errors);
    report_unowned(&sections, &mut errors);
    report_shared_hosts(&services, &sections, &mut errors);
    let contract = customer.map(|customer| CustomerContract {
        customer,
        services,
        lines: term_lines(&ini),
    });
    if let Some(contract) = &contract {
        report_wide_limits(contract, &mut errors);
    }
    errors.finish(contract)
}

fn term_lines(ini: &IniFile) -> Vec<TermLine> {
    let mut lines = Vec::new();
    for section in &ini.sections {
        let line_of = |key: &str, line| TermLine {
            section: section.name.clone(),
            key: key.to_owned(),
            line,
        };
        lines.push(line_of("", section.line));
        let entries = section.entries.iter();
        lines.extend(entries.map(|entry| line_of(&entry.key, entry.line)));
    }
    lines
}

fn known_sections<'a>(ini: &'a IniFile, errors: &mut ErrorList) -> Vec<KnownSection<'a>> {
    let mut known = Vec::new();
    for section in &ini.sections {
        match section_kind(&section.name) {
            Some(kind) => known.push(KnownSection { kind, section }),
            None => {
                let allowed = format!("{SECTION_SYNTAX}, with names of {}", name_rule().allowed);
                errors.add(
                    &section.name,
                    "",
                    section.line,
                    "an unknown section",
                    &allowed,
                );
            }
        }
    }
    known
}

fn section_kind(name: &str) -> Option<SectionKind> {
    let words: Vec<&str> = name.split(' ').collect();
    let kind = match words.as_slice() {
        ["customer"] => SectionKind::Customer,
        ["service", service] => SectionKind::Service((*service).to_owned()),
        ["route", service, route] => SectionKind::Route((*service).to_owned(), (*route).to_owned()),
        ["move", service] => SectionKind::Move((*service).to_owned()),
        _ => return None,
    };
    words[1..].iter().all(|word| is_name(word)).then_some(kind)
}

fn find_kind<'a>(sections: &[KnownSection<'a>], kind: &SectionKind) -> Option<&'a IniSection> {
    let known = sections.iter().find(|known| &known.kind == kind)?;
    Some(known.section)
}

fn read_customer(
    ini: &IniFile,
    sections: &[KnownSection<'_>],
    errors: &mut ErrorList,
) -> Option<CustomerSpec> {
    let Some(section) = find_kind(sections, &SectionKind::Customer) else {
        errors.add(
            "customer",
            "",
            ini.last_line,
            "no such section",
            "one section [customer]",
        );
        return None;
    };
    let mut reader = SectionReader::new(section, errors);
    let customer = reader.required("name", &name_rule());
    let limits = read_limits(&mut reader);
    reader.finish();
    Some(CustomerSpec {
        customer: customer?,
        limits,
    })
}

fn read_limits(reader: &mut SectionReader<'_>) -> CallLimits {
    let rate = reader.optional("rate", &number_rule(RATE_RANGE, "calls per second"));
    let concurrency = reader.optional(
        "concurrency",
        &number_rule(CONCURRENCY_RANGE, "calls in progress"),
    );
    CallLimits {
        rate: rate.map(|value| limit_of(reader, "rate", value)),
        concurrency: concurrency.map(|value| limit_of(reader, "concurrency", value)),
    }
}

fn limit_of(reader: &SectionReader<'_>, key: &str, value: u64) -> ContractLimit {
    ContractLimit {
        value,
        line: reader.line_of(key),
    }
}

fn read_services(
    customer: &str,
    ini: &IniFile,
    sections: &[KnownSection<'_>],
    errors: &mut ErrorList,
) -> Vec<ServiceSpec> {
    let mut services = Vec::new();
    let mut count = 0;
    for known in sections {
        if let SectionKind::Service(name) = &known.kind {
            count += 1;
            let key = ServiceKey {
                customer: customer.to_owned(),
                service: name.clone(),
            };
            services.extend(read_service(key, known.section, sections, errors));
        }
    }
    if count == 0 {
        let allowed = "at least one section [service SERVICE]";
        errors.add("service", "", ini.last_line, "no service", allowed);
    }
    services
}

fn read_service(
    key: ServiceKey,
    section: &IniSection,
    sections: &[KnownSection<'_>],
    errors: &mut ErrorList,
) -> Option<ServiceSpec> {
    let mut reader = SectionReader::new(section, errors);
    let host = reader.required("host", &host_rule());
    let initial_version = reader.required("initial_version", &version_rule());
    let limits = read_limits(&mut reader);
    reader.finish();
    let routes = read_routes(&key.service, section, sections, errors);
    let move_policy = read_move(&key.service, section, sections, errors);
    Some(ServiceSpec {
        key,
        host: host?,
        initial_version: initial_version?,
        limits,
        routes,
        move_policy: move_policy?,
    })
}

fn read_routes(
    service: &ServiceName,
    section: &IniSection,
    sections: &[KnownSection<'_>],
    errors: &mut ErrorList,
) -> Vec<RouteSpec> {
    let mut routes = Vec::new();
    let mut paths = BTreeMap::new();
    let mut count = 0;
    for known in sections {
        match &known.kind {
            SectionKind::Route(owner, name) if owner == service => {
                count += 1;
                let route = read_route(name, known.section, errors);
                report_shared_path(route.as_ref(), known.section, &mut paths, errors);
                routes.extend(route);
            }
            _ => {}
        }
    }
    if count == 0 {
        let allowed = format!("at least one section [route {service} ROUTE]");
        errors.add(&section.name, "", section.line, "no route", &allowed);
    }
    routes
}

fn report_shared_path(
    route: Option<&RouteSpec>,
    section: &IniSection,
    paths: &mut BTreeMap<String, u32>,
    errors: &mut ErrorList,
) {
    let Some(route) = route else { return };
    let line = section.line_of("path");
    // Prefixes match whole path segments, so a final slash makes no difference.
    let path = route.path.trim_end_matches('/').to_owned();
    if let Some(first) = paths.get(&path) {
        let found = format!("{}, the path of the route on line {first}", route.path);
        errors.add(
            &section.name,
            "path",
            line,
            &found,
            "a path of its own within the service",
        );
        return;
    }
    paths.insert(path, line);
}

fn read_route(name: &RouteName, section: &IniSection, errors: &mut ErrorList) -> Option<RouteSpec> {
    let mut reader = SectionReader::new(section, errors);
    let path = reader.required("path", &path_rule());
    let methods = reader.or_default("methods", &methods_rule(), Vec::new());
    let idempotent = reader.or_default("idempotent", &bool_rule(), false);
    let keyed = reader.or_default("keyed", &bool_rule(), false);
    let deadline = reader.required("deadline", &duration_rule(DEADLINE_RANGE));
    let body_limit = reader.required("body_limit", &size_rule(MAX_BODY_BYTES));
    let limits = read_limits(&mut reader);
    if idempotent == Some(true) && keyed == Some(true) {
        let found = "true, although idempotent is true";
        reader.report("keyed", found, "at most one of idempotent and keyed");
    }
    let deadline_line = reader.line_of("deadline");
    let body_limit = body_limit.map(|value| limit_of(&reader, "body_limit", value));
    reader.finish();
    Some(RouteSpec {
        name: name.clone(),
        path: path?,
        methods: methods?,
        idempotent: idempotent?,
        keyed: keyed?,
        deadline: deadline?,
        deadline_line,
        body_limit: body_limit?,
        limits,
    })
}

fn path_rule() -> ValueRule<impl Fn(&str) -> Option<String>> {
    let allowed = "a path that starts with /, of visible ASCII characters without ?, #, // and dots \
                   as segments, such as /jobs";
    rule(allowed, |text| is_path(text).then(|| text.to_owned()))
}

fn is_path(text: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    let dots = text.split('/').any(|segment| matches!(segment, "." | ".."));
    text.starts_with('/') && !text.contains("//") && !dots && text.bytes().all(valid)
}

fn methods_rule() -> ValueRule<impl Fn(&str) -> Option<Vec<String>>> {
    let allowed = format!(
        "different ones of {}, separated by commas",
        METHODS.join(", ")
    );
    rule(&allowed, |text| {
        let methods: Vec<String> = text.split(',').map(|part| part.trim().to_owned()).collect();
        let known = |method: &String| METHODS.contains(&method.as_str());
        (methods.iter().all(known) && all_differ(&methods)).then_some(methods)
    })
}

fn read_move(
    service: &ServiceName,
    owner: &IniSection,
    sections: &[KnownSection<'_>],
    errors: &mut ErrorList,
) -> Option<MovePolicy> {
    let Some(section) = find_kind(sections, &SectionKind::Move(service.clone())) else {
        let allowed = format!("one section [move {service}]");
        errors.add(&owner.name, "", owner.line, "no rules for moves", &allowed);
        return None;
    };
    let mut reader = SectionReader::new(section, errors);
    let prefer = reader.required("prefer", &preference_rule());
    let finish_within = reader.required("finish_within", &duration_rule(FINISH_RANGE));
    let canary_permille = reader.or_default(
        "canary_share",
        &permille_rule(1..=1000),
        DEFAULT_CANARY_PERMILLE,
    );
    let watch_for = reader.required("watch_for", &duration_rule(WATCH_RANGE));
    reader.finish();
    Some(MovePolicy {
        prefer: prefer?,
        finish_within: finish_within?,
        canary_permille: canary_permille?,
        watch_for: watch_for?,
    })
}

fn preference_rule() -> ValueRule<impl Fn(&str) -> Option<MovePreference>> {
    rule("safety or punctuality", |text| match text {
        "safety" => Some(MovePreference::Safety),
        "punctuality" => Some(MovePreference::Punctuality),
        _ => None,
    })
}

/// Reports routes and move rules of services that the contract does not have, and their faults.
fn report_unowned(sections: &[KnownSection<'_>], errors: &mut ErrorList) {
    for known in sections {
        let (SectionKind::Route(service, _) | SectionKind::Move(service)) = &known.kind else {
            continue;
        };
        if find_kind(sections, &SectionKind::Service(service.clone())).is_none() {
            let found = format!("the unknown service {service}");
            let allowed = format!("a service with a section [service {service}]");
            let section = known.section;
            errors.add(&section.name, "", section.line, &found, &allowed);
            read_unowned(known, sections, errors);
        }
    }
}

fn read_unowned(known: &KnownSection<'_>, sections: &[KnownSection<'_>], errors: &mut ErrorList) {
    match &known.kind {
        SectionKind::Route(_, name) => drop(read_route(name, known.section, errors)),
        SectionKind::Move(service) => drop(read_move(service, known.section, sections, errors)),
        SectionKind::Customer | SectionKind::Service(_) => {}
    }
}

fn report_shared_hosts(
    services: &[ServiceSpec],
    sections: &[KnownSection<'_>],
    errors: &mut ErrorList,
) {
    for (index, service) in services.iter().enumerate() {
        let earlier = services[..index].iter();
        let same = earlier.clone().find(|other| other.host == service.host);
        let kind = SectionKind::Service(service.key.service.clone());
        if let (Some(other), Some(section)) = (same, find_kind(sections, &kind)) {
            let found = format!(
                "{}, the host of service {}",
                service.host, other.key.service
            );
            let line = section.line_of("host");
            errors.add(&section.name, "host", line, &found, "a host of its own");
        }
    }
}

/// Reports limits that can never be reached because a wider one is lower.
fn report_wide_limits(contract: &CustomerContract, errors: &mut ErrorList) {
    let customer = ("customer", contract.customer.limits);
    for service in &contract.services {
        let name = format!("service {}", service.key.service);
        let outer = (name.as_str(), service.limits);
        report_wider(outer, &[customer], errors);
        for route in &service.routes {
            let name = format!("route {} {}", service.key.service, route.name);
            report_wider((&name, route.limits), &[outer, customer], errors);
        }
    }
}

fn report_wider(inner: (&str, CallLimits), outers: &[(&str, CallLimits)], errors: &mut ErrorList) {
    let (section, limits) = inner;
    for (outer_section, outer) in outers {
        let pairs = [
            ("rate", limits.rate, outer.rate),
            ("concurrency", limits.concurrency, outer.concurrency),
        ];
        for (key, limit, bound) in pairs {
            if let (Some(limit), Some(bound)) = (limit, bound)
                && limit.value > bound.value
            {
                let allowed = format!(
                    "at most {}, the {key} of [{outer_section}] on line {}",
                    bound.value, bound.line
                );
                errors.add(section, key, limit.line, &limit.value.to_string(), &allowed);
            }
        }
    }
}
