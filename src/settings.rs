//! Settings of a node.

use {
    crate::{
        ids::{DomainName, NodeId, OperatorName},
        ini_file::{ErrorList, IniFile, IniSection, InputErrors, SectionReader, parse_ini},
        value_rule::{
            ValueRule, address_list_rule, address_rule, duration_rule, is_name, is_word, name_rule,
            number_rule, permille_rule, rule, secret_rule, url_rule, word_rule,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tracing_subscriber::EnvFilter,
};

/// Sections of a settings file; all but `log` are required.
const SECTION_NAMES: [&str; 5] = ["node", "platform", "gossip", "log", "operators"];

/// Shortest access token; shorter ones can be guessed.
const MIN_TOKEN_CHARS: usize = 16;

/// Longest access token.
const MAX_TOKEN_CHARS: usize = 256;

/// Longest name or secret that belongs to the platform.
const MAX_PLATFORM_CHARS: usize = 255;

/// Default of `request_timeout`.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Default of `key_writes_per_second`.
const DEFAULT_KEY_WRITES: u32 = 20;

/// Default of `probe_interval`.
const DEFAULT_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Default of `probe_timeout`.
const DEFAULT_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Default of `push_fanout`.
const DEFAULT_PUSH_FANOUT: usize = 4;

/// Default of `join_quorum`.
const DEFAULT_JOIN_QUORUM: usize = 3;

/// Default of `join_spread`: the heads that 6,400 nodes read when they all start fit into 1,600 reads a second.
const DEFAULT_JOIN_SPREAD: Duration = Duration::from_secs(4);

/// Default of `level`.
const DEFAULT_LEVEL: &str = "info";

/// Default of `call_sample`, in per mille.
const DEFAULT_CALL_SAMPLE_PERMILLE: u32 = 10;

/// All faults of a settings file.
pub type SettingsErrors = InputErrors;

/// Checked settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Who the node is and where it listens.
    pub node: NodeSection,
    /// Where the platform's services are.
    pub platform: PlatformSection,
    /// How the node speaks with its peers.
    pub gossip: GossipSection,
    /// What the node logs.
    pub log: LogSection,
    /// Operators by their access token; names are unique.
    pub operators: BTreeMap<String, OperatorName>,
}

/// Who a node is and where it listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSection {
    /// Name of the node, unique in the fleet.
    pub id: NodeId,
    /// Region of the node.
    pub region: String,
    /// Failure domain of the node.
    pub failure_domain: DomainName,
    /// Address for callers and for the node's own target as a caller.
    pub call_address: SocketAddr,
    /// Address for calls forwarded by other nodes.
    pub forward_address: SocketAddr,
    /// Address for gossip (UDP) and synchronisation (TCP).
    pub peer_address: SocketAddr,
    /// Address for operators, target announcements and metrics.
    pub admin_address: SocketAddr,
}

/// Where the platform's services are and how long to wait for them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSection {
    /// URL of the table service.
    pub table_endpoint: String,
    /// Name of the table.
    pub table: String,
    /// URL of the object store.
    pub object_endpoint: String,
    /// Bucket for snapshots and contract texts.
    pub bucket: String,
    /// Region name used to sign requests.
    pub signing_region: String,
    /// Access key.
    pub access_key_id: String,
    /// Secret of the access key.
    pub secret_access_key: String,
    /// Longest time for one request.
    pub request_timeout: Duration,
    /// Idempotency records this node may write per second.
    pub key_writes_per_second: u32,
}

/// How a node speaks with its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipSection {
    /// Peer addresses to join through; any subset of the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time to wait for the answer to a probe.
    pub probe_timeout: Duration,
    /// Random members told at once of a new configuration version.
    pub push_fanout: usize,
    /// Peers that must answer at start when the store does not.
    pub join_quorum: usize,
    /// Longest random delay at start before the node reads the store's head.
    pub join_spread: Duration,
}

/// What a node logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSection {
    /// Filter in the syntax of `tracing_subscriber::EnvFilter`.
    pub level: String,
    /// Share of per-call decisions that are logged, in per mille; refusals are always logged.
    pub call_sample_permille: u32,
}

/// Parses and checks the settings of a node; `file` names the text in errors.
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
    let settings = assemble(node, platform, gossip, log, operators);
    errors.finish(settings)
}

fn assemble(
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
        report_shared_addresses(node, &mut reader);
    }
    reader.finish();
    node
}

fn report_shared_addresses(node: &NodeSection, reader: &mut SectionReader<'_>) {
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
    let word = word_rule(MAX_PLATFORM_CHARS);
    let mut reader = SectionReader::new(section, errors);
    let table_endpoint = reader.required("table_endpoint", &url_rule());
    let table = reader.required("table", &word);
    let object_endpoint = reader.required("object_endpoint", &url_rule());
    let bucket = reader.required("bucket", &word);
    let signing_region = reader.required("signing_region", &word);
    let access_key_id = reader.required("access_key_id", &word);
    let secret_access_key = reader.required("secret_access_key", &platform_secret_rule());
    let request_timeout = reader.or_default(
        "request_timeout",
        &duration_rule(timeout_range),
        DEFAULT_REQUEST_TIMEOUT,
    );
    let key_writes_per_second = reader.or_default(
        "key_writes_per_second",
        &number_rule(1..=10_000, "writes per second"),
        DEFAULT_KEY_WRITES,
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
    let word = word_rule(MAX_PLATFORM_CHARS);
    secret_rule(&word.allowed.clone(), word.parse)
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
        level: DEFAULT_LEVEL.to_owned(),
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
            let found = format!("the same token as {other}");
            errors.add(
                &section.name,
                &entry.key,
                entry.line,
                &found,
                "a token of its own",
            );
        }
    }
    Some(operators)
}

/// Checks one operator; errors never repeat the token.
fn check_operator(name: &str, token: &str, line: u32, errors: &mut ErrorList) {
    if !is_name(name) {
        errors.add("operators", name, line, "this name", &name_rule().allowed);
    }
    if !is_word(token) || !(MIN_TOKEN_CHARS..=MAX_TOKEN_CHARS).contains(&token.len()) {
        let found = format!("a token of {} characters", token.chars().count());
        let allowed = format!(
            "{MIN_TOKEN_CHARS} to {MAX_TOKEN_CHARS} visible ASCII characters without blanks"
        );
        errors.add("operators", name, line, &found, &allowed);
    }
}
