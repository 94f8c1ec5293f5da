//! The operator program through its real binary: output, exit codes, and the choice of nodes.

#[path = "support/admin_fixture.rs"]
mod admin_fixture;
#[path = "support/cli_run.rs"]
mod cli_run;

use {
    admin_fixture::{
        AdminFixture, KESTREL, MAAIKE, MemoryStore, PIET, StoreFault, start_admin, yardboard,
        yardboard_split,
    },
    cli_run::{CliOutput, NodeFault, closed_address, run_cli, start_faulty, write_file},
    poplarwing::{
        config::MovePhase,
        membership::{MemberRecord, MemberState},
    },
    serde_json::Value,
    std::{net::SocketAddr, sync::atomic::Ordering},
};

const SERVICE: &str = "kestrel/yardboard";

async fn on_node(fixture: &AdminFixture, arguments: &[&str]) -> CliOutput {
    on_nodes(&[fixture.address], arguments).await
}

async fn on_nodes(nodes: &[SocketAddr], arguments: &[&str]) -> CliOutput {
    let nodes: Vec<String> = nodes.iter().map(ToString::to_string).collect();
    let mut all = arguments.to_vec();
    for node in &nodes {
        all.extend(["--node", node.as_str()]);
    }
    run_cli(PIET, &all).await
}

/// Returns a node whose store holds the contract of Kestrel, in force on the node.
async fn with_contract(name: &str) -> AdminFixture {
    let fixture = start_admin(MemoryStore::default()).await;
    let file = write_file(&format!("{name}.first.ini"), KESTREL);
    on_node(&fixture, &["contract", "apply", &file])
        .await
        .expect_code(0);
    fixture.apply_head();
    fixture
}

fn changed_file(name: &str, from: &str, to: &str) -> String {
    assert!(KESTREL.contains(from), "the contract lacks {from:?}");
    write_file(&format!("{name}.changed.ini"), &KESTREL.replace(from, to))
}

/// Guards against faults that the offline check misses, or shows without file and line.
#[tokio::test(flavor = "multi_thread")]
async fn contract_check_reports_all_faults_offline() {
    let good = write_file("check.good.ini", KESTREL);
    let bad = KESTREL
        .replace("rate = 2000", "rate = 0")
        .replace("keyed = true", "keyd = true");
    let bad = write_file("check.bad.ini", &bad);
    let valid = run_cli("", &["contract", "check", &good])
        .await
        .expect_code(0);
    let faulty = run_cli("", &["contract", "check", &bad])
        .await
        .expect_code(1);
    let absent = run_cli("", &["contract", "check", "/no/such/file"])
        .await
        .expect_code(1);
    assert_eq!(
        valid.stdout,
        "contract of kestrel: valid, 3 services, 6 routes\n"
    );
    assert!(
        faulty
            .stderr
            .contains(&format!("{bad}:5: [customer] rate: found \"0\"")),
        "{faulty:?}"
    );
    assert_eq!(
        faulty.stderr.matches("keyd: found an unknown key").count(),
        2
    );
    assert!(absent.stderr.contains("/no/such/file"), "{absent:?}");
}

