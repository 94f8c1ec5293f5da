//! Messages between nodes.
//!
//! Fields are only ever added; a change of meaning raises `PROTOCOL_VERSION`.

/// Version of the protocol between nodes; packets and frames of another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Largest gossip packet in bytes; stays below the payload of an Ethernet frame.
pub const MAX_PACKET_BYTES: usize = 1200;

/// Largest frame on a TCP connection in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// One UDP datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipPacket {
    /// Must equal `PROTOCOL_VERSION`.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Node that sent the packet.
    #[prost(string, tag = "2")]
    pub sender: String,
    /// Number that relates an answer to its question.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Configuration version that the sender has in force.
    #[prost(uint64, tag = "4")]
    pub config_version: u64,
    /// Events passed on.
    #[prost(message, repeated, tag = "5")]
    pub events: Vec<GossipEvent>,
    /// Purpose of the packet.
    #[prost(oneof = "GossipKind", tags = "6, 7, 8, 9")]
    pub kind: Option<GossipKind>,
    /// What the sender knows of the platform's store; nodes that do not read it leave it out.
    #[prost(message, optional, tag = "10")]
    pub store_view: Option<StoreView>,
}

/// How far a node knows what the platform's store holds.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StoreView {
    /// The store's clock, in milliseconds, up to which the sender has missed no change of the operator's table.
    #[prost(uint64, tag = "1")]
    pub clock_ms: u64,
    /// Grows with each order and each step of a move that the sender learns.
    #[prost(uint64, tag = "2")]
    pub moves_digest: u64,
}

/// Purpose of a gossip packet.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum GossipKind {
    /// Asks the receiver for an `Ack`.
    #[prost(message, tag = "6")]
    Ping(Ping),
    /// Answers a `Ping`.
    #[prost(message, tag = "7")]
    Ack(Ack),
    /// Asks the receiver to probe another node.
    #[prost(message, tag = "8")]
    PingRequest(PingRequest),
    /// Announces a configuration version and events; needs no answer.
    #[prost(message, tag = "9")]
    Push(Push),
}

/// Asks the receiver for an `Ack`.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ping {}

/// Answers a `Ping`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    /// Node whose life the answer proves: the sender, or the node probed on request.
    #[prost(string, tag = "1")]
    pub alive: String,
}

/// Asks the receiver to probe another node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingRequest {
    /// Node to probe.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its peer address.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Announces a configuration version and events; needs no answer.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Push {}

/// An event passed from node to node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipEvent {
    /// What happened.
    #[prost(oneof = "EventBody", tags = "1, 2")]
    pub body: Option<EventBody>,
}

/// What happened.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EventBody {
    /// A node changed.
    #[prost(message, tag = "1")]
    Member(MemberEvent),
    /// A candidate version is to receive no calls.
    #[prost(message, tag = "2")]
    Veto(VetoEvent),
}

/// State of one node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberEvent {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Counts the node's starts and refutations.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Counts the node's own changes within one incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// State: 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Failure domain.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Address for gossip and synchronisation.
    #[prost(string, tag = "6")]
    pub peer_address: String,
    /// Address for forwarded calls.
    #[prost(string, tag = "7")]
    pub forward_address: String,
    /// Target beside the node.
    #[prost(message, optional, tag = "8")]
    pub target: Option<TargetAnnouncement>,
    /// Configuration version that the node last reported in force.
    #[prost(uint64, tag = "9")]
    pub applied_version: u64,
}

/// What a target said about itself.
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
    /// Calls that the target can run at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Connections that the target accepts at once.
    #[prost(uint32, tag = "5")]
    pub connections: u32,
    /// Whether the target asked for no new work.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Calls per second that reached the target's node lately.
    #[prost(uint32, tag = "7")]
    pub demand: u32,
}

