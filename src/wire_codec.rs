//! Encoding and decoding of gossip datagrams and of frames on TCP connections between nodes.
//!
//! An invalid frame ends its connection and an invalid datagram is dropped; neither affects anything else.

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

/// Bytes of the length field that precedes each frame.
const LENGTH_FIELD_BYTES: usize = 4;

/// Why a datagram is dropped or a packet cannot be sent.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PacketError {
    /// The datagram exceeds `MAX_PACKET_BYTES`.
    #[error("datagram is {bytes} bytes long, at most {MAX_PACKET_BYTES} are allowed")]
    TooLong {
        /// Length of the datagram.
        bytes: usize,
    },
    /// The datagram is not an encoded `GossipPacket`.
    #[error("datagram cannot be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The sender uses another version of the protocol.
    #[error("datagram has protocol version {found}, expected {PROTOCOL_VERSION}")]
    WrongProtocol {
        /// Protocol version of the sender.
        found: u32,
    },
    /// The datagram has no `GossipKind` that this node supports.
    #[error("datagram has no packet kind that this node supports")]
    UnknownKind,
    /// The datagram does not name its sender.
    #[error("datagram does not name its sender")]
    NoSender,
    /// A field of an event has an invalid value.
    #[error("event about node {node:?}: invalid value {found:?} in field {field}")]
    InvalidEvent {
        /// Node that the event is about.
        node: String,
        /// Name of the field.
        field: &'static str,
        /// The invalid value.
        found: String,
    },
}

/// Encodes a packet as a datagram; fails if it exceeds `MAX_PACKET_BYTES`.
pub fn encode_packet(packet: &GossipPacket) -> Result<Vec<u8>, PacketError> {
    let encoded = packet.encode_to_vec();
    if encoded.len() > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong {
            bytes: encoded.len(),
        });
    }
    Ok(encoded)
}

/// Decodes and validates a datagram.
///
/// Events without a body are of a kind that only later minor versions know; they are removed.
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

/// Step of an exchange with a peer, as named in errors.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SyncStep {
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Handshake: exchange of `Hello`.
    #[display("greet")]
    Handshake,
    /// Sending a frame.
    #[display("send")]
    Send,
    /// Receiving a frame.
    #[display("receive")]
    Receive,
    /// Processing the response: decoding it, checking it and applying its content.
    #[display("process response")]
    ProcessResponse,
}

/// Why a connection with a peer failed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// Input or output on the socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection.
    #[error("connection closed by the peer")]
    Closed,
    /// Connecting, sending or receiving took longer than this time limit.
    #[error("timed out after {0:?}")]
    TimedOut(Duration),
    /// A frame exceeds `MAX_FRAME_BYTES`.
    #[error("frame is longer than {MAX_FRAME_BYTES} bytes")]
    TooLong,
    /// A frame is not an encoded `SyncFrame`.
    #[error("frame cannot be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A frame has no `SyncBody` that this node supports.
    #[error("frame has no content that this node supports")]
    UnknownKind,
    /// The peer uses another version of the protocol.
    #[error("peer uses protocol version {found}, expected {PROTOCOL_VERSION}")]
    WrongProtocol {
        /// Protocol version of the sender.
        found: u32,
    },
    /// A frame of a kind that is not allowed at this point of the exchange.
    #[error("received frame {found}, expected {expected}")]
    Unexpected {
        /// Kind of the frame received.
        found: &'static str,
        /// Kinds that are allowed, as text.
        expected: &'static str,
    },
}

/// Failed step of an exchange with a peer.
#[derive(Debug, Error)]
#[error("exchange with peer {peer} failed at \"{step}\": {cause}")]
pub struct ConnectionError {
    /// The step that failed.
    pub step: SyncStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Why it failed.
    #[source]
    pub cause: FrameError,
}

/// Encodes the content of one frame, without the length field; fails if it exceeds `MAX_FRAME_BYTES`.
pub fn encode_frame(body: SyncBody) -> Result<Bytes, FrameError> {
    let frame = SyncFrame { body: Some(body) };
    let encoded = frame.encode_to_vec();
    if encoded.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    Ok(encoded.into())
}

/// Decodes the content of one frame, without the length field.
pub fn decode_frame(encoded: &[u8]) -> Result<SyncBody, FrameError> {
    let frame = SyncFrame::decode(encoded)?;
    frame.body.ok_or(FrameError::UnknownKind)
}

/// Returns the name of a frame's kind for error messages.
pub fn frame_kind_name(body: &SyncBody) -> &'static str {
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

/// Connection that carries length-prefixed frames and counts the bytes in both directions.
#[derive(Debug)]
pub struct FrameStream<S> {
    framed: Framed<S, LengthDelimitedCodec>,
    peer: SocketAddr,
    io_timeout: Duration,
    /// Bytes received, with length fields.
    pub bytes_in: u64,
    /// Bytes sent, with length fields.
    pub bytes_out: u64,
}

impl<S: AsyncRead + AsyncWrite + Unpin> FrameStream<S> {
    /// Wraps a connection; each send and each receive times out after `io_timeout`.
    pub fn new(stream: S, peer: SocketAddr, io_timeout: Duration) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_FIELD_BYTES)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            framed: Framed::new(stream, codec),
            peer,
            io_timeout,
            bytes_in: 0,
            bytes_out: 0,
        }
    }

    /// Performs the handshake as `node` and returns the name of the peer.
    pub async fn handshake(&mut self, node: &str) -> Result<String, ConnectionError> {
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            node: node.to_owned(),
        };
        self.send(SyncBody::Hello(hello)).await?;
        let answer = self.receive().await?;
        check_hello(answer).map_err(|cause| self.error(SyncStep::Handshake, cause))
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

    /// Returns the error for a received frame of a kind that is not allowed at this point.
    pub fn unexpected(&self, found: &SyncBody, expected: &'static str) -> ConnectionError {
        let cause = FrameError::Unexpected {
            found: frame_kind_name(found),
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
        let sent = timeout(self.io_timeout, self.framed.send(encoded)).await;
        sent.map_err(|_| FrameError::TimedOut(self.io_timeout))?
            .map_err(frame_error)
    }

    async fn try_receive(&mut self) -> Result<SyncBody, FrameError> {
        let received = timeout(self.io_timeout, self.framed.next()).await;
        let next = received.map_err(|_| FrameError::TimedOut(self.io_timeout))?;
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
            found: frame_kind_name(&other),
            expected: "Hello",
        }),
    }
}

fn frame_error(error: io::Error) -> FrameError {
    let is_too_long = error
        .get_ref()
        .is_some_and(|inner| inner.is::<LengthDelimitedCodecError>());
    if is_too_long {
        return FrameError::TooLong;
    }
    FrameError::Io(error)
}
