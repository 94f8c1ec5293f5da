//! Open connections of clients: their charges, progress and closing.
//!
//! Lock order: the table of connections, then the state of one connection. Neither is held across an await.

use {
    crate::{
        client_limits::{
            CONNECTION_BYTES, ClientLimits, ConnectionBounds, ConnectionEnd, ConnectionId,
            ConnectionPhase, ConnectionView, PIPELINE_BYTES, PROGRESS_BYTES, REQUEST_BYTES,
            SMALL_REQUEST_BYTES, ShedReason, first_to_shed, overdue, slowest_request,
        },
        config::IntakeLimits,
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        mem,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// Open connections of clients; clones share them.
#[derive(Clone, Debug)]
pub struct ClientConnections {
    shared: Arc<SharedTable>,
}

#[derive(Debug)]
struct SharedTable {
    limits: ClientLimits,
    /// Bytes charged; never above `limits.buffer_bytes`. A connection that is being closed is no longer charged,
    /// although its task may not have ended yet.
    charged: AtomicUsize,
    table: Mutex<ConnectionTable>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    open: HashMap<ConnectionId, Arc<OpenConnection>>,
    last_id: ConnectionId,
    bounds: ConnectionBounds,
    sheds: HashMap<ShedReason, u64>,
    ends: HashMap<EndOfConnection, u64>,
}

/// How a connection ended and what it was doing then.
pub type EndOfConnection = (ConnectionEnd, ConnectionPhase);

#[derive(Debug)]
struct OpenConnection {
    id: ConnectionId,
    shed: CancellationToken,
    state: Mutex<ConnectionState>,
}

#[derive(Debug)]
struct ConnectionState {
    phase: ConnectionPhase,
    begun: Instant,
    progressed: Instant,
    received: usize,
    /// Bytes since `progressed`, fewer than `PROGRESS_BYTES`.
    since_progress: usize,
    /// Parts of `SharedTable::charged`.
    charges: ConnectionCharges,
    /// Whether the server has bytes for the client that the socket has not taken, or will have some of an answer.
    has_unsent: bool,
    /// Time at which the socket took the last byte of the last answer.
    answered: Option<Instant>,
    /// Whether the server has asked for the next request and found no bytes.
    awaits_request: bool,
    /// Whether the connection is being closed; it is charged nothing more.
    closing: bool,
    /// How the connection ended, and its phase then; none while its task runs.
    ended: Option<EndOfConnection>,
}

#[derive(Debug, Default)]
struct ConnectionCharges {
    connection: usize,
    request: usize,
    pipeline: usize,
}

impl ConnectionCharges {
    fn total(&self) -> usize {
        self.connection + self.request + self.pipeline
    }
}

impl ConnectionState {
    fn enter(&mut self, phase: ConnectionPhase, now: Instant) {
        self.phase = phase;
        self.begun = now;
        self.progressed = now;
        self.since_progress = 0;
    }

    /// Ends the phase of an answer that the socket has taken; the connection is idle if the server awaits a request.
    fn settle_answer(&mut self, now: Instant) {
        match self.phase {
            ConnectionPhase::Answering | ConnectionPhase::Answered if self.has_unsent => {}
            ConnectionPhase::Answering | ConnectionPhase::Answered if self.awaits_request => {
                self.enter(ConnectionPhase::Idle, now);
            }
            ConnectionPhase::Answering => self.enter(ConnectionPhase::Answered, now),
            _ => {}
        }
    }

    fn progress(&mut self, length: usize, now: Instant) {
        self.since_progress += length;
        if self.since_progress >= PROGRESS_BYTES {
            self.since_progress = 0;
            self.progressed = now;
        }
    }
}

impl OpenConnection {
    fn view(&self) -> ConnectionView {
        let state = self.state.lock();
        ConnectionView {
            id: self.id,
            // A connection that is being closed must not be chosen again.
            phase: match state.closing {
                true => ConnectionPhase::Running,
                false => state.phase,
            },
            begun: state.begun,
            progressed: state.progressed,
            received: state.received,
        }
    }
}

impl SharedTable {
    fn charge(&self, more: usize) -> bool {
        let limit = self.limits.buffer_bytes;
        let grow = |charged: usize| charged.checked_add(more).filter(|total| *total <= limit);
        self.charged
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .is_ok()
    }

    fn discharge(&self, less: usize) {
        self.charged.fetch_sub(less, Ordering::Relaxed);
    }

    /// Closes a connection and returns its charges, unless an answer is owed on it by now.
    fn shed(&self, table: &mut ConnectionTable, id: ConnectionId, reason: ShedReason) {
        let Some(connection) = table.open.get(&id) else {
            return;
        };
        let charges = {
            let mut state = connection.state.lock();
            if state.closing || !state.phase.allows(reason) {
                return;
            }
            state.closing = true;
            mem::take(&mut state.charges)
        };
        connection.shed.cancel();
        self.discharge(charges.total());
        *table.sheds.entry(reason).or_default() += 1;
    }

    /// Closes connections until `more` bytes can be charged; returns false if none is left to close.
    fn charge_by_shedding(&self, more: usize) -> bool {
        while !self.charge(more) {
            let mut table = self.table.lock();
            let views = table.open.values().map(|connection| connection.view());
            let Some(id) = first_to_shed(views, Instant::now()) else {
                return false;
            };
            self.shed(&mut table, id, ShedReason::Connections);
        }
        true
    }
}

impl ClientConnections {
    /// Returns a table without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            shared: Arc::new(SharedTable {
                limits,
                charged: AtomicUsize::default(),
                table: Mutex::default(),
            }),
        }
    }

    /// Admits a new connection, and closes others for it if there is no room; none if no other may be closed.
    pub fn open(&self) -> Option<ClientConnection> {
        let connection = self.admit();
        if connection.is_none() {
            let mut table = self.shared.table.lock();
            *table.sheds.entry(ShedReason::NotAdmitted).or_default() += 1;
        }
        connection
    }

    fn admit(&self) -> Option<ClientConnection> {
        let shared = &self.shared;
        if !shared.charge_by_shedding(CONNECTION_BYTES) {
            return None;
        }
        let now = Instant::now();
        let mut table = shared.table.lock();
        // Connections that are being closed still hold their descriptors, so at most one in eight is closed at a time.
        if table.open.len() >= shared.limits.connections {
            let views = table.open.values().map(|connection| connection.view());
            let victim = first_to_shed(views, now);
            let most = shared.limits.connections + shared.limits.connections / 8;
            match victim.filter(|_| table.open.len() < most) {
                Some(id) => shared.shed(&mut table, id, ShedReason::Connections),
                None => {
                    shared.discharge(CONNECTION_BYTES);
                    return None;
                }
            }
        }
        table.last_id += 1;
        let connection = Arc::new(OpenConnection {
            id: table.last_id,
            shed: CancellationToken::new(),
            state: Mutex::new(ConnectionState {
                phase: ConnectionPhase::Idle,
                begun: now,
                progressed: now,
                received: 0,
                since_progress: 0,
                charges: ConnectionCharges {
                    connection: CONNECTION_BYTES,
                    ..ConnectionCharges::default()
                },
                has_unsent: false,
                answered: None,
                awaits_request: false,
                closing: false,
                ended: None,
            }),
        });
        table.open.insert(connection.id, connection.clone());
        let head_bytes = table.bounds.head_bytes;
        Some(ClientConnection {
            handle: Arc::new(ConnectionHandle {
                shared: shared.clone(),
                connection,
                head_bytes,
            }),
        })
    }

    /// Applies the limits of the configuration to all connections; those on heads hold for new connections.
    pub fn set_intake(&self, intake: Option<&IntakeLimits>) {
        self.shared.table.lock().bounds = intake.map_or_else(ConnectionBounds::default, |limits| {
            ConnectionBounds::configured(
                limits.header_bytes as usize,
                limits.header_timeout,
                limits.idle_timeout,
            )
        });
    }

    /// Closes the connections that are over their time.
    pub fn close_overdue(&self, now: Instant) {
        let mut table = self.shared.table.lock();
        let overdue: Vec<_> = table
            .open
            .values()
            .filter_map(|connection| {
                let view = connection.view();
                Some((view.id, overdue(&view, now, &table.bounds)?))
            })
            .collect();
        for (id, reason) in overdue {
            self.shared.shed(&mut table, id, reason);
        }
    }

    /// Closes the slowest request of which more than `least_received` bytes are held, so that their memory becomes
    /// free; returns false if there is none.
    pub fn shed_slowest_body(&self, least_received: usize) -> bool {
        let mut table = self.shared.table.lock();
        let views = table.open.values().map(|connection| connection.view());
        let slowest = slowest_request(views, Instant::now(), least_received);
        if let Some(id) = slowest {
            self.shared.shed(&mut table, id, ShedReason::BodyMemory);
        }
        slowest.is_some()
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.shared.table.lock().open.len()
    }

    /// Returns the bytes charged for buffers.
    pub fn charged_bytes(&self) -> usize {
        self.shared.charged.load(Ordering::Relaxed)
    }

    /// Returns how many connections ended since the last call, by how they did and what they were doing.
    pub fn take_ends(&self) -> HashMap<EndOfConnection, u64> {
        mem::take(&mut self.shared.table.lock().ends)
    }

    /// Returns the number of open connections of which clients are owed an answer.
    pub fn unanswered_count(&self) -> usize {
        let table = self.shared.table.lock();
        let phases = table
            .open
            .values()
            .map(|connection| connection.state.lock().phase);
        phases.filter(|phase| phase.owes_answer()).count()
    }

    /// Returns how many connections were closed since the last call, by reason.
    pub fn take_sheds(&self) -> HashMap<ShedReason, u64> {
        mem::take(&mut self.shared.table.lock().sheds)
    }
}

