//! Customer contracts: parsing, validation, comparison, and conversion to configuration resources.
//!
//! A contract is an INI file that sets the services of one customer, their routes and limits, and the rules for
//! moving each service to a new version.

use {
    crate::{
        config::{
            CallLimits, ConfigResource, ConfigSnapshot, ContractLimit, CustomerSpec, MovePolicy,
            MovePreference, ResourceName, RouteSpec, ServiceKey, ServiceSpec, TrafficSplit,
        },
        ids::{RouteName, ServiceName},
        ini_file::{ErrorList, IniFile, IniSection, InputErrors, SectionReader, parse_ini},
        value_rule::{
            ValueRule, all_distinct, bool_rule, duration_rule, format_duration, format_permille,
            format_size, host_rule, is_name, name_rule, number_rule, permille_rule, rule,
            size_rule, version_rule,
        },
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::RangeInclusive, time::Duration},
};

/// Allowed rate limits in calls per second.
const RATE_RANGE: RangeInclusive<u64> = 1..=10_000_000;

/// Allowed concurrency limits in calls in progress.
const CONCURRENCY_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// Allowed call deadlines.
const DEADLINE_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(3600);

/// Largest body limit in bytes.
const MAX_BODY_BYTES: u64 = 64 << 30;

/// Allowed times from the start of a move until the candidate must have taken over.
///
/// Evidence about the candidate accumulates at a limited rate, so that a short disturbance decides nothing.
/// Below one minute, the last step before the takeover is too short for any verdict, and every move would be
/// rolled back.
pub const FINISH_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(60)..=Duration::from_secs(7 * 86_400);

/// Allowed lengths of the watch phase, which follows the takeover.
const WATCH_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(86_400);

const DEFAULT_CANARY_PERMILLE: u32 = 50;

/// HTTP methods that a route may list.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Allowed section headers, for error messages.
const SECTION_SYNTAX: &str =
    "[customer], [service SERVICE], [route SERVICE ROUTE] or [move SERVICE]";

/// All errors of a contract, ordered by line.
pub type ContractErrors = InputErrors;

/// A valid contract of a customer.
///
/// Invariants: service names and hosts are unique, and every service has at least one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerContract {
    /// The customer and its limits on the calls to all services together.
    pub customer: CustomerSpec,
    /// Services in the order of the contract.
    pub services: Vec<ServiceSpec>,
    /// Lines of all sections and keys of the contract.
    pub lines: Vec<SettingLine>,
}

/// Line of a section header or of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingLine {
    /// Name of the section.
    pub section: String,
    /// Name of the key, or empty for the section header.
    pub key: String,
    /// Line, counted from 1.
    pub line: u32,
}

/// Changes to a configuration that bring it in line with a contract.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ContractResources {
    /// Resources to add or replace.
    pub changed: Vec<ConfigResource>,
    /// Names of the customer's resources that the contract no longer contains.
    pub removed: Vec<ResourceName>,
}

/// A setting of a contract in canonical form, in which equal values have equal texts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractSetting {
    /// Section that holds the setting.
    pub section: String,
    /// Key of the setting.
    pub key: String,
    /// Value in canonical form, such as `10m` for `600s`.
    pub value: String,
    /// Line that sets the value; for a default, the line of the section header.
    pub line: u32,
}

/// How a setting differs between two contracts.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SettingChange {
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

/// A setting that differs between two contracts.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(
    "{change} [{section}] {key}: {} -> {}{}",
    value_or_none(before),
    value_or_none(after),
    line_suffix(line)
)]
#[serde(deny_unknown_fields)]
pub struct ContractDifference {
    /// How the setting differs.
    pub change: SettingChange,
    /// Section that holds the setting.
    pub section: String,
    /// Key of the setting.
    pub key: String,
    /// Value in the old contract; none if the setting was added.
    pub before: Option<String>,
    /// Value in the new contract; none if the setting was removed.
    pub after: Option<String>,
    /// Line of the new contract that sets the value; none if the setting was removed.
    pub line: Option<u32>,
}

fn value_or_none(value: &Option<String>) -> &str {
    value.as_deref().unwrap_or("(none)")
}

fn line_suffix(line: &Option<u32>) -> String {
    line.map_or_else(String::new, |line| format!(" (line {line})"))
}

