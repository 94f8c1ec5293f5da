//! Commits to the configuration store by concurrent operators and during failures of the platform.

use {
    bolero::generator::bolero_generator::{TypeGenerator, produce},
    futures::future::join_all,
    poplarwing::{
        config::{ConfigError, ConfigSnapshot},
        config_store::{AuditRecord, CommitError, ConfigChange, ConfigStore, ContractWrite},
        platform_store::StoreError,
    },
    poplarwing_standins::platform::{FaultPlan, PlatformStandin},
    std::{collections::BTreeSet, sync::Arc},
    support::store::{
        any_port, cases, customer_change, eventually, outage, split_without_service,
        start_platform, store_of, write_faults,
    },
};

mod support {
    pub mod store;
}

/// Generated cases of `each_accepted_change_has_exactly_one_version`.
const CASES: u64 = 10;

/// Customers whose limits the operators of the generated cases change.
const CUSTOMERS: [&str; 3] = ["kestrel", "vanderhaegen", "other"];

fn contract_change(text: &str, expected_revision: u64) -> ConfigChange {
    let mut change = customer_change(Arc::default(), "kestrel", 10);
    change.changed.clear();
    change.summary = text.to_owned();
    change.contract = Some(ContractWrite {
        customer: "kestrel".to_owned(),
        text: text.to_owned(),
        expected_revision,
    });
    change
}

/// Returns the audit records of the rejected and of the accepted change of a conflict.
fn conflict_of(outcome: Result<ConfigSnapshot, CommitError>) -> (AuditRecord, AuditRecord) {
    match outcome {
        Err(CommitError::Conflict { yours, theirs }) => (*yours, *theirs),
        _ => panic!("expected a conflict, found {outcome:?}"),
    }
}

fn store_error_of(outcome: Result<ConfigSnapshot, CommitError>) -> StoreError {
    match outcome {
        Err(CommitError::Store(error)) => error,
        _ => panic!("expected a store error, found {outcome:?}"),
    }
}

/// Checks that the deltas of all audit records, applied in order, result in the snapshot of the head.
async fn check_records(config: &ConfigStore) -> Vec<AuditRecord> {
    let head = config.head().await.unwrap();
    let records = config.audit(1, u32::MAX).await.unwrap();
    let mut snapshot = ConfigSnapshot::default();
    for record in &records {
        snapshot = snapshot.with_delta(&record.delta).unwrap();
    }
    assert_eq!(snapshot, config.load(&head).await.unwrap());
    records
}

#[tokio::test]
async fn versions_and_audit_records_have_no_gaps() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));

    let first = customer_change(Arc::default(), "kestrel", 10);
    let first = Arc::new(config.commit(first).await.unwrap());
    let second = customer_change(Arc::clone(&first), "vanderhaegen", 20);
    let second = config.commit(second).await.unwrap();

    let head = config.head().await.unwrap();
    let records = config.audit(1, 10).await.unwrap();
    assert_eq!((first.version, second.version, head.version), (1, 2, 2));
    assert_eq!(config.load(&head).await.unwrap(), second);
    let versions: Vec<u64> = records.iter().map(|record| record.version).collect();
    assert_eq!(versions, [1, 2]);
    assert_eq!(first.with_delta(&records[1].delta).unwrap(), second);
}

/// Guards against additional store requests in each commit.
#[tokio::test]
async fn a_commit_costs_one_read_one_object_and_one_transaction() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));

    let change = customer_change(Arc::default(), "kestrel", 10);
    config.commit(change).await.unwrap();

    let counts = platform.counts();
    assert_eq!((counts.table_reads, counts.table_writes), (1, 1));
    assert_eq!((counts.object_reads, counts.object_writes), (0, 1));
}

/// Guards against overwriting the removal of a resource that took place after the base of the change.
#[tokio::test]
async fn a_change_of_a_removed_resource_conflicts_with_the_removal() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let change = customer_change(Arc::default(), "kestrel", 10);
    let base = Arc::new(config.commit(change).await.unwrap());
    let mut removal = customer_change(Arc::clone(&base), "kestrel", 20);
    removal.changed.clear();
    removal.removed = vec!["customer/kestrel".to_owned()];
    config.commit(removal).await.unwrap();
    config
        .commit(customer_change(Arc::clone(&base), "other", 1))
        .await
        .unwrap();

    let outcome = config.commit(customer_change(base, "kestrel", 30)).await;

    let (_, theirs) = conflict_of(outcome);
    assert_eq!(theirs.version, 2);
}