/// A candidate version is to receive no calls.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VetoEvent {
    /// Customer that owns the service.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Service whose move is stopped.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Identifier of the move.
    #[prost(uint64, tag = "3")]
    pub move_id: u64,
    /// Node that issued the veto.
    #[prost(string, tag = "4")]
    pub issuer: String,
    /// Why the candidate was found bad.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// One frame of a TCP connection between nodes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncFrame {
    /// Content of the frame.
    #[prost(oneof = "SyncBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<SyncBody>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum SyncBody {
    /// First frame in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Asks for the configuration in force.
    #[prost(message, tag = "2")]
    ConfigPull(ConfigPull),
    /// Answers with the change since the asker's version.
    #[prost(message, tag = "3")]
    ConfigDelta(ConfigDeltaBody),
    /// Answers with the whole configuration.
    #[prost(message, tag = "4")]
    ConfigFull(ConfigFullBody),
    /// Answers that the asker should come back later.
    #[prost(message, tag = "5")]
    ConfigBusy(ConfigBusy),
    /// Asks, at start, what the receiver knows.
    #[prost(message, tag = "6")]
    JoinAsk(JoinAsk),
    /// Answers a `JoinAsk`.
    #[prost(message, tag = "7")]
    JoinReply(JoinReply),
    /// Asks for the evidence counters of a service.
    #[prost(message, tag = "8")]
    EvidenceAsk(EvidenceAsk),
    /// Answers an `EvidenceAsk`.
    #[prost(message, tag = "9")]
    EvidenceReply(EvidenceReply),
    /// Asks for the moves that the receiver knows.
    #[prost(message, tag = "10")]
    MovesAsk(MovesAsk),
    /// Answers a `MovesAsk`.
    #[prost(message, tag = "11")]
    MovesReply(MovesReply),
}

/// First frame in each direction.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Must equal `PROTOCOL_VERSION`.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Node that sends the frame.
    #[prost(string, tag = "2")]
    pub node: String,
}

/// Asks for the configuration in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigPull {
    /// Version that the asker has; 0 means none.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
    /// Whether the asker reads packed content.
    #[prost(bool, tag = "2")]
    pub reads_packed: bool,
}

/// Compressed content.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PackedContent {
    /// The content as an LZ4 block.
    #[prost(bytes = "vec", tag = "1")]
    pub block: Vec<u8>,
    /// Length of the content in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
}

/// Change from one configuration to a later one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigDeltaBody {
    /// `config::ConfigDelta` as JSON; empty if it is packed.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// The same packed, for an asker that reads this.
    #[prost(message, optional, tag = "2")]
    pub packed: Option<PackedContent>,
}

/// A whole configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigFullBody {
    /// `config::ConfigSnapshot` as JSON; empty if it is packed.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Content hash of the snapshot.
    #[prost(string, tag = "2")]
    pub hash: String,
    /// The same as `json` packed, for an asker that reads this.
    #[prost(message, optional, tag = "3")]
    pub packed: Option<PackedContent>,
}

/// The receiver serves too many pulls at the moment, or has nothing newer.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ConfigBusy {
    /// Time after which the asker may try again, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub retry_after_ms: u32,
    /// Version that the receiver has in force.
    #[prost(uint64, tag = "2")]
    pub have_version: u64,
}

/// Asks, at start, what the receiver knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JoinAsk {
    /// The asker's own record.
    #[prost(message, optional, tag = "1")]
    pub record: Option<MemberEvent>,
}

/// Answers a `JoinAsk`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JoinReply {
    /// Version that the receiver has in force.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Highest version that the receiver knows the asker to have had in force.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Highest incarnation that the receiver knows of the asker.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Members that the receiver knows.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<MemberEvent>,
    /// Whether the receiver itself has a known floor and a configuration at or above it.
    #[prost(bool, tag = "5")]
    pub ready: bool,
}

/// Asks for the evidence counters of a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvidenceAsk {
    /// Customer that owns the service.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// Asks for the moves that the receiver knows.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MovesAsk {}

/// Moves that the receiver knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MovesReply {
    /// `mesh::move_board::KnownMoves` as JSON.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
}

/// Evidence counters of the receiver's own target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvidenceReply {
    /// Incarnation of the node; counters start at zero with each.
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
    /// Calls given to the target.
    #[prost(uint64, tag = "3")]
    pub calls: u64,
    /// Calls that failed: server errors, resets, missed deadlines.
    #[prost(uint64, tag = "4")]
    pub failures: u64,
    /// Calls by latency bucket; bounds are `call_evidence::bucket_bound`.
    #[prost(uint64, repeated, tag = "5")]
    pub latency_buckets: Vec<u64>,
}
