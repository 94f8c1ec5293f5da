//! Tests of the `poplarwing` binary: output, exit codes and failover between nodes.

#[path = "support/admin_fixture.rs"]
mod admin_fixture;
#[path = "support/cli_run.rs"]
mod cli_run;

use {
    admin_fixture::{
        AdminFixture, KESTREL_CONTRACT, MAAIKE_TOKEN, MemoryStore, PIET_TOKEN, StoreFault,
        start_admin, yardboard_key, yardboard_split,
    },
    cli_run::{CliOutput, StubReaction, closed_address, run_cli, start_stub_node, write_file},
    poplarwing::{
        config::MovePhase,
        membership::{MemberRecord, MemberState},
    },
    serde_json::Value,
    std::{net::SocketAddr, sync::atomic::Ordering},
};

const YARDBOARD: &str = "kestrel/yardboard";

async fn run_on_node(fixture: &AdminFixture, arguments: &[&str]) -> CliOutput {
    run_on_nodes(&[fixture.address], arguments).await
}

async fn run_on_nodes(nodes: &[SocketAddr], arguments: &[&str]) -> CliOutput {
    let nodes: Vec<String> = nodes.iter().map(ToString::to_string).collect();
    let mut all_arguments = arguments.to_vec();
    for node in &nodes {
        all_arguments.extend(["--node", node.as_str()]);
    }
    run_cli(PIET_TOKEN, &all_arguments).await
}

/// Starts a node whose store contains the contract of Kestrel, in force on the node. `name` is that of
/// the test and keeps its files apart from those of others.
async fn start_with_contract(name: &str) -> AdminFixture {
    let fixture = start_admin(MemoryStore::default()).await;
    let file = write_file(&format!("{name}.first.ini"), KESTREL_CONTRACT);
    run_on_node(&fixture, &["contract", "apply", &file])
        .await
        .expect_code(0);
    fixture.apply_head();
    fixture
}

fn write_changed_contract(name: &str, from: &str, to: &str) -> String {
    assert!(
        KESTREL_CONTRACT.contains(from),
        "the contract lacks {from:?}"
    );
    write_file(
        &format!("{name}.changed.ini"),
        &KESTREL_CONTRACT.replace(from, to),
    )
}

/// Guards against errors of a contract that the offline check misses, or reports without file and line.
#[tokio::test(flavor = "multi_thread")]
async fn contract_check_reports_all_errors_offline() {
    let good = write_file("check.good.ini", KESTREL_CONTRACT);
    let bad = KESTREL_CONTRACT
        .replace("rate = 2000", "rate = 0")
        .replace("keyed = true", "keyd = true");
    let bad = write_file("check.bad.ini", &bad);
    let valid = run_cli("", &["contract", "check", &good])
        .await
        .expect_code(0);
    let invalid = run_cli("", &["contract", "check", &bad])
        .await
        .expect_code(1);
    let missing_file = run_cli("", &["contract", "check", "/no/such/file"])
        .await
        .expect_code(1);
    assert_eq!(
        valid.stdout,
        "contract of kestrel: valid, 3 services, 6 routes\n"
    );
    assert!(
        invalid
            .stderr
            .contains(&format!("{bad}:5: [customer] rate: found \"0\"")),
        "{invalid:?}"
    );
    assert_eq!(
        invalid.stderr.matches("keyd: found an unknown key").count(),
        2
    );
    assert!(
        missing_file.stderr.contains("/no/such/file"),
        "{missing_file:?}"
    );
}

/// Guards against usage errors that look like a rejected request, and against exit codes missing from the
/// help.
#[tokio::test(flavor = "multi_thread")]
async fn usage_errors_exit_with_2_and_help_with_0() {
    let usage_errors: [&[&str]; 7] = [
        &["contracts"],
        &["contract"],
        &["move", "show", "yardboard", "--node", "127.0.0.1:1"],
        &["status", "--node", "localhost:1"],
        &["status"],
        &["status", "--node", "127.0.0.1:1", "--timeout", "0s"],
        &[
            "version",
            "start",
            YARDBOARD,
            "v/2",
            "--node",
            "127.0.0.1:1",
        ],
    ];
    for arguments in usage_errors {
        run_cli(PIET_TOKEN, arguments).await.expect_code(2);
    }
    let no_token = run_cli("", &["status", "--node", "127.0.0.1:1"])
        .await
        .expect_code(2);
    assert!(no_token.stderr.contains("POPLARWING_TOKEN"), "{no_token:?}");
    let help = run_cli("", &["--help"]).await.expect_code(0);
    for code in 0..=7 {
        assert!(
            help.stdout.contains(&format!("\n  {code}  ")),
            "{}",
            help.stdout
        );
    }
    let script = run_cli("", &["completions", "bash"]).await.expect_code(0);
    assert!(script.stdout.contains("poplarwing"));
}

