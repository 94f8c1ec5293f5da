//! Commands and options of `poplarwing` and `poplarwingd`.

use {
    crate::{
        config::ServiceKey,
        ids::{ConfigVersion, CustomerName, VersionName},
        value_rule::{VERSION_NAME_SYNTAX, is_name, is_version_name},
    },
    clap::{Arg, ArgAction, ArgMatches, Command, builder::EnumValueParser, value_parser},
    clap_complete::Shell,
    derive_more::Display,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Environment variable that holds the access token.
pub const TOKEN_VARIABLE: &str = "POPLARWING_TOKEN";

/// Default time for a command.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Default time for `move wait`.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(3600);

/// Most audit records shown by default.
const DEFAULT_LIMIT: &str = "20";

/// Exit codes, as shown by `--help`.
const EXIT_CODES: &str = "\
Exit codes:
  0  done; for `move wait`: the version has taken over
  1  refused or invalid; nothing was changed
  2  usage: unknown command, option or value, or no token
  3  the move was taken back
  4  the time set ran out; nothing is known to have been changed
  5  conflict: another change came first; both are shown
  6  no node could be reached
  7  the outcome is unknown: the change may or may not have been accepted

Only exit code 0 of `contract apply`, `version start` and `move cancel` means that the
platform's store has accepted the change.";

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Refused or invalid.
    Refused = 1,
    /// Wrong usage.
    Usage = 2,
    /// The move was taken back.
    TakenBack = 3,
    /// The time set ran out.
    TimedOut = 4,
    /// Another change came first.
    Conflict = 5,
    /// No node could be reached.
    Unreachable = 6,
    /// The outcome is unknown.
    Unknown = 7,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OutputForm {
    /// Lines for people.
    #[display("text")]
    Text,
    /// One JSON document.
    #[display("json")]
    Json,
}

/// Options of all commands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GlobalOptions {
    /// Nodes in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// File with the access token.
    pub token_file: Option<PathBuf>,
    /// Form of the output.
    pub output: OutputForm,
    /// Longest time for the command.
    pub timeout: Duration,
}

/// A contract file to put in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyOptions {
    /// File with the contract.
    pub file: PathBuf,
    /// Revision that the file replaces; 0 for the first contract.
    pub expected_revision: u64,
}

/// A version to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOptions {
    /// Service whose version is to change.
    pub key: ServiceKey,
    /// Version that is to take over.
    pub version: VersionName,
    /// Time within which it must have taken over.
    pub finish_within: Option<Duration>,
}

/// A move, by its service and optionally its identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOptions {
    /// Service whose versions move.
    pub key: ServiceKey,
    /// Identifier; none means the latest move.
    pub move_id: Option<ConfigVersion>,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorAction {
    /// Check a contract file without asking a node.
    ContractCheck(PathBuf),
    /// Put a contract in force.
    ContractApply(ApplyOptions),
    /// Show the contract in force.
    ContractShow(CustomerName),
    /// Show what a contract file would change.
    ContractDiff(PathBuf),
    /// Show who changed a contract.
    ContractHistory(CustomerName, usize),
    /// Start a version.
    VersionStart(StartOptions),
    /// List the versions of all services.
    VersionList,
    /// List moves.
    MoveList,
    /// Show a move.
    MoveShow(ServiceKey),
    /// Wait for the end of a move.
    MoveWait(MoveOptions),
    /// Take a running move back.
    MoveCancel(MoveOptions),
    /// Explain the state of a service.
    Explain(ServiceKey),
    /// Show the nodes and their configuration versions.
    Status,
    /// Write shell completions.
    Completions(Shell),
}

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorInvocation {
    /// Options of all commands.
    pub options: GlobalOptions,
    /// What to do.
    pub action: OperatorAction,
}

/// Returns the command line of `poplarwingd`.
pub fn node_command() -> Command {
    Command::new("poplarwingd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Node of poplarwing: stands beside a target, spreads configuration and routes calls.")
        .after_help(
            "Exit codes:\n  0  stopped after SIGTERM or SIGINT, or the settings are valid\n  \
             1  the settings are faulty or the node could not start\n  2  usage\n\n\
             SIGTERM starts a graceful shutdown: the node takes no new work, finishes all calls in\n\
             progress and exits.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("INI file with the settings of the node; see examples/node.ini"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, report all faults at once and exit"),
        )
}

/// Returns the command line of `poplarwing`.
pub fn operator_command() -> Command {
    Command::new("poplarwing")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Changes contracts, starts versions and explains what the fleet does.")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(contract_command())
        .subcommand(version_command())
        .subcommand(move_command())
        .subcommand(explain_command())
        .subcommand(Command::new("status").about(
            "Show the nodes that a node knows, their configuration versions and who is behind",
        ))
        .subcommand(
            Command::new("completions")
                .about("Write completions for a shell to the standard output")
                .arg(
                    Arg::new("shell")
                        .value_name("SHELL")
                        .required(true)
                        .value_parser(EnumValueParser::<Shell>::new()),
                ),
        )
}

