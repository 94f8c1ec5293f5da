//! The domain reader: one node of each failure domain holds a lease and reads new configuration versions
//! from the store for all nodes of the domain.

use {
    poplarwing::{
        blackboard::Blackboard,
        config_store::ConfigStore,
        domain_reader::{DomainReader, READER_LEASE_TTL, READER_STEP_INTERVAL},
        membership::{MemberRecord, MemberState},
    },
    poplarwing_standins::platform::{FaultPlan, PlatformStandin},
    std::{sync::Arc, time::Instant},
    support::store::{any_port, customer_change, outage, settings_of, start_platform, store_of},
};

mod support {
    pub mod store;
}

fn reader_of(platform: &PlatformStandin, node: &str) -> DomainReader {
    DomainReader::new(&settings_of(platform, node), store_of(platform))
}

fn board() -> Blackboard {
    let board = Blackboard::default();
    board.gate.set_floor(0);
    board
}

fn member(node: &str) -> MemberRecord {
    MemberRecord {
        node: node.to_owned(),
        incarnation: 1,
        sequence: 1,
        state: MemberState::Alive,
        domain: "welshpool".to_owned(),
        peer_address: any_port(),
        forward_address: any_port(),
        target: None,
        applied_version: 0,
    }
}

/// Commits one version for each rate, each based on the newest version.
async fn commit(config: &ConfigStore, rates: impl IntoIterator<Item = u64>) {
    for rate in rates {
        let head = config.head().await.unwrap();
        let base = Arc::new(config.load(&head).await.unwrap());
        config
            .commit(customer_change(base, "kestrel", rate))
            .await
            .unwrap();
    }
}

/// Guards against reading a whole snapshot for each new version.
#[tokio::test]
async fn the_lease_holder_applies_newer_versions_from_deltas() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let mut reader = reader_of(&platform, "node-a");
    let (board, begin) = (board(), Instant::now());
    commit(&config, [1]).await;
    reader.step(&board, begin).await.unwrap();
    commit(&config, [2, 3]).await;
    let before = platform.counts().object_reads;

    reader
        .step(&board, begin + READER_STEP_INTERVAL)
        .await
        .unwrap();

    assert_eq!(board.gate.version(), 3);
    assert_eq!(platform.counts().object_reads, before);
    let head = config.head().await.unwrap();
    assert_eq!(*board.gate.current(), config.load(&head).await.unwrap());
}

/// Guards against several nodes of a domain reading the head at once, and against none doing so after
/// the lease holder has stopped and the store had an outage.
#[tokio::test]
async fn another_node_takes_over_reading_when_the_lease_holder_stops() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let (mut first, mut second) = (reader_of(&platform, "a"), reader_of(&platform, "b"));
    let (first_board, second_board) = (board(), board());
    let begin = Instant::now();
    commit(&config, [1]).await;
    first.step(&first_board, begin).await.unwrap();
    second.step(&second_board, begin).await.unwrap();
    assert_eq!(
        (first_board.gate.version(), second_board.gate.version()),
        (1, 0)
    );

    platform.set_faults(outage());
    second
        .step(&second_board, begin + READER_STEP_INTERVAL)
        .await
        .unwrap_err();
    platform.set_faults(FaultPlan::default());
    let mut waited = READER_STEP_INTERVAL;
    while second_board.gate.version() == 0 {
        waited += READER_STEP_INTERVAL;
        assert!(
            waited < 3 * READER_LEASE_TTL,
            "the second node did not take over reading within {waited:?}"
        );
        second.step(&second_board, begin + waited).await.unwrap();
    }

    assert!(
        waited > READER_LEASE_TTL,
        "the second node took over before the lease expired, after {waited:?}"
    );
}

/// Guards against every node of a large domain contending for the lease; three of 20 do.
#[tokio::test]
async fn three_nodes_of_a_domain_are_candidates() {
    let platform = start_platform().await;
    let nodes: Vec<String> = (0..20).map(|number| format!("node-{number}")).collect();
    let mut contenders = 0;
    for node in &nodes {
        let board = board();
        for other in &nodes {
            board.members.lock().merge(member(other));
        }
        let before = platform.counts().table_reads;
        let mut reader = reader_of(&platform, node);
        reader.step(&board, Instant::now()).await.unwrap();
        contenders += u32::from(platform.counts().table_reads > before);
    }
    assert_eq!(contenders, 3);
}

/// Guards against futures that are not `Send`; the node spawns its controllers as tasks.
#[tokio::test]
async fn commit_and_reader_futures_are_send() {
    let platform = start_platform().await;
    let config = ConfigStore::new(store_of(&platform));
    let mut reader = reader_of(&platform, "a");

    let steps = tokio::spawn(async move {
        commit(&config, [1]).await;
        let board = board();
        reader.step(&board, Instant::now()).await.unwrap();
        reader.stop().await.unwrap();
        board.gate.version()
    });

    assert_eq!(steps.await.unwrap(), 1);
}