/// Guards against an accepted contract that is reported without its revision and version.
#[tokio::test(flavor = "multi_thread")]
async fn contracts_are_applied_shown_and_compared() {
    let fixture = start_with_contract("show").await;
    let file = write_changed_contract("show", "rate = 2000", "rate = 2500");
    let diff = run_on_node(&fixture, &["contract", "diff", &file])
        .await
        .expect_code(0);
    let apply = [
        "contract", "apply", &file, "--expect", "1", "--output", "json",
    ];
    let apply = run_on_node(&fixture, &apply).await.expect_code(0);
    let again = run_on_node(&fixture, &["contract", "apply", &file])
        .await
        .expect_code(0);
    let show = run_on_node(&fixture, &["contract", "show", "kestrel"])
        .await
        .expect_code(0);
    let history = run_on_node(&fixture, &["contract", "history", "kestrel"])
        .await
        .expect_code(0);
    let accepted: Value = serde_json::from_str(&apply.stdout).expect("the output is JSON");
    assert!(
        diff.stdout
            .contains("changed [customer] rate: 2000 -> 2500 (line 5)"),
        "{diff:?}"
    );
    assert_eq!(
        (&accepted["revision"], &accepted["version"]),
        (&2.into(), &2.into())
    );
    assert!(
        again.stdout.contains("revision 2 is in force already"),
        "{again:?}"
    );
    assert!(show.stdout.contains("rate = 2500"), "{show:?}");
    assert_eq!(show.stderr, "revision 2\n");
    assert_eq!(history.stdout.lines().count(), 2, "{history:?}");
}

/// Guards against a conflict that looks like success, or that is reported without the other change.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_exits_with_5_and_shows_both_changes() {
    let fixture = start_with_contract("conflict").await;
    let first = write_changed_contract("conflict-1", "rate = 2000", "rate = 2500");
    let second = write_changed_contract("conflict-2", "rate = 2000", "rate = 3000");
    let apply = |file| ["contract", "apply", file, "--expect", "1"];
    run_on_node(&fixture, &apply(&first)).await.expect_code(0);
    let token_file = write_file("conflict.token", &format!("{MAAIKE_TOKEN}\n"));
    let mut arguments = apply(&second).to_vec();
    arguments.extend(["--token-file", token_file.as_str()]);
    let conflict = run_on_node(&fixture, &arguments).await.expect_code(5);
    assert!(
        conflict
            .stderr
            .contains("yours:  operator maaike: contract"),
        "{conflict:?}"
    );
    assert!(
        conflict.stderr.contains("theirs: operator piet, version 2"),
        "{conflict:?}"
    );
    assert!(conflict.stderr.contains("2000 -> 2500"), "{conflict:?}");
    assert!(
        conflict.stderr.contains("revision in force: 2"),
        "{conflict:?}"
    );
}

/// Guards against a race in which two conflicting contracts are both reported as accepted.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_contract_changes_exits_with_5() {
    let fixture = start_with_contract("race").await;
    fixture.store.set_commit_barrier(2);
    let first = write_changed_contract("race-1", "rate = 2000", "rate = 2500");
    let second = write_changed_contract("race-2", "rate = 2000", "rate = 3000");
    let apply = |file| ["contract", "apply", file, "--expect", "1"];
    let (first_apply, second_apply) = (apply(&first), apply(&second));
    let (first, second) = tokio::join!(
        run_on_node(&fixture, &first_apply),
        run_on_node(&fixture, &second_apply)
    );
    let mut codes = [first.code, second.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 5], "{first:?} {second:?}");
    assert_eq!(fixture.store.head().version, 2);
}

/// Guards against a change that is reported as accepted or rejected although its outcome is unknown, and
/// against one that is sent to a second node.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_exits_with_7() {
    let fixture = start_with_contract("unknown").await;
    let file = write_changed_contract("unknown", "rate = 2000", "rate = 2500");
    let apply = ["contract", "apply", &file, "--expect", "1"];
    let closing = start_stub_node(StubReaction::Close).await;
    let hanging = start_stub_node(StubReaction::Hang).await;
    let closed = run_on_nodes(&[closing.address, fixture.address], &apply)
        .await
        .expect_code(7);
    let mut limited = apply.to_vec();
    limited.extend(["--timeout", "2s"]);
    let hung = run_on_nodes(&[hanging.address, fixture.address], &limited)
        .await
        .expect_code(7);
    assert!(closed.stdout.is_empty() && hung.stdout.is_empty());
    assert_eq!(closing.connections.load(Ordering::SeqCst), 1);
    assert_eq!(
        fixture.store.head().version,
        1,
        "a change was sent to a second node"
    );
    fixture.store.set_fault(StoreFault::OutcomeLost);
    let lost = run_on_node(&fixture, &apply).await.expect_code(7);
    assert!(
        lost.stderr
            .contains("look at the audit record of version 2"),
        "{lost:?}"
    );
    fixture.store.set_fault(StoreFault::None);
    run_on_node(&fixture, &apply).await.expect_code(0);
}

