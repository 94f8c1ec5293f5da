//! Messages between nodes: gossip datagrams over UDP and synchronisation frames over TCP.
//!
//! Fields are only added; a change of a field's meaning raises `PROTOCOL_VERSION`.
//!
//! A move is the rollout of another version of a service; its candidate is that version.

/// Version of the protocol between nodes; packets and connections of another version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// Largest gossip packet in bytes; below the payload of an Ethernet frame, so that it is not fragmented.
pub const MAX_PACKET_BYTES: usize = 1200;

/// Largest frame on a TCP connection between nodes, in bytes, without the length field.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Content of one UDP datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipPacket {
    /// Must equal `PROTOCOL_VERSION`.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Node that sent the packet.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// Number of a ping or ping request, repeated in its `Ack`; 0 in a push.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Configuration version that the sender has applied.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Events about nodes and vetoes that the packet carries along.
    #[prost(message, repeated, tag = "5")]
    pub events: Vec<GossipEvent>,
    /// Purpose of the packet; a packet without one is rejected.
    #[prost(oneof = "GossipKind", tags = "6, 7, 8, 9, 11, 12")]
    pub kind: Option<GossipKind>,
    /// How current the sender's copy of the platform store is; absent if the sender has none.
    #[prost(message, optional, tag = "10")]
    pub store_view: Option<StoreView>,
}

/// How current a node's copy of the platform store is.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StoreView {
    /// Time of the store's clock, in milliseconds, up to which the sender has seen every change that the operator made.
    #[prost(uint64, tag = "1")]
    pub clock_ms: u64,
    /// Sum of the revisions of the moves that the sender has, both as ordered by the operator and as last recorded in
    /// the store, and of the digest of its drains (`domain_drain::DomainDrains::digest`); grows with each new revision.
    #[prost(uint64, tag = "2")]
    pub moves_digest: u64,
    /// Time in milliseconds that has passed since `clock_ms` when the packet is sent; 0 from a sender that does not
    /// report it.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Purpose of a gossip packet.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum GossipKind {
    /// Requests an `Ack` from the receiver.
    #[prost(message, tag = "6")]
    Ping(Ping),
    /// Confirms that a pinged node is alive.
    #[prost(message, tag = "7")]
    Ack(Ack),
    /// Requests that the receiver ping another node and return its `Ack`.
    #[prost(message, tag = "8")]
    PingRequest(PingRequest),
    /// Announces a configuration version and events; expects no `Ack`.
    #[prost(message, tag = "9")]
    Push(Push),
    /// Requests tokens of usage caps, and delegates the sender's share of them.
    #[prost(message, tag = "11")]
    CapAsk(CapAsk),
    /// Response to `CapAsk`.
    #[prost(message, tag = "12")]
    CapAnswer(CapAnswer),
}

/// Requests an `Ack` from the receiver.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ping {}

/// Confirms that a pinged node is alive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    /// Node confirmed as alive: the sender, or the node pinged because of a `PingRequest`.
    #[prost(string, tag = "1")]
    pub alive: String,
}

/// Requests that the receiver ping another node and return its `Ack`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingRequest {
    /// Node to ping.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its peer address.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Announces a configuration version and events; expects no `Ack`.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Push {}

/// Requests tokens of the usage caps of one slot from its keeper, and delegates the sender's share of them.
///
/// The number of the packet grows with each such message of a node; a delegation replaces one with a lower number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CapAsk {
    /// Slot of the accounts.
    #[prost(uint32, tag = "1")]
    pub slot: u32,
    /// Number of nodes among which the sender divides the caps; it delegates one part of as many.
    #[prost(uint32, tag = "2")]
    pub nodes: u32,
    /// Identifier of the keeper's clock that `ends_ms` refers to; a delegation to another one is ignored.
    #[prost(fixed64, tag = "3")]
    pub clock_id: u64,
    /// Time of the keeper's clock in milliseconds at which the delegation ends; 0 without a delegation.
    #[prost(uint64, tag = "4")]
    pub ends_ms: u64,
    /// Whether the sender asks for its share back.
    #[prost(bool, tag = "5")]
    pub release: bool,
    /// Requested tokens.
    #[prost(message, repeated, tag = "6")]
    pub needs: Vec<TokenNeed>,
}