/// A connection of a client in the table; it leaves the table when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct ClientConnection {
    handle: Arc<ConnectionHandle>,
}

#[derive(Debug)]
struct ConnectionHandle {
    shared: Arc<SharedTable>,
    connection: Arc<OpenConnection>,
    head_bytes: usize,
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        let (charges, end) = {
            let mut state = self.connection.state.lock();
            let dropped = (ConnectionEnd::Dropped, state.phase);
            (
                mem::take(&mut state.charges),
                state.ended.unwrap_or(dropped),
            )
        };
        {
            let mut table = self.shared.table.lock();
            table.open.remove(&self.connection.id);
            *table.ends.entry(end).or_default() += 1;
        }
        self.shared.discharge(charges.total());
    }
}

impl ClientConnection {
    /// Returns the longest head that the connection accepts, in bytes.
    pub fn head_bytes(&self) -> usize {
        self.handle.head_bytes
    }

    /// Returns whether the configuration now allows longer heads than the connection accepts.
    pub fn is_outdated(&self) -> bool {
        self.handle.shared.table.lock().bounds.head_bytes > self.handle.head_bytes
    }

    /// Returns whether the connection is being closed for others, or because it is over its time.
    pub fn is_closing(&self) -> bool {
        self.handle.connection.state.lock().closing
    }