/// Guards against the second of two concurrent changes to a resource overwriting the first.
#[tokio::test]
async fn a_conflict_shows_both_changes() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let winner = customer_change(Arc::default(), "kestrel", 10);
    let loser = customer_change(Arc::default(), "kestrel", 30);

    config.commit(winner).await.unwrap();
    let outcome = config.commit(loser).await;

    let (yours, theirs) = conflict_of(outcome);
    assert_eq!(yours.summary, "rate of kestrel is 30");
    assert_eq!(theirs.summary, "rate of kestrel is 10");
    assert_eq!(config.head().await.unwrap().version, 1);
}

/// Guards against a commit whose response is lost being reported as failed, or executed twice.
#[tokio::test]
async fn a_lost_answer_leads_to_exactly_one_version() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    platform.set_faults(FaultPlan {
        lose_table_answers: 1,
        ..FaultPlan::default()
    });

    let change = customer_change(Arc::default(), "kestrel", 10);
    let accepted = config.commit(change).await.unwrap();

    assert_eq!(accepted.version, 1);
    assert_eq!(config.audit(1, 10).await.unwrap().len(), 1);
    assert_eq!(platform.faults().lose_table_answers, 0);
}

/// Guards against lost updates: of several concurrent changes to one resource, exactly one is accepted.
#[tokio::test]
async fn one_of_several_racing_operators_wins() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let changes = (1..=6).map(|rate| customer_change(Arc::default(), "kestrel", rate));

    let outcomes = join_all(changes.map(|change| config.commit(change))).await;

    let records = check_records(&config).await;
    assert_eq!(records.len(), 1);
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1);
    for outcome in outcomes.into_iter().filter(Result::is_err) {
        assert_eq!(conflict_of(outcome).1, records[0]);
    }
}

/// Guards against rejecting concurrent changes to different resources as conflicts.
#[tokio::test]
async fn changes_of_different_resources_are_rebased() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let names: Vec<String> = (0..6).map(|number| format!("customer-{number}")).collect();
    let changes = names
        .iter()
        .map(|name| customer_change(Arc::default(), name, 10));

    let outcomes = join_all(changes.map(|change| config.commit(change))).await;

    let versions: BTreeSet<u64> = outcomes
        .into_iter()
        .map(|outcome| outcome.unwrap().version)
        .collect();
    assert_eq!(versions, BTreeSet::from([1, 2, 3, 4, 5, 6]));
    check_records(&config).await;
}

/// Guards against overwriting a contract revision that the author of the new text had not read.
#[tokio::test]
async fn contracts_conflict_by_their_revision() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    config.commit(contract_change("first", 0)).await.unwrap();

    let conflicting = config.commit(contract_change("second", 0)).await;
    let empty = start_platform().await;
    let missing = ConfigStore::new(store_of(&empty))
        .commit(contract_change("third", 4))
        .await;

    let (yours, theirs) = conflict_of(conflicting);
    assert_eq!(
        (yours.summary.as_str(), theirs.summary.as_str()),
        ("second", "first")
    );
    let stored = config.contract("kestrel").await.unwrap().unwrap();
    assert_eq!(
        (stored.revision, stored.version, stored.text.as_str()),
        (1, 1, "first")
    );
    assert!(
        matches!(missing, Err(CommitError::NoContract { expected: 4, .. })),
        "{missing:?}"
    );
}

/// Guards against accepting a configuration that every node would reject as invalid.
#[tokio::test]
async fn an_invalid_configuration_is_not_accepted() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let mut change = customer_change(Arc::default(), "kestrel", 10);
    change.changed = vec![split_without_service()];

    let outcome = config.commit(change).await;

    let cause = ConfigError::MissingReference {
        resource: "split/kestrel/ledger".to_owned(),
        missing: "service/kestrel/ledger".to_owned(),
    };
    assert!(matches!(outcome, Err(CommitError::Invalid(found)) if found == cause));
    assert_eq!(platform.counts().object_writes, 0);
}

