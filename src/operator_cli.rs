//! Command-line interfaces of `poplarwing` (operator program) and `poplarwingd` (node daemon).

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

/// Environment variable with the access token, used if no token file is given.
pub const TOKEN_VARIABLE: &str = "POPLARWING_TOKEN";

/// Default time limit of a command.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Default time limit of `move wait`.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(3600);

/// Most changes that `contract history` shows by default.
const DEFAULT_HISTORY_LIMIT: &str = "20";

/// Exit codes of `poplarwing`, as shown by `--help`.
const EXIT_CODES: &str = "\
Exit codes:
  0  done; for `move wait`: the version has taken over
  1  rejected or invalid; nothing was changed
  2  usage error: unknown command, option or value, or no token
  3  the move was taken back: all calls go to the stable version again
  4  the time limit passed; nothing is known to have been changed
  5  conflict: another change was accepted first; both are shown
  6  no node could be reached
  7  the outcome is unknown: the change may or may not have been accepted

Only exit code 0 of `contract apply`, `version start` and `move cancel` means that the
platform's store has accepted the change.";

/// Outcome of a command; the value is its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The request was rejected or is invalid; nothing was changed.
    Refused = 1,
    /// Usage error, such as an unknown option.
    Usage = 2,
    /// The move was taken back: its calls went back to the stable version.
    TakenBack = 3,
    /// The time limit passed; nothing is known to have been changed.
    TimedOut = 4,
    /// Another change was accepted first.
    Conflict = 5,
    /// No node could be reached.
    Unreachable = 6,
    /// The change may or may not have been accepted.
    Unknown = 7,
}

/// Output format.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OutputFormat {
    /// Text for people.
    #[display("text")]
    Text,
    /// One JSON document for scripts.
    #[display("json")]
    Json,
}

/// Options common to all commands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GlobalOptions {
    /// Operator addresses of nodes, in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// File with the access token; none means that the environment variable is read.
    pub token_file: Option<PathBuf>,
    /// Output format.
    pub output: OutputFormat,
    /// Time limit of the command.
    pub timeout: Duration,
}

/// Arguments of `contract apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyOptions {
    /// File with the contract.
    pub file: PathBuf,
    /// Revision that the file replaces; 0 for the first contract.
    pub expected_revision: u64,
}

/// Arguments of `version start`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOptions {
    /// Service whose calls are to move.
    pub key: ServiceKey,
    /// Candidate version that is to take over the service's calls.
    pub version: VersionName,
    /// Time within which the candidate must have taken over; none means the time set in the contract.
    pub finish_within: Option<Duration>,
}

/// Arguments of `move wait` and `move cancel`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOptions {
    /// Service whose calls move between versions.
    pub key: ServiceKey,
    /// Identifier of the move; none means the latest move.
    pub move_id: Option<ConfigVersion>,
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorAction {
    /// Check a contract file offline.
    ContractCheck(PathBuf),
    /// Apply a contract.
    ContractApply(ApplyOptions),
    /// Show the current contract of a customer.
    ContractShow(CustomerName),
    /// Show the differences between a contract file and the current contract.
    ContractDiff(PathBuf),
    /// Show the latest changes of a customer's contract, at most the number given.
    ContractHistory(CustomerName, usize),
    /// Start a move to a version.
    VersionStart(StartOptions),
    /// List the versions of all services with their shares and targets.
    VersionList,
    /// List the latest move of each service.
    MoveList,
    /// Show the latest move of a service.
    MoveShow(ServiceKey),
    /// Wait for the end of a move.
    MoveWait(MoveOptions),
    /// Cancel a running move.
    MoveCancel(MoveOptions),
    /// Explain the state of a service by its audit records.
    Explain(ServiceKey),
    /// Show the members of the fleet and their configuration versions.
    Status,
    /// Write a completion script for a shell.
    Completions(Shell),
}

/// A parsed command line of `poplarwing`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorInvocation {
    /// Options common to all commands.
    pub options: GlobalOptions,
    /// Command to run.
    pub action: OperatorAction,
}

/// Returns the definition of the command line of `poplarwingd`.
pub fn node_command() -> Command {
    Command::new("poplarwingd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Node of poplarwing: runs beside a target, distributes configuration and routes calls.")
        .after_help(
            "Exit codes:\n  0  stopped after SIGTERM or SIGINT, or the settings are valid\n  \
             1  the settings are invalid or the node could not start\n  2  usage error\n\n\
             SIGTERM starts a graceful shutdown: the node accepts no new work, finishes all calls in\n\
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
                .help("Check the settings, report all errors at once and exit"),
        )
}

