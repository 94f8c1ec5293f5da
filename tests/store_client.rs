//! The clients of the table service and the object store: results, and errors when the platform fails.

use {
    bytes::Bytes,
    poplarwing::platform_store::{
        ItemCondition, ItemKey, PlatformStore, StoreFault, TableItem, TableWrite, TransactOutcome,
    },
    poplarwing_standins::platform::FaultPlan,
    std::time::Duration,
    support::store::{
        any_port, delay, eventually, section_of, start_platform, store_of, write_faults,
    },
    tokio::net::TcpSocket,
};

mod support {
    pub mod store;
}

fn first_write(sk: &str, body: &str) -> TableWrite {
    let item = TableItem {
        key: ItemKey::new("test", sk),
        revision: 1,
        owner: "owner".to_owned(),
        body: body.to_owned(),
        expires_at: Some(7),
    };
    TableWrite::Put {
        item,
        expect: ItemCondition::Absent,
    }
}

#[tokio::test]
async fn items_and_objects_come_back_as_written() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let write = first_write("one", "{}");

    let outcome = store.write(write.clone()).await.unwrap();
    store
        .put_object("snapshot/x", Bytes::from_static(b"content"))
        .await
        .unwrap();

    assert_eq!(outcome, TransactOutcome::Applied);
    let read = store.get(write.key()).await.unwrap().unwrap();
    assert!(matches!(write, TableWrite::Put { item, .. } if item == read));
    let content = store.get_object("snapshot/x").await.unwrap();
    assert_eq!(content.as_deref(), Some(b"content".as_slice()));
    assert_eq!(store.get_object("snapshot/y").await.unwrap(), None);
}

/// Guards against a transaction that takes effect in part, and against a refusal without the stored item
/// that caused it.
#[tokio::test]
async fn a_refused_transaction_changes_nothing_and_shows_the_present_item() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    store.write(first_write("one", "first")).await.unwrap();

    let writes = vec![first_write("two", "new"), first_write("one", "second")];
    let outcome = store.transact(writes, "token").await.unwrap();

    let TransactOutcome::Refused(refused) = outcome else {
        panic!("expected the transaction to be refused");
    };
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].present.as_ref().unwrap().body, "first");
    assert_eq!(store.get(&ItemKey::new("test", "two")).await.unwrap(), None);
}

/// Guards against a list that ends at the page limit of the table service (1 MB).
#[tokio::test]
async fn a_list_spans_pages() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    let body = "x".repeat(300_000);
    for number in 0..8 {
        store
            .write(first_write(&format!("{number}"), &body))
            .await
            .unwrap();
    }

    let listed = store.list("test", "2", 5).await.unwrap();

    let keys: Vec<&str> = listed.iter().map(|item| item.key.sk.as_str()).collect();
    assert_eq!(keys, ["2", "3", "4", "5", "6"]);
}

/// Guards against a write that was never sent being treated as one that may have taken effect.
#[tokio::test]
async fn a_refused_connection_rules_out_an_effect() {
    // The socket reserves the port against other tests, but does not listen, so connections are refused.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(any_port()).unwrap();
    let endpoint = format!("http://{}", socket.local_addr().unwrap());
    let store = PlatformStore::connect(&section_of(endpoint.clone())).unwrap();

    let error = store.write(first_write("one", "{}")).await.unwrap_err();

    assert!(matches!(error.fault, StoreFault::Unreachable(_)), "{error}");
    assert!(!error.may_have_taken_effect());
    assert_eq!(error.endpoint, endpoint);
    let error = store.get_object("snapshot/x").await.unwrap_err();
    assert!(matches!(error.fault, StoreFault::Unreachable(_)), "{error}");
}

/// Guards against retrying a write whose response was lost and which may therefore have taken effect.
#[tokio::test]
async fn a_write_with_a_lost_response_is_reported_and_not_retried() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    platform.set_faults(write_faults(1, 0));

    let error = store.write(first_write("one", "{}")).await.unwrap_err();

    assert!(
        matches!(error.fault, StoreFault::ConnectionLost(_)),
        "{error}"
    );
    assert!(error.may_have_taken_effect());
    assert_eq!(platform.counts().table_writes, 1);
}

/// Guards against a timed-out write being reported as one without effect.
#[tokio::test]
async fn a_write_may_take_effect_after_its_time_limit() {
    let platform = start_platform().await;
    let mut section = section_of(platform.endpoint());
    section.request_timeout = Duration::from_millis(100);
    let short_timeout_store = PlatformStore::connect(&section).unwrap();
    platform.set_faults(delay(2_000));

    let error = short_timeout_store
        .write(first_write("one", "{}"))
        .await
        .unwrap_err();
    platform.set_faults(FaultPlan::default());

    assert!(matches!(error.fault, StoreFault::TimedOut(_)), "{error}");
    assert!(error.may_have_taken_effect());
    let store = store_of(&platform);
    let key = ItemKey::new("test", "one");
    eventually(async || store.get(&key).await.unwrap().is_some()).await;
}

/// Guards against a throttled write being reported as one that may have taken effect, which would cost a
/// read to find out.
#[tokio::test]
async fn throttled_requests_have_no_effect() {
    let platform = start_platform().await;
    let store = store_of(&platform);
    platform.set_faults(FaultPlan {
        throttled: true,
        ..FaultPlan::default()
    });

    let single = store.write(first_write("one", "{}")).await.unwrap_err();
    let writes = vec![first_write("one", "{}")];
    let transaction = store.transact(writes, "token").await.unwrap_err();
    let object = store.get_object("snapshot/x").await.unwrap_err();

    for error in [single, transaction, object] {
        assert_eq!(error.fault, StoreFault::Throttled, "{error}");
        assert!(!error.may_have_taken_effect());
    }
    assert_eq!(platform.counts().table_writes, 0);
}

/// Guards against an `https` endpoint being accepted although TLS is not supported yet.
#[tokio::test]
async fn an_https_endpoint_is_refused() {
    let section = section_of("https://127.0.0.1:1".to_owned());

    let error = PlatformStore::connect(&section).unwrap_err();

    assert!(matches!(error.fault, StoreFault::Invalid(_)), "{error}");
}
