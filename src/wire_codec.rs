//! Frames of a connection between nodes, and datagrams of the gossip.
//!
//! A bad frame ends its connection and a bad datagram is dropped; neither touches anything else.

use {
    crate::{
        gossip::member_events::check_member,
        wire::{
            EventBody, GossipPacket, Hello, MAX_FRAME_BYTES, MAX_PACKET_BYTES, PROTOCOL_VERSION,
            SyncBody, SyncFrame,
        },
    },
    bytes::Bytes,
    derive_more::Display,
    futures::{SinkExt, StreamExt},
    prost::Message,
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{
        io::{AsyncRead, AsyncWrite},
        time::timeout,
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec, LengthDelimitedCodecError},
};

/// Bytes of the length in front of each frame.
const LENGTH_FIELD_BYTES: usize = 4;

/// A datagram that is dropped.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PacketError {
    /// The datagram is longer than any node sends.
    #[error("datagram of {bytes} bytes, allowed {MAX_PACKET_BYTES}")]
    TooLong {
        /// Length of the datagram.
        bytes: usize,
    },
    /// The datagram is not a `GossipPacket`.
    #[error("datagram cannot be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The sender speaks another version of the protocol.
    #[error("datagram of protocol {found}, expected {PROTOCOL_VERSION}")]
    WrongProtocol {
        /// Version found.
        found: u32,
    },
    /// The datagram has no kind that this node knows.
    #[error("datagram of unknown kind")]
    UnknownKind,
    /// The datagram does not name its sender.
    #[error("datagram without a sender")]
    NoSender,
    /// A field of an event has a value that is not allowed.
    #[error("event about node {node}: field {field} is {found}")]
    InvalidEvent {
        /// Node that the event is about.
        node: String,
        /// Name of the field.
        field: &'static str,
        /// Value found.
        found: String,
    },
}

/// Encodes a packet as a datagram.
pub fn encode_packet(packet: &GossipPacket) -> Result<Vec<u8>, PacketError> {
    let encoded = packet.encode_to_vec();
    if encoded.len() > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong {
            bytes: encoded.len(),
        });
    }
    Ok(encoded)
}

/// Decodes and checks a datagram.
///
/// Events without a body come from a later minor version and are removed.
pub fn decode_packet(datagram: &[u8]) -> Result<GossipPacket, PacketError> {
    if datagram.len() > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong {
            bytes: datagram.len(),
        });
    }
    let mut packet = GossipPacket::decode(datagram)?;
    if packet.protocol != PROTOCOL_VERSION {
        return Err(PacketError::WrongProtocol {
            found: packet.protocol,
        });
    }
    if packet.sender.is_empty() {
        return Err(PacketError::NoSender);
    }
    if packet.kind.is_none() {
        return Err(PacketError::UnknownKind);
    }
    packet.events.retain(|event| event.body.is_some());
    for event in &packet.events {
        if let Some(EventBody::Member(member)) = &event.body {
            check_member(member)?;
        }
    }
    Ok(packet)
}

/// Part of an exchange that failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SyncStep {
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Exchange of `Hello`.
    #[display("greet")]
    Greet,
    /// Sending a frame.
    #[display("send")]
    Send,
    /// Receiving a frame.
    #[display("receive")]
    Receive,
    /// Using what was received.
    #[display("use the answer")]
    UseAnswer,
}

/// Why a connection ends.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection.
    #[error("connection closed by the peer")]
    Closed,
    /// The peer was silent for too long.
    #[error("no progress for {0:?}")]
    Silent(Duration),
    /// A frame is longer than allowed.
    #[error("frame is longer than {MAX_FRAME_BYTES} bytes")]
    TooLong,
    /// A frame is not a `SyncFrame`.
    #[error("frame cannot be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A frame has no content that this node knows.
    #[error("frame of unknown kind")]
    UnknownKind,
    /// The peer speaks another version of the protocol.
    #[error("peer speaks protocol {found}, expected {PROTOCOL_VERSION}")]
    WrongProtocol {
        /// Version found.
        found: u32,
    },
    /// A frame of another kind was due.
    #[error("frame {found}, expected {expected}")]
    Unexpected {
        /// Kind of the frame received.
        found: &'static str,
        /// Kinds allowed at this point.
        expected: &'static str,
    },
}

/// A failed step of a connection with a peer.
#[derive(Debug, Error)]
#[error("{step} with {peer}: {cause}")]
pub struct ConnectionError {
    /// Step that failed.
    pub step: SyncStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Why it failed.
    #[source]
    pub cause: FrameError,
}

/// Encodes the content of one frame.
pub fn encode_frame(body: SyncBody) -> Result<Bytes, FrameError> {
    let frame = SyncFrame { body: Some(body) };
    let encoded = frame.encode_to_vec();
    if encoded.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    Ok(encoded.into())
}