impl CustomerContract {
    /// Returns the changes that bring the configuration `current` in line with this contract.
    ///
    /// An existing service keeps its traffic split; a new service starts with its initial version.
    pub fn resources(&self, current: &ConfigSnapshot) -> ContractResources {
        let desired = self.desired_resources(current);
        let removed = resource_names_of(current, &self.customer.customer)
            .into_iter()
            .filter(|name| !desired.iter().any(|resource| &resource.name() == name))
            .collect();
        let changed = desired
            .into_iter()
            .filter(|resource| {
                let entry = current.resources.get(&resource.name());
                entry.is_none_or(|entry| &entry.resource != resource)
            })
            .collect();
        ContractResources { changed, removed }
    }

    fn desired_resources(&self, current: &ConfigSnapshot) -> Vec<ConfigResource> {
        let mut desired = vec![self.customer.clone().into()];
        for service in &self.services {
            desired.push(service.clone().into());
            let split = current.split(&service.key).cloned();
            desired.push(split.unwrap_or_else(|| initial_split(service)).into());
        }
        desired
    }

    /// Returns all settings in canonical form, in the order of the contract.
    pub fn settings(&self) -> Vec<ContractSetting> {
        let mut settings = SettingCollector {
            section: "customer".to_owned(),
            lines: &self.lines,
            settings: Vec::new(),
        };
        settings.add("name", &self.customer.customer);
        settings.add_limits(&self.customer.limits);
        for service in &self.services {
            add_service_settings(&mut settings, service);
        }
        settings.settings
    }

    /// Returns the settings that differ between an older contract and this one.
    pub fn diff_from(&self, older: &CustomerContract) -> Vec<ContractDifference> {
        let before = older.settings();
        let after = self.settings();
        let mut differences: Vec<ContractDifference> = after
            .iter()
            .filter_map(|setting| compare_setting(find_setting(&before, setting), Some(setting)))
            .collect();
        let removed = before
            .iter()
            .filter(|setting| find_setting(&after, setting).is_none());
        differences.extend(removed.filter_map(|setting| compare_setting(Some(setting), None)));
        differences
    }

    /// Returns all settings as added, for a customer that has no contract yet.
    pub fn diff_from_empty(&self) -> Vec<ContractDifference> {
        let settings = self.settings();
        let added = settings
            .iter()
            .map(|setting| compare_setting(None, Some(setting)));
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

fn resource_names_of(current: &ConfigSnapshot, customer: &str) -> Vec<ResourceName> {
    let owned = current.resources.iter().filter(|(_, entry)| {
        let owner = match &entry.resource {
            ConfigResource::Customer(spec) => &spec.customer,
            ConfigResource::Service(spec) => &spec.key.customer,
            ConfigResource::Split(split) => &split.key.customer,
            ConfigResource::Route(_)
            | ConfigResource::Backend(_)
            | ConfigResource::Intake(_)
            | ConfigResource::Account(_) => return false,
        };
        owner == customer
    });
    owned.map(|(name, _)| name.clone()).collect()
}

fn find_setting<'a>(
    settings: &'a [ContractSetting],
    other: &ContractSetting,
) -> Option<&'a ContractSetting> {
    settings
        .iter()
        .find(|setting| setting.section == other.section && setting.key == other.key)
}

fn compare_setting(
    before: Option<&ContractSetting>,
    after: Option<&ContractSetting>,
) -> Option<ContractDifference> {
    let setting = after.or(before)?;
    let change = match (before, after) {
        (Some(before), Some(after)) if before.value == after.value => return None,
        (Some(_), Some(_)) => SettingChange::Changed,
        (None, _) => SettingChange::Added,
        (_, None) => SettingChange::Removed,
    };
    Some(ContractDifference {
        change,
        section: setting.section.clone(),
        key: setting.key.clone(),
        before: before.map(|setting| setting.value.clone()),
        after: after.map(|setting| setting.value.clone()),
        line: after.map(|setting| setting.line),
    })
}

/// Collects the settings of a contract in canonical form, section by section.
struct SettingCollector<'a> {
    section: String,
    lines: &'a [SettingLine],
    settings: Vec<ContractSetting>,
}