/// Guards against wrong usage that looks like a refusal, and against help that is missing.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_usage_ends_with_2_and_help_with_0() {
    let faults: [&[&str]; 7] = [
        &["contracts"],
        &["contract"],
        &["move", "show", "yardboard", "--node", "127.0.0.1:1"],
        &["status", "--node", "localhost:1"],
        &["status"],
        &["status", "--node", "127.0.0.1:1", "--timeout", "0s"],
        &["version", "start", SERVICE, "v/2", "--node", "127.0.0.1:1"],
    ];
    for arguments in faults {
        run_cli(PIET, arguments).await.expect_code(2);
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

/// Guards against an acceptance that is reported without its revision and version.
#[tokio::test(flavor = "multi_thread")]
async fn contracts_are_applied_shown_and_compared() {
    let fixture = with_contract("show").await;
    let file = changed_file("show", "rate = 2000", "rate = 2500");
    let diff = on_node(&fixture, &["contract", "diff", &file])
        .await
        .expect_code(0);
    let apply = [
        "contract", "apply", &file, "--expect", "1", "--output", "json",
    ];
    let apply = on_node(&fixture, &apply).await.expect_code(0);
    let again = on_node(&fixture, &["contract", "apply", &file])
        .await
        .expect_code(0);
    let show = on_node(&fixture, &["contract", "show", "kestrel"])
        .await
        .expect_code(0);
    let history = on_node(&fixture, &["contract", "history", "kestrel"])
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

/// Guards against a lost race that looks like success, or that hides the other change.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_ends_with_5_and_shows_both_changes() {
    let fixture = with_contract("conflict").await;
    let first = changed_file("conflict-1", "rate = 2000", "rate = 2500");
    let second = changed_file("conflict-2", "rate = 2000", "rate = 3000");
    let apply = |file| ["contract", "apply", file, "--expect", "1"];
    on_node(&fixture, &apply(&first)).await.expect_code(0);
    let token_file = write_file("conflict.token", &format!("{MAAIKE}\n"));
    let mut arguments = apply(&second).to_vec();
    arguments.extend(["--token-file", token_file.as_str()]);
    let conflict = on_node(&fixture, &arguments).await.expect_code(5);
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

/// Guards against a race in which both operators are told that their contract was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_once_one_wins() {
    let fixture = with_contract("race").await;
    fixture.store.set_meeting(2);
    let first = changed_file("race-1", "rate = 2000", "rate = 2500");
    let second = changed_file("race-2", "rate = 2000", "rate = 3000");
    let apply = |file| ["contract", "apply", file, "--expect", "1"];
    let (first_apply, second_apply) = (apply(&first), apply(&second));
    let (first, second) = tokio::join!(
        on_node(&fixture, &first_apply),
        on_node(&fixture, &second_apply)
    );
    let mut codes = [first.code, second.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 5], "{first:?} {second:?}");
    assert_eq!(fixture.store.head().version, 2);
}

/// Guards against a change that is reported accepted or refused although its outcome is not known.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_ends_with_7() {
    let fixture = with_contract("unknown").await;
    let file = changed_file("unknown", "rate = 2000", "rate = 2500");
    let apply = ["contract", "apply", &file, "--expect", "1"];
    let closing = start_faulty(NodeFault::Close).await;
    let hanging = start_faulty(NodeFault::Hang).await;
    let closed = on_nodes(&[closing.address, fixture.address], &apply)
        .await
        .expect_code(7);
    let mut limited = apply.to_vec();
    limited.extend(["--timeout", "2s"]);
    let hung = on_nodes(&[hanging.address, fixture.address], &limited)
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
    let lost = on_node(&fixture, &apply).await.expect_code(7);
    assert!(
        lost.stderr
            .contains("look at the audit record of version 2"),
        "{lost:?}"
    );
    fixture.store.set_fault(StoreFault::None);
    on_node(&fixture, &apply).await.expect_code(0);
}

/// Guards against a command that gives up at the first node, or does not name the nodes it tried.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_node_is_tried_where_that_is_safe() {
    let fixture = with_contract("next").await;
    let cut_off = start_admin(MemoryStore::default()).await;
    cut_off.store.set_fault(StoreFault::Down);
    let file = changed_file("next", "rate = 2000", "rate = 2500");
    let apply = ["contract", "apply", &file, "--expect", "1"];
    let nodes = [closed_address(), cut_off.address, fixture.address];
    on_nodes(&nodes, &apply).await.expect_code(0);
    let hanging = start_faulty(NodeFault::Hang).await;
    let status = ["status", "--timeout", "10s"];
    on_nodes(&[hanging.address, fixture.address], &status)
        .await
        .expect_code(0);
    let refused = on_node(&cut_off, &apply).await.expect_code(1);
    assert!(
        refused.stderr.contains("Nothing was changed"),
        "{refused:?}"
    );
    let closed = closed_address();
    let unreachable = on_nodes(&[closed], &apply).await.expect_code(6);
    assert!(
        unreachable.stderr.contains(&closed.to_string()),
        "{unreachable:?}"
    );
    let timed_out = ["status", "--timeout", "200ms"];
    on_nodes(&[hanging.address], &timed_out)
        .await
        .expect_code(4);
}

/// Guards against a refusal that looks like another kind of failure.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_end_with_1() {
    let fixture = with_contract("refusals").await;
    let node = fixture.address.to_string();
    let stranger = ["status", "--node", &node];
    run_cli("not-a-known-token", &stranger).await.expect_code(1);
    on_node(&fixture, &["contract", "show", "magpie"])
        .await
        .expect_code(1);
    on_node(&fixture, &["version", "start", SERVICE, "v1"])
        .await
        .expect_code(1);
    on_node(&fixture, &["move", "cancel", SERVICE])
        .await
        .expect_code(1);
    on_node(&fixture, &["move", "wait", SERVICE])
        .await
        .expect_code(1);
    on_node(&fixture, &["version", "start", SERVICE, "v2"])
        .await
        .expect_code(0);
    on_node(&fixture, &["version", "start", SERVICE, "v3"])
        .await
        .expect_code(5);
}