/// Decodes the content of one frame.
pub fn decode_frame(encoded: &[u8]) -> Result<SyncBody, FrameError> {
    let frame = SyncFrame::decode(encoded)?;
    frame.body.ok_or(FrameError::UnknownKind)
}

/// Returns the name of a frame's kind for messages.
pub fn kind_of(body: &SyncBody) -> &'static str {
    match body {
        SyncBody::Hello(_) => "Hello",
        SyncBody::ConfigPull(_) => "ConfigPull",
        SyncBody::ConfigDelta(_) => "ConfigDelta",
        SyncBody::ConfigFull(_) => "ConfigFull",
        SyncBody::ConfigBusy(_) => "ConfigBusy",
        SyncBody::JoinAsk(_) => "JoinAsk",
        SyncBody::JoinReply(_) => "JoinReply",
        SyncBody::EvidenceAsk(_) => "EvidenceAsk",
        SyncBody::EvidenceReply(_) => "EvidenceReply",
        SyncBody::MovesAsk(_) => "MovesAsk",
        SyncBody::MovesReply(_) => "MovesReply",
    }
}

/// A connection that carries frames; counts the bytes of both directions.
#[derive(Debug)]
pub struct FrameStream<S> {
    framed: Framed<S, LengthDelimitedCodec>,
    peer: SocketAddr,
    patience: Duration,
    /// Bytes received, with length fields.
    pub bytes_in: u64,
    /// Bytes sent, with length fields.
    pub bytes_out: u64,
}

impl<S: AsyncRead + AsyncWrite + Unpin> FrameStream<S> {
    /// Wraps a connection; each send and receive may take at most `patience`.
    pub fn new(stream: S, peer: SocketAddr, patience: Duration) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_FIELD_BYTES)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            framed: Framed::new(stream, codec),
            peer,
            patience,
            bytes_in: 0,
            bytes_out: 0,
        }
    }

    /// Exchanges `Hello` and returns the name of the peer.
    pub async fn greet(&mut self, node: &str) -> Result<String, ConnectionError> {
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            node: node.to_owned(),
        };
        self.send(SyncBody::Hello(hello)).await?;
        let answer = self.receive().await?;
        check_hello(answer).map_err(|cause| self.error(SyncStep::Greet, cause))
    }

    /// Sends one frame.
    pub async fn send(&mut self, body: SyncBody) -> Result<(), ConnectionError> {
        let result = self.try_send(body).await;
        result.map_err(|cause| self.error(SyncStep::Send, cause))
    }

    /// Receives one frame.
    pub async fn receive(&mut self) -> Result<SyncBody, ConnectionError> {
        let result = self.try_receive().await;
        result.map_err(|cause| self.error(SyncStep::Receive, cause))
    }

    /// Returns the error of a frame that was not due.
    pub fn unexpected(&self, found: &SyncBody, expected: &'static str) -> ConnectionError {
        let cause = FrameError::Unexpected {
            found: kind_of(found),
            expected,
        };
        self.error(SyncStep::Receive, cause)
    }

    fn error(&self, step: SyncStep, cause: FrameError) -> ConnectionError {
        ConnectionError {
            step,
            peer: self.peer,
            cause,
        }
    }

    async fn try_send(&mut self, body: SyncBody) -> Result<(), FrameError> {
        let encoded = encode_frame(body)?;
        self.bytes_out += (encoded.len() + LENGTH_FIELD_BYTES) as u64;
        let sent = timeout(self.patience, self.framed.send(encoded)).await;
        sent.map_err(|_| FrameError::Silent(self.patience))?
            .map_err(frame_error)
    }

    async fn try_receive(&mut self) -> Result<SyncBody, FrameError> {
        let received = timeout(self.patience, self.framed.next()).await;
        let next = received.map_err(|_| FrameError::Silent(self.patience))?;
        let encoded = next.ok_or(FrameError::Closed)?.map_err(frame_error)?;
        self.bytes_in += (encoded.len() + LENGTH_FIELD_BYTES) as u64;
        decode_frame(&encoded)
    }
}

fn check_hello(body: SyncBody) -> Result<String, FrameError> {
    match body {
        SyncBody::Hello(hello) if hello.protocol == PROTOCOL_VERSION => Ok(hello.node),
        SyncBody::Hello(hello) => Err(FrameError::WrongProtocol {
            found: hello.protocol,
        }),
        other => Err(FrameError::Unexpected {
            found: kind_of(&other),
            expected: "Hello",
        }),
    }
}

fn frame_error(error: io::Error) -> FrameError {
    let too_long = error
        .get_ref()
        .is_some_and(|inner| inner.is::<LengthDelimitedCodecError>());
    if too_long {
        return FrameError::TooLong;
    }
    FrameError::Io(error)
}
