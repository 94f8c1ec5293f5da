//! Commits to the configuration store while operators race and the platform fails.

use {
    poplarwing::config_store::{CommitError, ConfigStore},
    poplarwing_standins::platform::FaultPlan,
    std::sync::Arc,
};

mod support {
    pub mod store;
}

use support::store::{customer_change, start_platform, store_of};

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

/// Guards against the second of two operators overwriting a change that it has not seen.
#[tokio::test]
async fn a_conflict_shows_both_changes() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let winner = customer_change(Arc::default(), "kestrel", 10);
    let loser = customer_change(Arc::default(), "kestrel", 30);

    config.commit(winner).await.unwrap();
    let outcome = config.commit(loser).await;

    let Err(CommitError::Conflict { yours, theirs }) = outcome else {
        panic!("expected a conflict, found {outcome:?}");
    };
    assert_eq!(yours.summary, "rate of kestrel is 30");
    assert_eq!(theirs.summary, "rate of kestrel is 10");
    assert_eq!(config.head().await.unwrap().version, 1);
}

/// Guards against a commit whose answer is lost being reported as failed, or made twice.
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