async fn start_and_end(fixture: &AdminFixture, version: &str, phase: MovePhase, reason: &str) {
    on_node(fixture, &["version", "start", SERVICE, version])
        .await
        .expect_code(0);
    fixture.store.end_move(&yardboard(), phase, reason);
    fixture.apply_head();
}

/// Guards against a script that goes on after a move was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn move_wait_tells_how_and_why_a_move_ended() {
    let fixture = with_contract("wait").await;
    start_and_end(
        &fixture,
        "v2",
        MovePhase::TakenBack,
        "30 of 200 calls failed",
    )
    .await;
    let bad = on_node(&fixture, &["move", "wait", SERVICE])
        .await
        .expect_code(3);
    start_and_end(&fixture, "v3", MovePhase::Done, "no worse than v1 over 2m").await;
    let good = on_node(&fixture, &["move", "wait", SERVICE])
        .await
        .expect_code(0);
    let past = ["move", "wait", SERVICE, "--move-id", "2"];
    let past = on_node(&fixture, &past).await.expect_code(3);
    assert_eq!(
        bad.stdout,
        "move 2 of kestrel/yardboard: v2 was taken back: 30 of 200 calls failed\n"
    );
    assert!(
        good.stdout.contains("v3 has taken over: no worse than v1"),
        "{good:?}"
    );
    assert_eq!(past.stdout, bad.stdout);
}

/// Guards against a wait that ends with the result of an earlier move, because the node asked is behind.
#[tokio::test(flavor = "multi_thread")]
async fn move_wait_is_not_misled_by_a_node_that_is_behind() {
    let fixture = with_contract("behind").await;
    start_and_end(&fixture, "v2", MovePhase::Done, "no worse").await;
    on_node(&fixture, &["version", "start", SERVICE, "v3"])
        .await
        .expect_code(0);
    let wait = ["move", "wait", SERVICE, "--timeout", "3s"];
    let behind = on_node(&fixture, &wait).await.expect_code(4);
    assert!(
        behind
            .stderr
            .contains("move 4 of kestrel/yardboard had not ended"),
        "{behind:?}"
    );
    let address = fixture.address;
    let waiting =
        tokio::spawn(async move { on_nodes(&[address], &["move", "wait", SERVICE]).await });
    fixture
        .store
        .end_move(&yardboard(), MovePhase::TakenBack, "slow");
    fixture.apply_head();
    waiting.await.expect("the run ends").expect_code(3);
}

/// Guards against an explanation without the evidence, the author, the time or the contract line.
#[tokio::test(flavor = "multi_thread")]
async fn explain_names_evidence_author_time_and_line() {
    let fixture = with_contract("explain").await;
    start_and_end(
        &fixture,
        "v2",
        MovePhase::TakenBack,
        "30 of 200 calls failed",
    )
    .await;
    let explained = on_node(&fixture, &["explain", SERVICE])
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
        assert!(explained.contains(line), "no {line:?} in\n{explained}");
    }
    fixture.store.set_fault(StoreFault::Down);
    let offline = on_node(&fixture, &["explain", SERVICE])
        .await
        .expect_code(0)
        .stdout;
    assert!(offline.contains("the store cannot be read"), "{offline}");
    assert!(
        offline.contains("audit records are incomplete"),
        "{offline}"
    );
}

/// Guards against moves and versions that are listed with wrong shares.
#[tokio::test(flavor = "multi_thread")]
async fn versions_and_moves_are_listed() {
    let fixture = with_contract("list").await;
    on_node(&fixture, &["version", "start", SERVICE, "v2"])
        .await
        .expect_code(0);
    fixture.apply_head();
    let versions = on_node(&fixture, &["version", "list"])
        .await
        .expect_code(0)
        .stdout;
    let moves = on_node(&fixture, &["move", "list"])
        .await
        .expect_code(0)
        .stdout;
    let show = on_node(&fixture, &["move", "show", SERVICE])
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
    on_node(&fixture, &["move", "cancel", SERVICE, "--move-id", "2"])
        .await
        .expect_code(0);
    assert_eq!(yardboard_split(&fixture.store).stable, "v1");
}

/// Guards against a status that does not tell which node is behind.
#[tokio::test(flavor = "multi_thread")]
async fn status_tells_who_is_behind() {
    let fixture = with_contract("status").await;
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
    let status = on_node(&fixture, &["status"]).await.expect_code(0).stdout;
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
