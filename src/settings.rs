//! Settings of a node: the sections of its INI file, their defaults and validation.

use {
    crate::{
        ids::{DomainName, NodeId, OperatorName},
        ini_file::{ErrorList, IniFile, IniSection, InputErrors, SectionReader, parse_ini},
        value_rule::{
            ValueRule, address_list_rule, address_rule, duration_rule, is_name, is_visible_ascii,
            name_rule, number_rule, permille_rule, rule, secret_rule, url_rule, visible_ascii_rule,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tracing_subscriber::EnvFilter,
};

/// Allowed sections of a settings file; all but `log` are required.
const SECTION_NAMES: [&str; 5] = ["node", "platform", "gossip", "log", "operators"];

/// Shortest access token in characters; shorter ones could be guessed.
const MIN_TOKEN_CHARS: usize = 16;

/// Longest access token in characters.
const MAX_TOKEN_CHARS: usize = 256;

/// Longest name, key or secret in the section `platform`, in characters.
const MAX_PLATFORM_VALUE_CHARS: usize = 255;

const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

const DEFAULT_KEY_WRITES_PER_SECOND: u32 = 20;

const DEFAULT_PROBE_INTERVAL: Duration = Duration::from_secs(1);

const DEFAULT_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

const DEFAULT_PUSH_FANOUT: usize = 4;

const DEFAULT_JOIN_QUORUM: usize = 3;

/// With this spread, 6,400 nodes that start together read the store's head about 1,600 times a second.
const DEFAULT_JOIN_SPREAD: Duration = Duration::from_secs(4);

const DEFAULT_LOG_LEVEL: &str = "info";

const DEFAULT_CALL_SAMPLE_PERMILLE: u32 = 10;

/// All errors of a settings file, ordered by line.
pub type SettingsErrors = InputErrors;

/// Valid settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Identity, location and listen addresses of the node.
    pub node: NodeSection,
    /// Access to the platform's table service and object store.
    pub platform: PlatformSection,
    /// Parameters of gossip and of joining the fleet.
    pub gossip: GossipSection,
    /// Log filter and sampling.
    pub log: LogSection,
    /// Names of the operators by access token; the names are unique.
    pub operators: BTreeMap<String, OperatorName>,
}

/// Identity, location and listen addresses of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSection {
    /// Name of the node, unique in the fleet.
    pub id: NodeId,
    /// Region of the node.
    pub region: String,
    /// Failure domain of the node.
    pub failure_domain: DomainName,
    /// Address for calls from callers, among them the node's own target.
    pub call_address: SocketAddr,
    /// Address for calls that other nodes forward.
    pub forward_address: SocketAddr,
    /// Address for gossip (UDP) and synchronisation with peers (TCP).
    pub peer_address: SocketAddr,
    /// Address for the admin API, target announcements and metrics.
    pub admin_address: SocketAddr,
}

/// Access to the platform's table service and object store, which together form the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSection {
    /// URL of the table service.
    pub table_endpoint: String,
    /// Name of the table in the table service.
    pub table: String,
    /// URL of the object store.
    pub object_endpoint: String,
    /// Bucket of the object store for configuration snapshots and contract texts.
    pub bucket: String,
    /// Region name used to sign requests.
    pub signing_region: String,
    /// Identifier of the access key that signs requests.
    pub access_key_id: String,
    /// Secret of the access key; error messages never contain it.
    pub secret_access_key: String,
    /// Timeout of one request to the table service or the object store.
    pub request_timeout: Duration,
    /// Idempotency records that this node may write per second.
    pub key_writes_per_second: u32,
}

/// Parameters of gossip between nodes and of joining the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipSection {
    /// Peer addresses of the nodes to join through; any subset of the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Timeout of a probe, shorter than `probe_interval`.
    pub probe_timeout: Duration,
    /// Number of random members that the node notifies immediately of a new configuration version.
    pub push_fanout: usize,
    /// Number of peers that must answer at start-up if the store is unavailable.
    pub join_quorum: usize,
    /// Longest random delay at start-up before the node reads the store's head, which names the latest version.
    pub join_spread: Duration,
}

/// Log filter and sampling of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSection {
    /// Filter in the syntax of `tracing_subscriber::EnvFilter`.
    pub level: String,
    /// Share of calls whose decisions are logged, in per mille; refusals are always logged.
    pub call_sample_permille: u32,
}