/// Guards against a command that fails after the first node although a retry is safe, or does not name
/// the nodes tried.
#[tokio::test(flavor = "multi_thread")]
async fn requests_fail_over_to_the_next_node_where_that_is_safe() {
    let fixture = start_with_contract("next").await;
    let node_without_store = start_admin(MemoryStore::default()).await;
    node_without_store.store.set_fault(StoreFault::Down);
    let file = write_changed_contract("next", "rate = 2000", "rate = 2500");
    let apply = ["contract", "apply", &file, "--expect", "1"];
    let nodes = [
        closed_address(),
        node_without_store.address,
        fixture.address,
    ];
    run_on_nodes(&nodes, &apply).await.expect_code(0);
    let hanging = start_stub_node(StubReaction::Hang).await;
    let status = ["status", "--timeout", "10s"];
    run_on_nodes(&[hanging.address, fixture.address], &status)
        .await
        .expect_code(0);
    let refused = run_on_node(&node_without_store, &apply)
        .await
        .expect_code(1);
    assert!(
        refused.stderr.contains("Nothing was changed"),
        "{refused:?}"
    );
    let closed = closed_address();
    let unreachable = run_on_nodes(&[closed], &apply).await.expect_code(6);
    assert!(
        unreachable.stderr.contains(&closed.to_string()),
        "{unreachable:?}"
    );
    let timed_out = ["status", "--timeout", "200ms"];
    run_on_nodes(&[hanging.address], &timed_out)
        .await
        .expect_code(4);
}

/// Guards against a rejected request that ends with the exit code of another failure.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_requests_exit_with_1() {
    let fixture = start_with_contract("refusals").await;
    let node = fixture.address.to_string();
    let unknown_operator = ["status", "--node", &node];
    run_cli("not-a-known-token", &unknown_operator)
        .await
        .expect_code(1);
    run_on_node(&fixture, &["contract", "show", "magpie"])
        .await
        .expect_code(1);
    run_on_node(&fixture, &["version", "start", YARDBOARD, "v1"])
        .await
        .expect_code(1);
    run_on_node(&fixture, &["move", "cancel", YARDBOARD])
        .await
        .expect_code(1);
    run_on_node(&fixture, &["move", "wait", YARDBOARD])
        .await
        .expect_code(1);
    run_on_node(&fixture, &["version", "start", YARDBOARD, "v2"])
        .await
        .expect_code(0);
    run_on_node(&fixture, &["version", "start", YARDBOARD, "v3"])
        .await
        .expect_code(5);
}

async fn start_and_end_move(fixture: &AdminFixture, version: &str, phase: MovePhase, reason: &str) {
    run_on_node(fixture, &["version", "start", YARDBOARD, version])
        .await
        .expect_code(0);
    fixture.store.end_move(&yardboard_key(), phase, reason);
    fixture.apply_head();
}

/// Guards against `move wait` succeeding after a move was taken back: a script would go on.
#[tokio::test(flavor = "multi_thread")]
async fn move_wait_reports_the_outcome_and_reason() {
    let fixture = start_with_contract("wait").await;
    start_and_end_move(
        &fixture,
        "v2",
        MovePhase::TakenBack,
        "30 of 200 calls failed",
    )
    .await;
    let taken_back = run_on_node(&fixture, &["move", "wait", YARDBOARD])
        .await
        .expect_code(3);
    start_and_end_move(&fixture, "v3", MovePhase::Done, "no worse than v1 over 2m").await;
    let completed = run_on_node(&fixture, &["move", "wait", YARDBOARD])
        .await
        .expect_code(0);
    let earlier = ["move", "wait", YARDBOARD, "--move-id", "2"];
    let earlier = run_on_node(&fixture, &earlier).await.expect_code(3);
    assert_eq!(
        taken_back.stdout,
        "move 2 of kestrel/yardboard: v2 was taken back: 30 of 200 calls failed\n"
    );
    assert!(
        completed
            .stdout
            .contains("v3 has taken over: no worse than v1"),
        "{completed:?}"
    );
    assert_eq!(earlier.stdout, taken_back.stdout);
}