impl SettingCollector<'_> {
    fn add(&mut self, key: &str, value: &str) {
        let line = self.line_of(key).or_else(|| self.line_of(""));
        self.settings.push(ContractSetting {
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

fn add_service_settings(settings: &mut SettingCollector<'_>, service: &ServiceSpec) {
    let name = &service.key.service;
    settings.section = format!("service {name}");
    settings.add("host", &service.host);
    settings.add("initial_version", &service.initial_version);
    settings.add_limits(&service.limits);
    for route in &service.routes {
        settings.section = format!("route {name} {}", route.name);
        add_route_settings(settings, route);
    }
    let policy = &service.move_policy;
    settings.section = format!("move {name}");
    settings.add("prefer", &policy.prefer.to_string());
    settings.add("finish_within", &format_duration(policy.finish_within));
    settings.add("canary_share", &format_permille(policy.canary_permille));
    settings.add("watch_for", &format_duration(policy.watch_for));
}

fn add_route_settings(settings: &mut SettingCollector<'_>, route: &RouteSpec) {
    settings.add("path", &route.path);
    if !route.methods.is_empty() {
        settings.add("methods", &route.methods.join(", "));
    }
    settings.add("idempotent", &route.idempotent.to_string());
    settings.add("keyed", &route.keyed.to_string());
    settings.add("deadline", &format_duration(route.deadline));
    settings.add("body_limit", &format_size(route.body_limit.value));
    settings.add_limits(&route.limits);
}

/// Kind of a section, with the names in its header.
#[derive(Clone, Debug, Eq, PartialEq)]
enum SectionKind {
    Customer,
    Service(ServiceName),
    Route(ServiceName, RouteName),
    Move(ServiceName),
}

/// A section whose header is valid.
struct ClassifiedSection<'a> {
    kind: SectionKind,
    section: &'a IniSection,
}

/// Parses and validates a contract; `file` is the file name for error messages.
pub fn parse_contract(file: &str, text: &str) -> Result<CustomerContract, ContractErrors> {
    let mut errors = ErrorList::new(file);
    let ini = parse_ini(file, text, &mut errors);
    let sections = classify_sections(&ini, &mut errors);
    let customer = read_customer(&ini, &sections, &mut errors);
    // The services are checked even if the customer is invalid, so that all errors are reported at once.
    let name = customer.as_ref().map_or("", |spec| spec.customer.as_str());
    let services = read_services(name, &ini, &sections, &mut errors);
    report_orphan_sections(&sections, &mut errors);
    report_duplicate_hosts(&services, &sections, &mut errors);
    let contract = customer.map(|customer| CustomerContract {
        customer,
        services,
        lines: setting_lines(&ini),
    });
    if let Some(contract) = &contract {
        report_unreachable_limits(contract, &mut errors);
    }
    errors.finish(contract)
}

fn setting_lines(ini: &IniFile) -> Vec<SettingLine> {
    let mut lines = Vec::new();
    for section in &ini.sections {
        let line_of = |key: &str, line| SettingLine {
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

fn classify_sections<'a>(ini: &'a IniFile, errors: &mut ErrorList) -> Vec<ClassifiedSection<'a>> {
    let mut classified = Vec::new();
    for section in &ini.sections {
        match section_kind(&section.name) {
            Some(kind) => classified.push(ClassifiedSection { kind, section }),
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
    classified
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

fn find_section<'a>(
    sections: &[ClassifiedSection<'a>],
    kind: &SectionKind,
) -> Option<&'a IniSection> {
    let classified = sections
        .iter()
        .find(|classified| &classified.kind == kind)?;
    Some(classified.section)
}

fn read_customer(
    ini: &IniFile,
    sections: &[ClassifiedSection<'_>],
    errors: &mut ErrorList,
) -> Option<CustomerSpec> {
    let Some(section) = find_section(sections, &SectionKind::Customer) else {
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
        rate: rate.map(|value| limit_with_line(reader, "rate", value)),
        concurrency: concurrency.map(|value| limit_with_line(reader, "concurrency", value)),
    }
}

fn limit_with_line(reader: &SectionReader<'_>, key: &str, value: u64) -> ContractLimit {
    ContractLimit {
        value,
        line: reader.line_of(key),
    }
}

fn read_services(
    customer: &str,
    ini: &IniFile,
    sections: &[ClassifiedSection<'_>],
    errors: &mut ErrorList,
) -> Vec<ServiceSpec> {
    let mut services = Vec::new();
    let mut count = 0;
    for classified in sections {
        if let SectionKind::Service(name) = &classified.kind {
            count += 1;
            let key = ServiceKey {
                customer: customer.to_owned(),
                service: name.clone(),
            };
            services.extend(read_service(key, classified.section, sections, errors));
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
    sections: &[ClassifiedSection<'_>],
    errors: &mut ErrorList,
) -> Option<ServiceSpec> {
    let mut reader = SectionReader::new(section, errors);
    let host = reader.required("host", &host_rule());
    let initial_version = reader.required("initial_version", &version_rule());
    let limits = read_limits(&mut reader);
    reader.finish();
    let routes = read_routes(&key.service, section, sections, errors);
    let move_policy = read_move_policy(&key.service, section, sections, errors);
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
    sections: &[ClassifiedSection<'_>],
    errors: &mut ErrorList,
) -> Vec<RouteSpec> {
    let mut routes = Vec::new();
    let mut paths = BTreeMap::new();
    let mut count = 0;
    for classified in sections {
        match &classified.kind {
            SectionKind::Route(owner, name) if owner == service => {
                count += 1;
                let route = read_route(name, classified.section, errors);
                report_duplicate_path(route.as_ref(), classified.section, &mut paths, errors);
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

fn report_duplicate_path(
    route: Option<&RouteSpec>,
    section: &IniSection,
    paths: &mut BTreeMap<String, u32>,
    errors: &mut ErrorList,
) {
    let Some(route) = route else { return };
    let line = section.line_of("path");
    // A path matches by whole segments, so a trailing slash makes no difference.
    let path = route.path.trim_end_matches('/').to_owned();
    if let Some(first) = paths.get(&path) {
        let found = format!("{}, the path of the route on line {first}", route.path);
        errors.add(
            &section.name,
            "path",
            line,
            &found,
            "a path that is unique within the service",
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
    let body_limit = body_limit.map(|value| limit_with_line(&reader, "body_limit", value));
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
        "different methods out of {}, separated by commas",
        METHODS.join(", ")
    );
    rule(&allowed, |text| {
        let methods: Vec<String> = text.split(',').map(|part| part.trim().to_owned()).collect();
        let known = |method: &String| METHODS.contains(&method.as_str());
        (methods.iter().all(known) && all_distinct(&methods)).then_some(methods)
    })
}

fn read_move_policy(
    service: &ServiceName,
    owner: &IniSection,
    sections: &[ClassifiedSection<'_>],
    errors: &mut ErrorList,
) -> Option<MovePolicy> {
    let Some(section) = find_section(sections, &SectionKind::Move(service.clone())) else {
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

/// Reports route and move sections of services that the contract lacks, and the errors in these sections.
fn report_orphan_sections(sections: &[ClassifiedSection<'_>], errors: &mut ErrorList) {
    for classified in sections {
        let (SectionKind::Route(service, _) | SectionKind::Move(service)) = &classified.kind else {
            continue;
        };
        if find_section(sections, &SectionKind::Service(service.clone())).is_none() {
            let found = format!("the unknown service {service}");
            let allowed = format!("a service with a section [service {service}]");
            let section = classified.section;
            errors.add(&section.name, "", section.line, &found, &allowed);
            check_orphan_section(classified, sections, errors);
        }
    }
}

fn check_orphan_section(
    classified: &ClassifiedSection<'_>,
    sections: &[ClassifiedSection<'_>],
    errors: &mut ErrorList,
) {
    match &classified.kind {
        SectionKind::Route(_, name) => drop(read_route(name, classified.section, errors)),
        SectionKind::Move(service) => drop(read_move_policy(
            service,
            classified.section,
            sections,
            errors,
        )),
        SectionKind::Customer | SectionKind::Service(_) => {}
    }
}

fn report_duplicate_hosts(
    services: &[ServiceSpec],
    sections: &[ClassifiedSection<'_>],
    errors: &mut ErrorList,
) {
    for (index, service) in services.iter().enumerate() {
        let earlier = services[..index].iter();
        let same = earlier.clone().find(|other| other.host == service.host);
        let kind = SectionKind::Service(service.key.service.clone());
        if let (Some(other), Some(section)) = (same, find_section(sections, &kind)) {
            let found = format!(
                "{}, the host of service {}",
                service.host, other.key.service
            );
            let line = section.line_of("host");
            errors.add(
                &section.name,
                "host",
                line,
                &found,
                "a host that is unique within the contract",
            );
        }
    }
}

/// Reports limits that can never be reached, because the service or the customer has a lower one.
fn report_unreachable_limits(contract: &CustomerContract, errors: &mut ErrorList) {
    let customer = ("customer", contract.customer.limits);
    for service in &contract.services {
        let name = format!("service {}", service.key.service);
        let outer = (name.as_str(), service.limits);
        report_limits_above(outer, &[customer], errors);
        for route in &service.routes {
            let name = format!("route {} {}", service.key.service, route.name);
            report_limits_above((&name, route.limits), &[outer, customer], errors);
        }
    }
}

fn report_limits_above(
    inner: (&str, CallLimits),
    outers: &[(&str, CallLimits)],
    errors: &mut ErrorList,
) {
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