    /// Returns whether the socket took the last byte of an answer in this time, so that it may still be on its way.
    pub fn has_answered(&self, time: Duration) -> bool {
        let answered = self.handle.connection.state.lock().answered;
        answered.is_some_and(|answered| answered.elapsed() < time)
    }

    /// Waits until the connection is to be closed for others, or because it is over its time.
    pub async fn shed(&self) {
        self.handle.connection.shed.cancelled().await;
    }

    /// Records how the connection ended, once its task stops serving it.
    pub fn end(&self, end: ConnectionEnd) {
        let mut state = self.handle.connection.state.lock();
        let ended = (end, state.phase);
        state.ended.get_or_insert(ended);
    }

    /// Returns whether a request is being handled, so that its caller gets an answer before the connection closes.
    pub fn has_request(&self) -> bool {
        let state = self.handle.connection.state.lock();
        matches!(
            state.phase,
            ConnectionPhase::Body | ConnectionPhase::Running
        )
    }

    /// Records bytes that were received from the client.
    pub fn receive(&self, content: &[u8]) {
        let now = Instant::now();
        let begins = {
            let mut state = self.handle.connection.state.lock();
            match state.phase {
                ConnectionPhase::Idle => is_request_start(content),
                ConnectionPhase::Head | ConnectionPhase::Body => {
                    state.received += content.len();
                    state.progress(content.len(), now);
                    false
                }
                _ => false,
            }
        };
        if begins {
            self.begin_request(content.len(), now);
        }
    }

    /// Records that the server takes bytes that were read ahead; they may begin the next request.
    pub fn take_ahead(&self, length: usize) {
        let phase = {
            let mut state = self.handle.connection.state.lock();
            state.awaits_request = false;
            state.phase
        };
        // Before that, the socket has not taken the whole answer to the request before.
        if phase == ConnectionPhase::Answered {
            self.begin_request(length, Instant::now());
        }
    }