/// Guards against reporting an unknown outcome when the store fails before the transaction was sent.
#[tokio::test]
async fn nothing_is_accepted_while_the_store_is_down() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let change = customer_change(Arc::default(), "kestrel", 10);
    platform.set_faults(outage());

    let outcome = config.commit(change.clone()).await;

    let error = store_error_of(outcome);
    assert!(!error.may_have_taken_effect(), "{error}");
    platform.set_faults(FaultPlan::default());
    assert_eq!(config.commit(change).await.unwrap().version, 1);
}

/// Makes the platform fail right after the next table write, and returns a change to commit.
async fn prepare_commit_into_outage(
    platform: &PlatformStandin,
    config: &ConfigStore,
) -> ConfigChange {
    platform.set_faults(FaultPlan {
        down_after_table_write: true,
        ..FaultPlan::default()
    });
    assert_eq!(config.head().await.unwrap().version, 0);
    customer_change(Arc::default(), "kestrel", 10)
}

/// Guards against reporting a change as not accepted when the store fails right after the transaction.
#[tokio::test]
async fn an_outage_after_the_transaction_is_reported_as_an_unknown_outcome() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let change = prepare_commit_into_outage(&platform, &config).await;

    let outcome = config.commit(change).await;

    let error = store_error_of(outcome);
    assert!(error.may_have_taken_effect(), "{error}");
    platform.set_faults(FaultPlan::default());
    assert_eq!(check_records(&config).await.len(), 1);
}

/// Guards against a second version when the store fails right after the transaction and recovers while the
/// commit is still being retried.
#[tokio::test]
async fn a_commit_completes_with_one_version_when_the_outage_ends() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let change = prepare_commit_into_outage(&platform, &config).await;

    let recovery = async {
        eventually(async || platform.faults().down).await;
        platform.set_faults(FaultPlan::default());
    };
    let (outcome, ()) = tokio::join!(config.commit(change), recovery);

    assert_eq!(outcome.unwrap().version, 1);
    assert_eq!(check_records(&config).await.len(), 1);
}

/// Change by one of several operators, with the faults of the platform port that the operator uses.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct OperatorChange {
    /// Index into `CUSTOMERS`, modulo its length.
    customer: u8,
    /// Table writes that are executed without a response, modulo 3.
    lost_responses: u8,
    /// Table writes that are discarded, modulo 3.
    dropped_writes: u8,
}

/// Guards against lost, duplicated or incomplete versions when operators commit concurrently and
/// responses of the store are lost.
#[tokio::test]
async fn each_accepted_change_has_exactly_one_version() {
    let mut accepted = 0;
    let mut conflicts = 0;
    for rounds in cases(produce::<Vec<[OperatorChange; 3]>>(), CASES) {
        let platform = start_platform().await;
        let config = ConfigStore::new(store_of(&platform));
        let mut ports = Vec::new();
        for _ in 0..3 {
            ports.push(platform.open_port(any_port()).await.unwrap());
        }
        let operators: Vec<ConfigStore> = ports
            .iter()
            .map(|port| ConfigStore::new(store_of(port)))
            .collect();
        let mut expected = BTreeSet::new();
        for (number, round) in rounds.iter().take(4).enumerate() {
            let head = config.head().await.unwrap();
            let base = Arc::new(config.load(&head).await.unwrap());
            let outcomes = join_all(round.iter().enumerate().map(async |(operator, step)| {
                ports[operator].set_faults(write_faults(
                    u32::from(step.lost_responses % 3),
                    u32::from(step.dropped_writes % 3),
                ));
                let rate = 1 + 10 * number as u64 + operator as u64;
                let customer = CUSTOMERS[usize::from(step.customer % 3)];
                let change = customer_change(Arc::clone(&base), customer, rate);
                let summary = change.summary.clone();
                let outcome = operators[operator].commit(change).await;
                outcome.map(|snapshot| (snapshot.version, summary))
            }));
            for outcome in outcomes.await {
                match outcome {
                    Ok(found) => {
                        accepted += 1;
                        assert!(expected.insert(found), "{rounds:?}");
                    }
                    Err(CommitError::Conflict { .. }) => conflicts += 1,
                    Err(error) => panic!("{error}"),
                }
            }
        }
        let records = check_records(&config).await;
        let found: BTreeSet<(u64, String)> = records
            .into_iter()
            .map(|record| (record.version, record.summary))
            .collect();
        assert_eq!(found, expected, "{rounds:?}");
    }
    assert!(
        accepted > 0 && conflicts > 0,
        "{accepted} accepted, {conflicts} conflicts"
    );
}
