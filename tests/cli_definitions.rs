//! Tests of the command-line definitions of `poplarwing` and `poplarwingd`.

use {
    poplarwing::operator_cli::{
        GlobalOptions, OperatorAction, OutputFormat, node_command, operator_command,
        read_invocation,
    },
    std::{path::PathBuf, time::Duration},
};

fn parse(arguments: &str) -> (GlobalOptions, OperatorAction) {
    let words = arguments.split(' ');
    let matches = operator_command()
        .try_get_matches_from(words)
        .expect("the command line is valid");
    let invocation = read_invocation(&matches).expect("the command exists");
    (invocation.options, invocation.action)
}

/// Guards against inconsistent definitions, which clap otherwise reports only when the command is used.
#[test]
fn command_definitions_are_consistent() {
    operator_command().debug_assert();
    node_command().debug_assert();
}

/// Guards against global options that are ignored before or after the command.
#[test]
fn global_options_work_in_every_position() {
    let before = "poplarwing --node 127.0.0.1:1 --output json --timeout 5s move list";
    let after = "poplarwing move list --node 127.0.0.1:1 --output json --timeout 5s";
    let (options, action) = parse(before);
    assert_eq!(options.nodes.len(), 1);
    assert_eq!(options.output, OutputFormat::Json);
    assert_eq!(options.timeout, Duration::from_secs(5));
    assert_eq!((options, action), parse(after));
}

/// Guards against defaults that differ from the help text.
#[test]
fn defaults_are_as_documented() {
    let (options, action) = parse("poplarwing contract apply kestrel.ini");
    let (wait, _) = parse("poplarwing move wait kestrel/ledger");
    assert_eq!(options.timeout, Duration::from_secs(30));
    assert_eq!(options.output, OutputFormat::Text);
    assert_eq!(wait.timeout, Duration::from_secs(3600));
    assert!(matches!(action, OperatorAction::ContractApply(apply) if apply.expected_revision == 0));
}

/// Guards against a node daemon that starts without a settings file, or that lacks `--check`.
#[test]
fn the_daemon_requires_settings_and_can_check_them() {
    let missing = node_command().try_get_matches_from(["poplarwingd"]);
    let check = ["poplarwingd", "--settings", "node.ini", "--check"];
    let matches = node_command()
        .try_get_matches_from(check)
        .expect("the command line is valid");
    assert!(missing.is_err());
    assert!(matches.get_flag("check"));
    assert_eq!(
        matches.get_one::<PathBuf>("settings"),
        Some(&PathBuf::from("node.ini"))
    );
}