/// Returns the definition of the command line of `poplarwing`.
pub fn operator_command() -> Command {
    Command::new("poplarwing")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Changes contracts, starts versions and explains the state of services.")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(contract_command())
        .subcommand(version_command())
        .subcommand(move_command())
        .subcommand(explain_command())
        .subcommand(Command::new("status").about(
            "Show the nodes known to a node, their configuration versions and which are behind",
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
                 are tried in this order if one cannot be reached. A change is sent to the next \
                 node only if nothing was sent yet, or the node answered that nothing was changed",
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
            .help("Output format; errors have the same format on the standard error"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("DURATION")
            .global(true)
            .value_parser(parse_timeout)
            .help("Time limit of the command, such as 5s [default: 30s; 1h for `move wait`]"),
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
                .about("Check a contract file offline and report all errors at once")
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
                        .default_value(DEFAULT_HISTORY_LIMIT)
                        .value_parser(value_parser!(u16).range(1..=1000))
                        .help("Most changes to show"),
                ),
        )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Apply a contract as a whole, or not at all")
        .after_help(
            "The expected revision keeps two operators from undoing each other's work: if the\n\
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
                    "Start a version: the fleet moves calls to it step by step, or takes them back",
                )
                .arg(service_arg())
                .arg(
                    Arg::new("version")
                        .value_name("VERSION")
                        .required(true)
                        .value_parser(parse_version)
                        .help("Version that is to take over the service's calls"),
                )
                .arg(
                    Arg::new("finish-within")
                        .long("finish-within")
                        .value_name("DURATION")
                        .value_parser(parse_finish)
                        .help(
                            "Time within which the version must have taken over, such as 10m \
                             [default: the time set in the contract]",
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
        .about("Show, await and cancel moves between versions")
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
                .about("Wait for the end of a move and print its outcome and reason")
                .after_help(
                    "Exits with 0 if the version has taken over, 3 if the move was taken back, 4 if the\n\
                     time limit passed. Nodes that cannot be reached are retried until then.",
                )
                .arg(service_arg())
                .arg(move_id_arg()),
        )
        .subcommand(
            Command::new("cancel")
                .about("Cancel a running move: all calls go to the stable version again")
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

/// Converts parsed arguments into an invocation; none for a command that does not exist.
pub fn read_invocation(matches: &ArgMatches) -> Option<OperatorInvocation> {
    let (group, group_matches) = matches.subcommand()?;
    let (name, command_matches) = group_matches.subcommand().unwrap_or(("", group_matches));
    let action = read_action(group, name, command_matches)?;
    // clap copies global options to the innermost command, wherever they stand on the command line.
    let options = read_options(command_matches, &action);
    Some(OperatorInvocation { options, action })
}

fn read_options(matches: &ArgMatches, action: &OperatorAction) -> GlobalOptions {
    let nodes = matches.get_many::<SocketAddr>("node");
    let json = matches
        .get_one::<String>("output")
        .is_some_and(|format| format == "json");
    let default_timeout = match action {
        OperatorAction::MoveWait(_) => DEFAULT_WAIT_TIMEOUT,
        _ => DEFAULT_TIMEOUT,
    };
    GlobalOptions {
        nodes: nodes.unwrap_or_default().copied().collect(),
        token_file: matches.get_one("token-file").cloned(),
        output: if json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        },
        timeout: matches
            .get_one("timeout")
            .copied()
            .unwrap_or(default_timeout),
    }
}

fn read_action(group: &str, name: &str, matches: &ArgMatches) -> Option<OperatorAction> {
    match (group, name) {
        ("contract", "check") => Some(OperatorAction::ContractCheck(get_file(matches)?)),
        ("contract", "apply") => Some(OperatorAction::ContractApply(ApplyOptions {
            file: get_file(matches)?,
            expected_revision: matches.get_one("expect").copied()?,
        })),
        ("contract", "show") => Some(OperatorAction::ContractShow(get_customer(matches)?)),
        ("contract", "diff") => Some(OperatorAction::ContractDiff(get_file(matches)?)),
        ("contract", "history") => {
            let limit = matches.get_one::<u16>("limit").copied()?;
            let customer = get_customer(matches)?;
            Some(OperatorAction::ContractHistory(
                customer,
                usize::from(limit),
            ))
        }
        ("version", "start") => Some(OperatorAction::VersionStart(StartOptions {
            key: get_service(matches)?,
            version: matches.get_one("version").cloned()?,
            finish_within: matches.get_one("finish-within").copied(),
        })),
        ("version", "list") => Some(OperatorAction::VersionList),
        ("move", "list") => Some(OperatorAction::MoveList),
        ("move", "show") => Some(OperatorAction::MoveShow(get_service(matches)?)),
        ("move", "wait") => Some(OperatorAction::MoveWait(get_move_options(matches)?)),
        ("move", "cancel") => Some(OperatorAction::MoveCancel(get_move_options(matches)?)),
        ("explain", _) => Some(OperatorAction::Explain(get_service(matches)?)),
        ("status", _) => Some(OperatorAction::Status),
        ("completions", _) => Some(OperatorAction::Completions(
            matches.get_one("shell").copied()?,
        )),
        _ => None,
    }
}

fn get_file(matches: &ArgMatches) -> Option<PathBuf> {
    matches.get_one("file").cloned()
}

fn get_customer(matches: &ArgMatches) -> Option<CustomerName> {
    matches.get_one("customer").cloned()
}

fn get_service(matches: &ArgMatches) -> Option<ServiceKey> {
    matches.get_one("service").cloned()
}

fn get_move_options(matches: &ArgMatches) -> Option<MoveOptions> {
    Some(MoveOptions {
        key: get_service(matches)?,
        move_id: matches.get_one("move-id").copied(),
    })
}