    fn begin_request(&self, length: usize, now: Instant) {
        {
            let mut state = self.handle.connection.state.lock();
            state.enter(ConnectionPhase::Head, now);
            state.received = length;
        }
        // After the change of phase, so that the connection is not closed for itself as an idle one.
        self.charge_request();
    }

    /// Charges the buffers of a request, and closes others for them; closes this connection if none may be closed.
    fn charge_request(&self) {
        let ConnectionHandle {
            shared, connection, ..
        } = &*self.handle;
        {
            let state = connection.state.lock();
            if state.closing || state.charges.request > 0 {
                return;
            }
        }
        if !shared.charge_by_shedding(REQUEST_BYTES) {
            shared.shed(
                &mut shared.table.lock(),
                connection.id,
                ShedReason::Connections,
            );
            return;
        }
        let mut state = connection.state.lock();
        match state.closing {
            true => shared.discharge(REQUEST_BYTES),
            false => state.charges.request = REQUEST_BYTES,
        }
    }

    /// Records that the server waits for bytes and has none.
    pub fn await_request(&self) {
        let mut state = self.handle.connection.state.lock();
        state.awaits_request = true;
        state.settle_answer(Instant::now());
    }

    /// Charges the buffer for requests behind the one in progress; returns false if there is no room for it.
    pub fn charge_pipeline(&self) -> bool {
        let ConnectionHandle {
            shared, connection, ..
        } = &*self.handle;
        let mut state = connection.state.lock();
        let receiving = matches!(state.phase, ConnectionPhase::Head | ConnectionPhase::Body);
        if state.closing || receiving {
            return false;
        }
        if state.charges.pipeline == 0 && shared.charge(PIPELINE_BYTES) {
            state.charges.pipeline = PIPELINE_BYTES;
        }
        state.charges.pipeline > 0
    }

    /// Returns the charge of the buffer for further requests, which is empty.
    pub fn release_pipeline(&self) {
        let pipeline = {
            let mut state = self.handle.connection.state.lock();
            mem::take(&mut state.charges.pipeline)
        };
        self.handle.shared.discharge(pipeline);
    }

    /// Records that the head of a request is complete and its body begins.
    pub fn begin_body(&self) {
        let now = Instant::now();
        self.handle
            .connection
            .state
            .lock()
            .enter(ConnectionPhase::Body, now);
        self.charge_request();
    }

    /// Records that a request is complete and begins to run; returns false if the connection is being closed, so that
    /// the request must not run.
    pub fn begin_run(&self) -> bool {
        let request = {
            let mut state = self.handle.connection.state.lock();
            if state.closing {
                return false;
            }
            state.enter(ConnectionPhase::Running, Instant::now());
            match state.received <= SMALL_REQUEST_BYTES {
                true => mem::take(&mut state.charges.request),
                false => 0,
            }
        };
        self.handle.shared.discharge(request);
        true
    }

    /// Records that the answer to a request is ready to be sent.
    pub fn begin_answer(&self) {
        let request = {
            let mut state = self.handle.connection.state.lock();
            state.enter(ConnectionPhase::Answering, Instant::now());
            state.has_unsent = true;
            state.awaits_request = false;
            state.received = 0;
            mem::take(&mut state.charges.request)
        };
        self.handle.shared.discharge(request);
    }

    /// Records that the socket has taken all bytes that the server had for the client.
    ///
    /// The server does not ask for bytes again after this, so that an answer ends here if it has asked before.
    pub fn record_flush(&self) {
        let now = Instant::now();
        let mut state = self.handle.connection.state.lock();
        if state.phase == ConnectionPhase::Answering {
            state.answered = Some(now);
        }
        state.has_unsent = false;
        state.settle_answer(now);
    }

    /// Records that the client took `length` bytes of an answer, or none since its side is full.
    pub fn record_write(&self, length: Option<usize>) {
        let mut state = self.handle.connection.state.lock();
        state.has_unsent = true;
        state.progress(length.unwrap_or_default(), Instant::now());
    }
}

/// Returns whether bytes begin a request; empty lines before one do not.
fn is_request_start(content: &[u8]) -> bool {
    content.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
}