/// Parses and validates the settings of a node; `file` is the file name for error messages.
pub fn parse_settings(file: &str, text: &str) -> Result<NodeSettings, SettingsErrors> {
    let mut errors = ErrorList::new(file);
    let ini = parse_ini(file, text, &mut errors);
    report_unknown_sections(&ini, &mut errors);
    let node = read_section(&ini, "node", &mut errors, read_node);
    let platform = read_section(&ini, "platform", &mut errors, read_platform);
    let gossip = read_section(&ini, "gossip", &mut errors, read_gossip);
    let log = match find_section(&ini, "log") {
        Some(section) => read_log(section, &mut errors),
        None => Some(default_log()),
    };
    let operators = read_section(&ini, "operators", &mut errors, read_operators);
    let settings = assemble_settings(node, platform, gossip, log, operators);
    errors.finish(settings)
}

fn assemble_settings(
    node: Option<NodeSection>,
    platform: Option<PlatformSection>,
    gossip: Option<GossipSection>,
    log: Option<LogSection>,
    operators: Option<BTreeMap<String, OperatorName>>,
) -> Option<NodeSettings> {
    Some(NodeSettings {
        node: node?,
        platform: platform?,
        gossip: gossip?,
        log: log?,
        operators: operators?,
    })
}

fn report_unknown_sections(ini: &IniFile, errors: &mut ErrorList) {
    let allowed = format!("one of: {}", SECTION_NAMES.join(", "));
    for section in &ini.sections {
        if !SECTION_NAMES.contains(&section.name.as_str()) {
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

fn find_section<'a>(ini: &'a IniFile, name: &str) -> Option<&'a IniSection> {
    ini.sections.iter().find(|section| section.name == name)
}

fn read_section<T>(
    ini: &IniFile,
    name: &str,
    errors: &mut ErrorList,
    read: impl Fn(&IniSection, &mut ErrorList) -> Option<T>,
) -> Option<T> {
    let Some(section) = find_section(ini, name) else {
        errors.add(
            name,
            "",
            ini.last_line,
            "no such section",
            "one section of this name",
        );
        return None;
    };
    read(section, errors)
}

fn read_node(section: &IniSection, errors: &mut ErrorList) -> Option<NodeSection> {
    let mut reader = SectionReader::new(section, errors);
    let id = reader.required("id", &name_rule());
    let region = reader.required("region", &name_rule());
    let failure_domain = reader.required("failure_domain", &name_rule());
    let call_address = reader.required("call_address", &address_rule());
    let forward_address = reader.required("forward_address", &address_rule());
    let peer_address = reader.required("peer_address", &address_rule());
    let admin_address = reader.required("admin_address", &address_rule());
    let node = (|| {
        Some(NodeSection {
            id: id?,
            region: region?,
            failure_domain: failure_domain?,
            call_address: call_address?,
            forward_address: forward_address?,
            peer_address: peer_address?,
            admin_address: admin_address?,
        })
    })();
    if let Some(node) = &node {
        report_duplicate_addresses(node, &mut reader);
    }
    reader.finish();
    node
}

fn report_duplicate_addresses(node: &NodeSection, reader: &mut SectionReader<'_>) {
    let addresses = [
        ("call_address", node.call_address),
        ("forward_address", node.forward_address),
        ("peer_address", node.peer_address),
        ("admin_address", node.admin_address),
    ];
    for (index, (key, address)) in addresses.iter().enumerate() {
        let same = addresses[..index]
            .iter()
            .find(|(_, other)| other == address);
        if let Some((other, _)) = same {
            let found = format!("{address}, the same as {other}");
            reader.report(key, &found, "four different addresses");
        }
    }
}

fn read_platform(section: &IniSection, errors: &mut ErrorList) -> Option<PlatformSection> {
    let timeout_range = Duration::from_millis(10)..=Duration::from_secs(60);
    let text_rule = visible_ascii_rule(MAX_PLATFORM_VALUE_CHARS);
    let mut reader = SectionReader::new(section, errors);
    let table_endpoint = reader.required("table_endpoint", &url_rule());
    let table = reader.required("table", &text_rule);
    let object_endpoint = reader.required("object_endpoint", &url_rule());
    let bucket = reader.required("bucket", &text_rule);
    let signing_region = reader.required("signing_region", &text_rule);
    let access_key_id = reader.required("access_key_id", &text_rule);
    let secret_access_key = reader.required("secret_access_key", &platform_secret_rule());
    let request_timeout = reader.or_default(
        "request_timeout",
        &duration_rule(timeout_range),
        DEFAULT_REQUEST_TIMEOUT,
    );
    let key_writes_per_second = reader.or_default(
        "key_writes_per_second",
        &number_rule(1..=10_000, "writes per second"),
        DEFAULT_KEY_WRITES_PER_SECOND,
    );
    reader.finish();
    Some(PlatformSection {
        table_endpoint: table_endpoint?,
        table: table?,
        object_endpoint: object_endpoint?,
        bucket: bucket?,
        signing_region: signing_region?,
        access_key_id: access_key_id?,
        secret_access_key: secret_access_key?,
        request_timeout: request_timeout?,
        key_writes_per_second: key_writes_per_second?,
    })
}

fn platform_secret_rule() -> ValueRule<impl Fn(&str) -> Option<String>> {
    let text_rule = visible_ascii_rule(MAX_PLATFORM_VALUE_CHARS);
    secret_rule(&text_rule.allowed.clone(), text_rule.parse)
}

fn read_gossip(section: &IniSection, errors: &mut ErrorList) -> Option<GossipSection> {
    let interval_range = Duration::from_millis(20)..=Duration::from_secs(60);
    let timeout_range = Duration::from_millis(5)..=Duration::from_secs(30);
    let mut reader = SectionReader::new(section, errors);
    let seeds = reader.required("seeds", &address_list_rule());
    let probe_interval = reader.or_default(
        "probe_interval",
        &duration_rule(interval_range),
        DEFAULT_PROBE_INTERVAL,
    );
    let probe_timeout = reader.or_default(
        "probe_timeout",
        &duration_rule(timeout_range),
        DEFAULT_PROBE_TIMEOUT,
    );
    let push_fanout = reader.or_default(
        "push_fanout",
        &number_rule(1..=64, "members"),
        DEFAULT_PUSH_FANOUT,
    );
    let join_quorum = reader.or_default(
        "join_quorum",
        &number_rule(1..=100, "peers"),
        DEFAULT_JOIN_QUORUM,
    );
    let join_spread = reader.or_default(
        "join_spread",
        &duration_rule(Duration::ZERO..=Duration::from_secs(60)),
        DEFAULT_JOIN_SPREAD,
    );
    if let (Some(interval), Some(timeout)) = (probe_interval, probe_timeout)
        && timeout >= interval
    {
        let found = format!("{timeout:?} with a probe_interval of {interval:?}");
        reader.report("probe_timeout", &found, "less than probe_interval");
    }
    reader.finish();
    Some(GossipSection {
        seeds: seeds?,
        probe_interval: probe_interval?,
        probe_timeout: probe_timeout?,
        push_fanout: push_fanout?,
        join_quorum: join_quorum?,
        join_spread: join_spread?,
    })
}

fn default_log() -> LogSection {
    LogSection {
        level: DEFAULT_LOG_LEVEL.to_owned(),
        call_sample_permille: DEFAULT_CALL_SAMPLE_PERMILLE,
    }
}

fn read_log(section: &IniSection, errors: &mut ErrorList) -> Option<LogSection> {
    let level_rule = rule(
        "a level or filter, such as info or poplarwing=debug",
        |text| EnvFilter::try_new(text).ok().map(|_| text.to_owned()),
    );
    let default = default_log();
    let mut reader = SectionReader::new(section, errors);
    let level = reader.or_default("level", &level_rule, default.level);
    let call_sample_permille = reader.or_default(
        "call_sample",
        &permille_rule(0..=1000),
        default.call_sample_permille,
    );
    reader.finish();
    Some(LogSection {
        level: level?,
        call_sample_permille: call_sample_permille?,
    })
}

fn read_operators(
    section: &IniSection,
    errors: &mut ErrorList,
) -> Option<BTreeMap<String, OperatorName>> {
    let mut operators = BTreeMap::new();
    if section.entries.is_empty() {
        errors.add(
            &section.name,
            "",
            section.line,
            "no operator",
            "at least one operator",
        );
    }
    for entry in &section.entries {
        check_operator(&entry.key, &entry.value, entry.line, errors);
        let other = operators.insert(entry.value.clone(), entry.key.clone());
        if let Some(other) = other {
            let found = format!("the same token as operator {other}");
            errors.add(
                &section.name,
                &entry.key,
                entry.line,
                &found,
                "a token that no other operator has",
            );
        }
    }
    Some(operators)
}

/// Checks an operator's name and token; error messages never contain the token.
fn check_operator(name: &str, token: &str, line: u32, errors: &mut ErrorList) {
    if !is_name(name) {
        errors.add(
            "operators",
            name,
            line,
            "an invalid operator name",
            &name_rule().allowed,
        );
    }
    if !is_visible_ascii(token) || !(MIN_TOKEN_CHARS..=MAX_TOKEN_CHARS).contains(&token.len()) {
        let found = format!("a token of {} characters", token.chars().count());
        let allowed = format!(
            "{MIN_TOKEN_CHARS} to {MAX_TOKEN_CHARS} visible ASCII characters without spaces"
        );
        errors.add("operators", name, line, &found, &allowed);
    }
}
