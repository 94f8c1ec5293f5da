//! Tests of the request header of a hop, which nodes of the commit before must understand.

use {
    http::{HeaderMap, HeaderValue},
    poplarwing::{
        config::ServiceKey,
        mesh::{
            admission::{ColdLoad, TargetLoad},
            hop::{HOP_METADATA_HEADER, HopMetadata, set_load, take_load},
        },
    },
    std::time::Duration,
};

/// Header in the form with field names, as earlier nodes send it.
const NAMED_FIELDS: &str = r#"{"service":{"customer":"platform","service":"ledger"},"version":"v1","route":"r-7",
"rank":2,"caller":"yardboard","left":{"secs":2,"nanos":490000000},"due":{"secs":0,"nanos":400000000},
"finish_within":{"secs":0,"nanos":260000000}}"#;

fn metadata() -> HopMetadata {
    HopMetadata {
        service: ServiceKey {
            customer: "platform".to_owned(),
            service: "ledger".to_owned(),
        },
        version: "v1".to_owned(),
        route: "r-7".to_owned(),
        rank: 2,
        caller: "yardboard".to_owned(),
        left: Duration::from_millis(2490),
        due: Duration::from_millis(400),
        finish_within: Duration::from_millis(260),
        account: None,
        account_rank: None,
    }
}

fn parsed(value: HeaderValue) -> Option<HopMetadata> {
    let mut headers = HeaderMap::new();
    headers.insert(HOP_METADATA_HEADER, value);
    HopMetadata::parse(&headers)
}

/// A node must not refuse the calls of a node of the commit before.
#[test]
fn the_form_with_field_names_is_understood() {
    let text = NAMED_FIELDS.replace('\n', "");

    assert_eq!(parsed(text.parse().expect("value")), Some(metadata()));
}

/// The header must lose nothing, with the parser that earlier nodes have as well, and stay short: it is sent between
/// failure domains with every spilled call.
#[test]
fn the_form_without_field_names_is_understood_and_short() {
    let value = metadata().header_value().expect("valid names");

    assert!(value.len() <= NAMED_FIELDS.len() / 2, "{value:?}");
    assert_eq!(parsed(value), Some(metadata()));
}

/// A header with a missing or a superfluous field must be refused, not completed.
#[test]
fn a_form_of_another_length_is_refused() {
    let value = metadata().header_value().expect("valid names");
    let text = value.to_str().expect("text");
    let longer = text.replace("[2,490000000]", "[2,490000000],1");
    let shorter = text.replace("[2,490000000],", "");

    assert_eq!(parsed(longer.parse().expect("value")), None);
    assert_eq!(parsed(shorter.parse().expect("value")), None);
}

/// A call with a client account must not lose it on the way to the target's node.
#[test]
fn the_account_of_a_call_is_kept() {
    let call = HopMetadata {
        account: Some("school".to_owned()),
        account_rank: Some(1),
        ..metadata()
    };

    let value = call.header_value().expect("valid names");

    assert_eq!(parsed(value), Some(call));
}

/// What a node tells of a slow and cold target must not be mixed up, and neither must be seen where it is not told.
#[test]
fn the_speed_and_the_limit_of_a_cold_target_are_kept() {
    let warm = TargetLoad {
        running: 3,
        waiting: 1,
        slots: 6,
        service_time: Duration::from_millis(120),
        route_time: Duration::from_millis(90),
        ..TargetLoad::default()
    };
    let slow = TargetLoad {
        relative_time: Some(2.04),
        ..warm
    };
    let cold = TargetLoad {
        cold: Some(ColdLoad {
            left: Duration::from_millis(1700),
            interval: Duration::from_millis(77),
            room_in: Duration::from_millis(12),
        }),
        ..slow
    };

    for load in [warm, slow, cold] {
        let mut headers = HeaderMap::new();
        set_load(&mut headers, &load);
        assert_eq!(take_load(&mut headers), Some(load));
    }
}