/// Guards against a wait that returns the outcome of an earlier move because the configuration of the
/// queried node lags.
#[tokio::test(flavor = "multi_thread")]
async fn move_wait_ignores_earlier_moves_on_a_lagging_node() {
    let fixture = start_with_contract("behind").await;
    start_and_end_move(&fixture, "v2", MovePhase::Done, "no worse").await;
    run_on_node(&fixture, &["version", "start", YARDBOARD, "v3"])
        .await
        .expect_code(0);
    let wait = ["move", "wait", YARDBOARD, "--timeout", "3s"];
    let behind = run_on_node(&fixture, &wait).await.expect_code(4);
    assert!(
        behind
            .stderr
            .contains("move 4 of kestrel/yardboard had not ended"),
        "{behind:?}"
    );
    let address = fixture.address;
    let waiting =
        tokio::spawn(async move { run_on_nodes(&[address], &["move", "wait", YARDBOARD]).await });
    fixture
        .store
        .end_move(&yardboard_key(), MovePhase::TakenBack, "slow");
    fixture.apply_head();
    waiting.await.expect("the run ends").expect_code(3);
}

/// Guards against an explanation that lacks the evidence, the author, the time or the contract line.
#[tokio::test(flavor = "multi_thread")]
async fn explain_shows_evidence_author_time_and_contract_line() {
    let fixture = start_with_contract("explain").await;
    start_and_end_move(
        &fixture,
        "v2",
        MovePhase::TakenBack,
        "30 of 200 calls failed",
    )
    .await;
    let explained = run_on_node(&fixture, &["explain", YARDBOARD])
        .await
        .expect_code(0)
        .stdout;
    let expected = [
        "configuration version 3, accepted in the store",
        "reason: 30 of 200 calls failed",
        "version 2  2023-11-14T22:13:22Z  operator piet: start of move 2 of kestrel/yardboard from v1 to v2",
        "version 3  2023-11-14T22:13:23Z  controller on node n9: 30 of 200 calls failed",
        "version 1  2023-11-14T22:13:21Z  operator piet: contract of kestrel, revision 1",
        "jobs: deadline 800ms (line 18), body limit 0B (line 19), rate 200 (line 20)",
    ];
    for line in expected {
        assert!(
            explained.contains(line),
            "the explanation lacks {line:?}:\n{explained}"
        );
    }
    fixture.store.set_fault(StoreFault::Down);
    let offline = run_on_node(&fixture, &["explain", YARDBOARD])
        .await
        .expect_code(0)
        .stdout;
    assert!(offline.contains("the store cannot be read"), "{offline}");
    assert!(
        offline.contains("audit records are incomplete"),
        "{offline}"
    );
}

/// Guards against versions and moves that are listed with wrong shares.
#[tokio::test(flavor = "multi_thread")]
async fn versions_and_moves_are_listed() {
    let fixture = start_with_contract("list").await;
    run_on_node(&fixture, &["version", "start", YARDBOARD, "v2"])
        .await
        .expect_code(0);
    fixture.apply_head();
    let versions = run_on_node(&fixture, &["version", "list"])
        .await
        .expect_code(0)
        .stdout;
    let moves = run_on_node(&fixture, &["move", "list"])
        .await
        .expect_code(0)
        .stdout;
    let show = run_on_node(&fixture, &["move", "show", YARDBOARD])
        .await
        .expect_code(0)
        .stdout;
    assert_eq!(versions.lines().count(), 3, "{versions}");
    assert!(
        versions.contains("kestrel/yardboard  v1: share 100%, 0 targets"),
        "{versions}"
    );
    assert_eq!(moves, show);
    assert!(
        show.contains("move 2  v1 -> v2  waiting  share 0%"),
        "{show}"
    );
    run_on_node(&fixture, &["move", "cancel", YARDBOARD, "--move-id", "2"])
        .await
        .expect_code(0);
    assert_eq!(yardboard_split(&fixture.store).stable, "v1");
}

/// Guards against a status that does not show which node's configuration lags.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_which_nodes_lag() {
    let fixture = start_with_contract("status").await;
    for (node, version) in [("n1", 1), ("n2", 0)] {
        fixture.board.members.lock().merge(MemberRecord {
            node: node.to_owned(),
            incarnation: 1,
            sequence: 1,
            state: MemberState::Alive,
            domain: "albany".to_owned(),
            peer_address: closed_address(),
            forward_address: closed_address(),
            target: None,
            applied_version: version,
        });
    }
    let status = run_on_node(&fixture, &["status"])
        .await
        .expect_code(0)
        .stdout;
    assert!(
        status.contains("version 1, ready; newest version known: 1"),
        "{status}"
    );
    assert!(
        status.contains("n1  albany  alive  version 1\n"),
        "{status}"
    );
    assert!(
        status.contains("n2  albany  alive  version 0  behind by 1\n"),
        "{status}"
    );
}