fn global_args() -> [Arg; 4] {
    [
        Arg::new("node")
            .long("node")
            .value_name("ADDRESS")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help(
                "Operator address of a node, such as 10.20.1.17:7003; repeat it to name others that \
                 are tried in this order when one cannot be reached. A change goes on to the next \
                 node only if nothing was sent, or the node answered that nothing was changed",
            ),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .help("File with the access token; without it, the variable POPLARWING_TOKEN is read"),
        Arg::new("output")
            .long("output")
            .value_name("FORM")
            .global(true)
            .default_value("text")
            .value_parser(["text", "json"])
            .help("Form of the output; errors have the same form on the standard error"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("DURATION")
            .global(true)
            .value_parser(parse_timeout)
            .help("Longest time for the command, such as 5s [default: 30s; 1h for `move wait`]"),
    ]
}

fn parse_timeout(text: &str) -> Result<Duration, String> {
    let duration = humantime::parse_duration(text).map_err(|error| error.to_string())?;
    if duration.is_zero() || duration > Duration::from_secs(86_400) {
        return Err("allowed: more than 0 and at most 1day".to_owned());
    }
    Ok(duration)
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("INI file with the contract; see examples/kestrel.contract.ini")
}

fn customer_arg() -> Arg {
    Arg::new("customer")
        .value_name("CUSTOMER")
        .required(true)
        .value_parser(parse_customer)
        .help("Name of the customer")
}

fn service_arg() -> Arg {
    Arg::new("service")
        .value_name("CUSTOMER/SERVICE")
        .required(true)
        .value_parser(parse_service)
        .help("Service, such as kestrel/yardboard")
}

fn parse_customer(text: &str) -> Result<CustomerName, String> {
    let valid = is_name(text).then(|| text.to_owned());
    valid.ok_or_else(|| "allowed: 1 to 63 of a-z, 0-9 and -, starting with a letter".to_owned())
}

fn parse_service(text: &str) -> Result<ServiceKey, String> {
    let parts = text.split_once('/');
    let valid = parts.filter(|(customer, service)| is_name(customer) && is_name(service));
    let (customer, service) =
        valid.ok_or_else(|| "allowed: CUSTOMER/SERVICE, such as kestrel/yardboard".to_owned())?;
    Ok(ServiceKey {
        customer: customer.to_owned(),
        service: service.to_owned(),
    })
}

fn parse_version(text: &str) -> Result<VersionName, String> {
    let valid = is_version_name(text).then(|| text.to_owned());
    valid.ok_or_else(|| format!("allowed: {VERSION_NAME_SYNTAX}"))
}

fn contract_command() -> Command {
    Command::new("contract")
        .about("Check, apply and show contracts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check a contract file offline and report all faults at once")
                .arg(file_arg()),
        )
        .subcommand(apply_command())
        .subcommand(
            Command::new("show")
                .about("Show the contract in force; its revision goes to the standard error")
                .arg(customer_arg()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what a contract file would change")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("history")
                .about("Show who changed a contract, when, and what, newest first")
                .arg(customer_arg())
                .arg(
                    Arg::new("limit")
                        .long("limit")
                        .value_name("N")
                        .default_value(DEFAULT_LIMIT)
                        .value_parser(value_parser!(u16).range(1..=1000))
                        .help("Most changes to show"),
                ),
        )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Put a contract in force, whole or not at all")
        .after_help(
            "The revision expected keeps two operators from undoing each other's work: if the\n\
             contract has changed since, nothing happens, both changes are shown, and the exit code\n\
             is 5. Applying a text that is already in force changes nothing and succeeds, so the\n\
             command can be repeated when its outcome was unknown.",
        )
        .arg(file_arg())
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help(
                    "Revision that the file replaces, as shown by `contract show`; 0 for the first \
                     contract of a customer",
                ),
        )
}

fn version_command() -> Command {
    Command::new("version")
        .about("Start versions of services and list them")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("start")
                .about(
                    "Start a version: the fleet moves calls to it step by step, or takes it back",
                )
                .arg(service_arg())
                .arg(
                    Arg::new("version")
                        .value_name("VERSION")
                        .required(true)
                        .value_parser(parse_version)
                        .help("Version that is to take over"),
                )
                .arg(
                    Arg::new("finish-within")
                        .long("finish-within")
                        .value_name("DURATION")
                        .value_parser(parse_finish)
                        .help(
                            "Time within which the version must have taken over, such as 10m \
                             [default: that of the contract]",
                        ),
                ),
        )
        .subcommand(
            Command::new("list")
                .about("List the versions of all services with their shares and targets"),
        )
}

