//! Validation of gossip datagrams and of frames between nodes.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;

use {
    fixed_seeds::for_each_seed,
    poplarwing::{
        wire::{
            EventBody, GossipEvent, GossipKind, GossipPacket, MAX_FRAME_BYTES, MAX_PACKET_BYTES,
            MemberEvent, PROTOCOL_VERSION, Ping, SyncBody,
        },
        wire_codec::{
            FrameError, FrameStream, PacketError, decode_frame, decode_packet, encode_frame,
            encode_packet,
        },
    },
    prost::Message,
    std::time::Duration,
    tokio::io::{AsyncWriteExt, duplex},
};

const IO_TIMEOUT: Duration = Duration::from_secs(30);

fn packet(events: Vec<GossipEvent>) -> GossipPacket {
    GossipPacket {
        protocol: PROTOCOL_VERSION,
        sender: "a".to_owned(),
        number: 1,
        config_version: 2,
        events,
        kind: Some(GossipKind::Ping(Ping {})),
        store_view: None,
    }
}

fn member_event(state: u32, address: &str) -> GossipEvent {
    GossipEvent {
        body: Some(EventBody::Member(MemberEvent {
            node: "b".to_owned(),
            state,
            peer_address: address.to_owned(),
            forward_address: address.to_owned(),
            ..MemberEvent::default()
        })),
    }
}

/// Guards against accepting a datagram with another protocol version, no kind or sender, an invalid event or length.
#[test]
fn invalid_datagrams_are_rejected_with_specific_errors() {
    let mut other_protocol = packet(Vec::new());
    other_protocol.protocol = PROTOCOL_VERSION + 1;
    let mut no_kind = packet(Vec::new());
    no_kind.kind = None;
    let mut no_sender = packet(Vec::new());
    no_sender.sender.clear();
    let bad_state = packet(vec![member_event(9, "10.0.0.1:7000")]);
    let bad_address = packet(vec![member_event(0, "nowhere")]);

    let decode = |packet: &GossipPacket| decode_packet(&packet.encode_to_vec());

    let found = PROTOCOL_VERSION + 1;
    assert_eq!(
        decode(&other_protocol),
        Err(PacketError::WrongProtocol { found })
    );
    assert_eq!(decode(&no_kind), Err(PacketError::UnknownKind));
    assert_eq!(decode(&no_sender), Err(PacketError::NoSender));
    assert!(matches!(
        decode(&bad_state),
        Err(PacketError::InvalidEvent { field: "state", .. })
    ));
    assert!(matches!(
        decode(&bad_address),
        Err(PacketError::InvalidEvent {
            field: "peer_address",
            ..
        })
    ));
    assert!(matches!(
        decode_packet(&[0xff; 40]),
        Err(PacketError::Malformed(_))
    ));
    let bytes = MAX_PACKET_BYTES + 1;
    assert_eq!(
        decode_packet(&vec![0; bytes]),
        Err(PacketError::TooLong { bytes })
    );
}

/// Guards against rejecting a whole packet of a later minor version because of one event of an unknown kind.
#[test]
fn an_event_of_an_unknown_kind_is_skipped() {
    let known = member_event(2, "");
    let sent = packet(vec![GossipEvent { body: None }, known.clone()]);

    let received = decode_packet(&sent.encode_to_vec()).expect("the other event is valid");

    assert_eq!(received.events, vec![known]);
}

/// Guards against sending a packet above `MAX_PACKET_BYTES`.
#[test]
fn a_packet_above_the_size_limit_is_not_encoded() {
    let events = vec![member_event(0, "10.0.0.1:7000"); 100];

    assert!(matches!(
        encode_packet(&packet(events)),
        Err(PacketError::TooLong { .. })
    ));
}

/// Guards against a panic on arbitrary bytes, or accepting a packet without its checks.
#[test]
fn arbitrary_bytes_decode_or_fail() {
    for_each_seed(20_000, |bytes: Vec<u8>| {
        if let Ok(packet) = decode_packet(&bytes) {
            assert_eq!(packet.protocol, PROTOCOL_VERSION);
            assert!(packet.kind.is_some());
        }
        if let Ok(body) = decode_frame(&bytes) {
            assert!(encode_frame(body).is_ok());
        }
    });
}

/// Guards against a panic on a valid packet with one changed byte.
#[test]
fn damaged_packets_decode_or_fail() {
    let valid = packet(vec![member_event(0, "10.0.0.1:7000"), member_event(2, "")]).encode_to_vec();
    for_each_seed(20_000, |(position, value): (u16, u8)| {
        let mut damaged = valid.clone();
        let position = usize::from(position) % damaged.len();
        damaged[position] = value;
        if let Ok(packet) = decode_packet(&damaged) {
            assert!(packet.events.iter().all(|event| event.body.is_some()));
        }
    });
}

async fn receive_raw(raw: Vec<u8>) -> FrameError {
    let (mut peer, own) = duplex(1 << 16);
    let mut frames = FrameStream::new(own, "127.0.0.1:1".parse().expect("valid"), IO_TIMEOUT);
    peer.write_all(&raw).await.expect("the pipe is open");
    drop(peer);
    frames
        .receive()
        .await
        .expect_err("the frame is invalid")
        .cause
}

/// Guards against accepting an invalid, truncated or missing frame, and against reserving memory for a length field
/// above `MAX_FRAME_BYTES`.
#[tokio::test]
async fn invalid_frames_are_rejected_with_specific_errors() {
    let mut too_long = ((MAX_FRAME_BYTES + 1) as u32).to_be_bytes().to_vec();
    too_long.extend([0; 64]);
    let unknown = vec![0, 0, 0, 0];
    let malformed = vec![0, 0, 0, 3, 0xff, 0xff, 0xff];
    let truncated = vec![0, 0, 0, 9, 1];

    assert!(matches!(receive_raw(too_long).await, FrameError::TooLong));
    assert!(matches!(
        receive_raw(unknown).await,
        FrameError::UnknownKind
    ));
    assert!(matches!(
        receive_raw(malformed).await,
        FrameError::Malformed(_)
    ));
    assert!(matches!(receive_raw(truncated).await, FrameError::Io(_)));
    assert!(matches!(receive_raw(Vec::new()).await, FrameError::Closed));
}

/// Guards against continuing a connection with a node of another protocol version.
#[tokio::test]
async fn the_handshake_fails_on_another_protocol_version() {
    let (peer, own) = duplex(1 << 16);
    let address = "127.0.0.1:1".parse().expect("valid");
    let mut frames = FrameStream::new(own, address, IO_TIMEOUT);
    let mut other = FrameStream::new(peer, address, IO_TIMEOUT);
    let hello = SyncBody::Hello(poplarwing::wire::Hello {
        protocol: PROTOCOL_VERSION + 1,
        node: "b".to_owned(),
    });
    other.send(hello).await.expect("the pipe is open");

    let error = frames
        .handshake("a")
        .await
        .expect_err("the protocol version differs");

    assert!(
        matches!(error.cause, FrameError::WrongProtocol { .. }),
        "{error}"
    );
}