/// Request for tokens of one account.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TokenNeed {
    /// Digest of the account's name, `accounts::cap_terms::account_digest`.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Tokens wanted.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// Response to `CapAsk` with the same packet number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CapAnswer {
    /// Slot of the accounts.
    #[prost(uint32, tag = "1")]
    pub slot: u32,
    /// Identifier of the sender's clock; a restarted process has another one.
    #[prost(fixed64, tag = "2")]
    pub clock_id: u64,
    /// Time of the sender's clock in milliseconds.
    #[prost(uint64, tag = "3")]
    pub clock_ms: u64,
    /// Number of nodes that the sender counts itself, without what its peers have reported.
    #[prost(uint32, tag = "4")]
    pub nodes: u32,
    /// Whether the requested release has taken effect.
    #[prost(bool, tag = "5")]
    pub released: bool,
    /// Whether the sender holds any share of the caps of the slot.
    #[prost(bool, tag = "6")]
    pub holds_share: bool,
    /// Granted tokens, for each requested account.
    #[prost(message, repeated, tag = "7")]
    pub grants: Vec<TokenGrant>,
}

/// Tokens granted for one account.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TokenGrant {
    /// Digest of the account's name.
    #[prost(fixed64, tag = "1")]
    pub account: u64,
    /// Tokens granted.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Time in milliseconds until a further token is there; 0 if all were granted.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// Event that nodes gossip.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipEvent {
    /// Content of the event; absent if its kind is from a later version.
    #[prost(oneof = "EventBody", tags = "1, 2")]
    pub body: Option<EventBody>,
}

/// Content of an event.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EventBody {
    /// State of a node, or of its target, changed.
    #[prost(message, tag = "1")]
    Member(MemberEvent),
    /// A candidate version must receive no calls.
    #[prost(message, tag = "2")]
    Veto(VetoEvent),
}

/// Record of one node, or a claim about it.
///
/// A claim states only that the node is suspect, dead or left; its other fields after `state` are empty, except
/// `applied_version`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberEvent {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Number that grows with each start of the node and each claim that it refutes.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number that grows with each change of the node's record within one incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// State code: 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Failure domain of the node.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Address of the node for gossip and synchronisation; empty in a claim.
    #[prost(string, tag = "6")]
    pub peer_address: String,
    /// Address of the node for calls forwarded by other nodes.
    #[prost(string, tag = "7")]
    pub forward_address: String,
    /// Target that runs beside the node, if one has registered.
    #[prost(message, optional, tag = "8")]
    pub target: Option<TargetAnnouncement>,
    /// Highest configuration version that the node has reported as applied.
    #[prost(uint64, tag = "9")]
    pub applied_version: u64,
}

/// Data that a target reported when it registered with its node, and its measured demand.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetAnnouncement {
    /// Customer that owns the service.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Service that the target serves.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Version that the target runs.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Calls that the target can process concurrently.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Connections that the target accepts concurrently.
    #[prost(uint32, tag = "5")]
    pub connections: u32,
    /// Whether the target has requested to receive no new calls.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Recent rate of calls that arrived at the target's node, per second; 0 if not yet measured.
    #[prost(uint32, tag = "7")]
    pub demand: u32,
    /// Start of the target that has said that it leaves; absent while the target stays.
    #[prost(message, optional, tag = "8")]
    pub left: Option<TargetStartBody>,
}

/// One start of a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetStartBody {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Time of the start in milliseconds since the Unix epoch; absent if the target does not give it.
    #[prost(uint64, optional, tag = "2")]
    pub born_ms: Option<u64>,
}

/// Veto: the candidate version of a move must receive no calls.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VetoEvent {
    /// Customer that owns the service.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Service whose move the veto stops.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Identifier of the move; a veto replaces one against a move with a lower identifier.
    #[prost(uint64, tag = "3")]
    pub move_id: u64,
    /// Node that issued the veto.
    #[prost(string, tag = "4")]
    pub issuer: String,
    /// Why the issuer rejected the candidate, as text for the operator.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// One frame of a TCP connection between nodes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncFrame {
    /// Content of the frame; absent if its kind is from a later version.
    #[prost(oneof = "SyncBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<SyncBody>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum SyncBody {
    /// Handshake; the first frame in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Requests the configuration that the receiver has applied.
    #[prost(message, tag = "2")]
    ConfigPull(ConfigPull),
    /// Response to `ConfigPull` with the changes since the requester's version.
    #[prost(message, tag = "3")]
    ConfigDelta(ConfigDeltaBody),
    /// Response to `ConfigPull` with the whole configuration.
    #[prost(message, tag = "4")]
    ConfigFull(ConfigFullBody),
    /// Response to `ConfigPull` or `JoinAsk` if the peer is overloaded or has nothing newer.
    #[prost(message, tag = "5")]
    ConfigBusy(ConfigBusy),
    /// Requests, at start, the members and the state that the receiver has of the requester.
    #[prost(message, tag = "6")]
    JoinAsk(JoinAsk),
    /// Response to `JoinAsk`.
    #[prost(message, tag = "7")]
    JoinReply(JoinReply),
    /// Requests the outcome counters of a service that rollouts are judged by.
    #[prost(message, tag = "8")]
    EvidenceAsk(EvidenceAsk),
    /// Response to `EvidenceAsk`.
    #[prost(message, tag = "9")]
    EvidenceReply(EvidenceReply),
    /// Requests the moves that the receiver has.
    #[prost(message, tag = "10")]
    MovesAsk(MovesAsk),
    /// Response to `MovesAsk`.
    #[prost(message, tag = "11")]
    MovesReply(MovesReply),
}

