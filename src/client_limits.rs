//! Limits of the connections of clients: what a connection is charged, and which one a full process closes first.
//!
//! Free of I/O and clocks; `mesh::client_connections` applies these decisions.

use {
    derive_more::Display,
    std::time::{Duration, Instant},
};

/// Identifier of a connection within its process.
pub type ConnectionId = u64;

/// Bytes charged for an open connection: the buffers that the HTTP server keeps between requests, and its task.
pub const CONNECTION_BYTES: usize = 48 * 1024;

/// Bytes charged in addition while a request is received: its head, the bytes read ahead, and a body that is too short
/// to be counted on its own.
pub const REQUEST_BYTES: usize = 96 * 1024;

/// Bytes charged in addition while requests behind the one in progress are read ahead.
pub const PIPELINE_BYTES: usize = 128 * 1024;

/// Request of this length or less gives up `REQUEST_BYTES` once it has been received.
pub const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Bytes that a client must send, or take of an answer, to count as progressing. A client that sends single bytes does
/// not.
pub const PROGRESS_BYTES: usize = 4 * 1024;

/// Time without progress before which no request is shed for others, so that requests that arrive are not cut.
pub const MIN_STALL: Duration = Duration::from_millis(250);

/// Head limit while the configuration sets none.
pub const DEFAULT_HEAD_BYTES: usize = 64 * 1024;

/// Bytes of a head allowed beyond the limit of the configuration, which may count the header lines without the request
/// line.
const HEAD_SLACK_BYTES: usize = 8 * 1024;

/// Longest time for an idle connection or a head while the configuration sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Factor of the configured time for a head; lost packets on the way to the node delay a client within its limit.
const HEAD_TIME_FACTOR: u32 = 2;

/// Descriptors of a process that are not available to sockets.
const FILE_FDS: usize = 200;

/// Clients may take this part of the descriptors for sockets; the rest serves other nodes, the target and the store.
const CLIENT_FD_DIVISOR: usize = 2;

/// Part of the memory of a process for the buffers of client connections. Bodies with their allocator, unread bytes in
/// the kernel, and the program with its tables take a part of the same size each.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// Part of the memory of a process for bytes of clients that the kernel has received and the process has not read.
const KERNEL_MEMORY_DIVISOR: usize = 4;

/// Receive buffer of a client connection in the kernel, in bytes. Without it, the kernel lets one grow to megabytes.
pub const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ConnectionPhase {
    /// No request has begun.
    #[display("idle")]
    Idle,
    /// The head of a request is being received.
    #[display("head")]
    Head,
    /// The body of a request is being received.
    #[display("body")]
    Body,
    /// A request has been received and is being handled.
    #[display("running")]
    Running,
    /// An answer is being sent: the socket has not taken all of its bytes.
    #[display("answering")]
    Answering,
    /// The socket has taken a whole answer, and the server has not asked for the next request. The connection counts as
    /// idle: a server that has asked before does not ask again until bytes come.
    #[display("answered")]
    Answered,
}

impl ConnectionPhase {
    /// Returns whether the client has sent the head of a request and has not taken its whole answer.
    pub fn owes_answer(self) -> bool {
        matches!(self, Self::Body | Self::Running | Self::Answering)
    }

    /// Returns whether no request has begun since the last answer.
    pub fn is_idle(self) -> bool {
        matches!(self, Self::Idle | Self::Answered)
    }

    /// Returns whether a connection in this phase may be closed for a reason: no answer to a complete request is owed,
    /// or its client has not taken it in time.
    pub fn allows(self, reason: ShedReason) -> bool {
        match self {
            Self::Running => false,
            Self::Answering => reason == ShedReason::SlowAnswer,
            Self::Idle | Self::Head | Self::Body | Self::Answered => true,
        }
    }
}

/// How a connection ended; label of the metric.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ConnectionEnd {
    /// After its last answer, which was sent as a whole.
    #[display("served")]
    Served,
    /// The node closed it between two answers, and dropped bytes that the client had sent by then.
    #[display("unread")]
    Unread,
    /// The client closed its side.
    #[display("client-left")]
    ClientLeft,
    /// An error of the connection, such as a reset while an answer was sent.
    #[display("broken")]
    Broken,
    /// The node closed it, see `ShedReason`.
    #[display("shed")]
    Shed,
    /// Its task was dropped, because the process exits or because of a panic.
    #[display("dropped")]
    Dropped,
}

/// State of one connection as far as it decides which one is closed.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionView {
    /// Identifier of the connection.
    pub id: ConnectionId,
    /// What the connection is doing.
    pub phase: ConnectionPhase,
    /// Beginning of the phase.
    pub begun: Instant,
    /// Time of the last `PROGRESS_BYTES`; the beginning of the phase if there were none.
    pub progressed: Instant,
    /// Bytes received of the request.
    pub received: usize,
}