fn parse_finish(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| error.to_string())
}

fn move_command() -> Command {
    Command::new("move")
        .about("Follow and cancel moves between versions")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("List the latest move of each service"))
        .subcommand(
            Command::new("show")
                .about("Show the latest move of a service")
                .arg(service_arg()),
        )
        .subcommand(
            Command::new("wait")
                .about("Wait for the end of a move and print why it ended")
                .after_help(
                    "Ends with 0 when the version has taken over, 3 when the move was taken back, 4\n\
                     when the time set ran out. Nodes that cannot be reached meanwhile are asked\n\
                     again until then.",
                )
                .arg(service_arg())
                .arg(move_id_arg()),
        )
        .subcommand(
            Command::new("cancel")
                .about("Take a running move back")
                .arg(service_arg())
                .arg(move_id_arg()),
        )
}

fn move_id_arg() -> Arg {
    Arg::new("move-id")
        .long("move-id")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help("Identifier of the move, as printed by `version start` [default: the latest move]")
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Explain the state of a service")
        .long_about(
            "Explain the state of a service: which evidence led to each step of its latest move, who \
             changed its versions and its contract and when, and which contract lines set its limits",
        )
        .arg(service_arg())
}

/// Returns the typed form of a parsed command line; none for a command that does not exist.
pub fn read_invocation(matches: &ArgMatches) -> Option<OperatorInvocation> {
    let (group, group_matches) = matches.subcommand()?;
    let (name, inner) = group_matches.subcommand().unwrap_or(("", group_matches));
    let action = read_action(group, name, inner)?;
    // Global options reach the innermost command, whatever their position on the command line.
    let options = read_options(inner, &action);
    Some(OperatorInvocation { options, action })
}

fn read_options(matches: &ArgMatches, action: &OperatorAction) -> GlobalOptions {
    let nodes = matches.get_many::<SocketAddr>("node");
    let json = matches
        .get_one::<String>("output")
        .is_some_and(|form| form == "json");
    let default_timeout = match action {
        OperatorAction::MoveWait(_) => DEFAULT_WAIT_TIMEOUT,
        _ => DEFAULT_TIMEOUT,
    };
    GlobalOptions {
        nodes: nodes.unwrap_or_default().copied().collect(),
        token_file: matches.get_one("token-file").cloned(),
        output: if json {
            OutputForm::Json
        } else {
            OutputForm::Text
        },
        timeout: matches
            .get_one("timeout")
            .copied()
            .unwrap_or(default_timeout),
    }
}

fn read_action(group: &str, name: &str, matches: &ArgMatches) -> Option<OperatorAction> {
    match (group, name) {
        ("contract", "check") => Some(OperatorAction::ContractCheck(file_of(matches)?)),
        ("contract", "apply") => Some(OperatorAction::ContractApply(ApplyOptions {
            file: file_of(matches)?,
            expected_revision: matches.get_one("expect").copied()?,
        })),
        ("contract", "show") => Some(OperatorAction::ContractShow(customer_of(matches)?)),
        ("contract", "diff") => Some(OperatorAction::ContractDiff(file_of(matches)?)),
        ("contract", "history") => {
            let limit = matches.get_one::<u16>("limit").copied()?;
            let customer = customer_of(matches)?;
            Some(OperatorAction::ContractHistory(
                customer,
                usize::from(limit),
            ))
        }
        ("version", "start") => Some(OperatorAction::VersionStart(StartOptions {
            key: service_of(matches)?,
            version: matches.get_one("version").cloned()?,
            finish_within: matches.get_one("finish-within").copied(),
        })),
        ("version", "list") => Some(OperatorAction::VersionList),
        ("move", "list") => Some(OperatorAction::MoveList),
        ("move", "show") => Some(OperatorAction::MoveShow(service_of(matches)?)),
        ("move", "wait") => Some(OperatorAction::MoveWait(move_of(matches)?)),
        ("move", "cancel") => Some(OperatorAction::MoveCancel(move_of(matches)?)),
        ("explain", _) => Some(OperatorAction::Explain(service_of(matches)?)),
        ("status", _) => Some(OperatorAction::Status),
        ("completions", _) => Some(OperatorAction::Completions(
            matches.get_one("shell").copied()?,
        )),
        _ => None,
    }
}

fn file_of(matches: &ArgMatches) -> Option<PathBuf> {
    matches.get_one("file").cloned()
}

fn customer_of(matches: &ArgMatches) -> Option<CustomerName> {
    matches.get_one("customer").cloned()
}

fn service_of(matches: &ArgMatches) -> Option<ServiceKey> {
    matches.get_one("service").cloned()
}

fn move_of(matches: &ArgMatches) -> Option<MoveOptions> {
    Some(MoveOptions {
        key: service_of(matches)?,
        move_id: matches.get_one("move-id").copied(),
    })
}