/// Handshake; the first frame in each direction.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Must equal `PROTOCOL_VERSION`.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Name of the node that sent the frame.
    #[prost(string, tag = "2")]
    pub node: String,
}

/// Requests the configuration that the receiver has applied.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigPull {
    /// Version that the requester has applied; 0 means none, or that the whole configuration is requested.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
    /// Whether the requester supports compressed content (`PackedContent`).
    #[prost(bool, tag = "2")]
    pub reads_packed: bool,
}

/// LZ4-compressed content.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PackedContent {
    /// The content as an LZ4 block.
    #[prost(bytes = "vec", tag = "1")]
    pub block: Vec<u8>,
    /// Length of the decompressed content in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
}

/// Change from one configuration to a later one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDeltaBody {
    /// `config::ConfigDelta` as JSON; empty if `packed` is set.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Compressed form of `json`, for a requester that set `reads_packed`.
    #[prost(message, optional, tag = "2")]
    pub packed: Option<PackedContent>,
}

/// A whole configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigFullBody {
    /// `config::ConfigSnapshot` as JSON; empty if `packed` is set.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Content hash of the snapshot.
    #[prost(string, tag = "2")]
    pub hash: String,
    /// Compressed form of `json`, for a requester that set `reads_packed`.
    #[prost(message, optional, tag = "3")]
    pub packed: Option<PackedContent>,
}

/// The peer is serving too many requests at the moment, or has no newer configuration.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ConfigBusy {
    /// Delay after which the requester may retry, in milliseconds; 0 if there is nothing newer.
    #[prost(uint32, tag = "1")]
    pub retry_after_ms: u32,
    /// Configuration version that the responding node has applied.
    #[prost(uint64, tag = "2")]
    pub have_version: u64,
}

/// Requests, at start, the members and the state that the receiver has of the requester.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JoinAsk {
    /// The requester's own record.
    #[prost(message, optional, tag = "1")]
    pub record: Option<MemberEvent>,
}

/// Response to `JoinAsk`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JoinReply {
    /// Configuration version that the responding node has applied.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Floor that the responding node remembers of the requester: the highest configuration version that the requester
    /// is known to have applied, 0 if none is known. The requester must not apply an older one after a restart.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Highest known incarnation of the requester; 0 if it is unknown.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Members that the responding node lists as alive or suspect.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<MemberEvent>,
    /// Whether the responding node knows its own floor and has applied a configuration at or above it.
    #[prost(bool, tag = "5")]
    pub ready: bool,
    /// Target of the requester that has said that it leaves, as last announced by the requester. After a restart the
    /// requester must not use it again.
    #[prost(message, optional, tag = "6")]
    pub left_target: Option<TargetAnnouncement>,
}

/// Requests the outcome counters of a service that rollouts are judged by.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvidenceAsk {
    /// Customer that owns the service.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// Requests the moves that the receiver has.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MovesAsk {}

/// Response to `MovesAsk`: all moves and drains of failure domains that the responding node has.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MovesReply {
    /// `mesh::move_table::MoveSnapshot` as JSON.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Array of `domain_drain::DomainDrain` as JSON; empty if the node knows of none. Nodes that know no drains refuse
    /// unknown fields of `json`, so these have a field of their own.
    #[prost(bytes = "vec", tag = "2")]
    pub drains_json: Vec<u8>,
}

/// Response to `EvidenceAsk`: outcome counters of the responding node's own target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvidenceReply {
    /// Process epoch of the node (`GossipNode::process_epoch`, not the incarnation of its record); the counters
    /// restart at zero when it changes.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Counters by version and route.
    #[prost(message, repeated, tag = "2")]
    pub counters: Vec<EvidenceCounter>,
}

/// Counters of one version on one route since the node started.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvidenceCounter {
    /// Version that was called.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Route that was called.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Calls forwarded to the target.
    #[prost(uint64, tag = "3")]
    pub calls: u64,
    /// Calls that failed: server errors, resets, missed deadlines.
    #[prost(uint64, tag = "4")]
    pub failures: u64,
    /// Calls by latency bucket; see `call_evidence::bucket_bound` for the bounds.
    #[prost(uint64, repeated, tag = "5")]
    pub latency_buckets: Vec<u64>,
}