/// Reason for which a connection is closed; label of the metric.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ShedReason {
    /// The process has too many connections, or too many bytes in their buffers.
    #[display("connections")]
    Connections,
    /// A new connection found no room, and no other could be closed for it.
    #[display("not-admitted")]
    NotAdmitted,
    /// The bodies that the process holds leave no room for another one.
    #[display("body-memory")]
    BodyMemory,
    /// The head of a request was not complete in time.
    #[display("slow-head")]
    SlowHead,
    /// No request began in time.
    #[display("idle")]
    Idle,
    /// The client did not take its answer in time.
    #[display("slow-answer")]
    SlowAnswer,
}

/// Bounds of all connections of clients together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Open connections.
    pub connections: usize,
    /// Bytes charged for their buffers.
    pub buffer_bytes: usize,
}

/// Bounds of one connection of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionBounds {
    /// Longest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest time for a head from its first byte.
    pub head_time: Duration,
    /// Longest time without a request, or without progress of an answer.
    pub idle_time: Duration,
}

impl ClientLimits {
    /// Returns the limits of a process with this memory in bytes and this number of descriptors.
    pub fn of_process(memory_bytes: usize, descriptors: usize) -> Self {
        let by_descriptors = descriptors.saturating_sub(FILE_FDS) / CLIENT_FD_DIVISOR;
        let by_memory = memory_bytes / KERNEL_MEMORY_DIVISOR / RECEIVE_BUFFER_BYTES;
        Self {
            connections: by_descriptors.min(by_memory).max(1),
            buffer_bytes: memory_bytes / BUFFER_MEMORY_DIVISOR,
        }
    }
}

impl Default for ConnectionBounds {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            head_time: DEFAULT_TIMEOUT,
            idle_time: DEFAULT_TIMEOUT,
        }
    }
}

impl ConnectionBounds {
    /// Returns the bounds that follow from the limits of the configuration.
    pub fn configured(head_bytes: usize, head_time: Duration, idle_time: Duration) -> Self {
        Self {
            head_bytes: head_bytes.saturating_add(HEAD_SLACK_BYTES),
            head_time: head_time.saturating_mul(HEAD_TIME_FACTOR),
            idle_time,
        }
    }
}

/// Returns the connection to close for room of any kind: the one idle for longest, else the slowest request.
pub fn first_to_shed(
    views: impl Iterator<Item = ConnectionView> + Clone,
    now: Instant,
) -> Option<ConnectionId> {
    let idle = views
        .clone()
        .filter(|view| view.phase.is_idle())
        .min_by_key(|view| view.begun);
    let idle = idle.map(|view| view.id);
    idle.or_else(|| slowest_request(views, now, 0))
}

/// Returns the connection that has made no progress for longest, among those that receive a request and of which more
/// than `least_received` bytes are held; none if all have made progress in `MIN_STALL`.
///
/// A connection on which an answer is owed to a complete request is never returned: the request may have run, and a
/// full link or a busy processor of the node can delay its answer as well as the client can.
pub fn slowest_request(
    views: impl Iterator<Item = ConnectionView>,
    now: Instant,
    least_received: usize,
) -> Option<ConnectionId> {
    let slowest = views
        .filter(|view| match view.phase {
            ConnectionPhase::Head | ConnectionPhase::Body => view.received >= least_received,
            ConnectionPhase::Idle
            | ConnectionPhase::Running
            | ConnectionPhase::Answering
            | ConnectionPhase::Answered => false,
        })
        .filter(|view| now.saturating_duration_since(view.progressed) >= MIN_STALL)
        .min_by_key(|view| view.progressed);
    slowest.map(|view| view.id)
}

/// Returns why a connection is over its time; none if it is not.
pub fn overdue(
    view: &ConnectionView,
    now: Instant,
    bounds: &ConnectionBounds,
) -> Option<ShedReason> {
    let (since, limit, reason) = match view.phase {
        ConnectionPhase::Idle | ConnectionPhase::Answered => {
            (view.begun, bounds.idle_time, ShedReason::Idle)
        }
        ConnectionPhase::Head => (view.begun, bounds.head_time, ShedReason::SlowHead),
        ConnectionPhase::Answering => (view.progressed, bounds.idle_time, ShedReason::SlowAnswer),
        // A body has the deadline of its call, and so has a request in progress.
        ConnectionPhase::Body | ConnectionPhase::Running => return None,
    };
    (now.saturating_duration_since(since) >= limit).then_some(reason)
}
