//! Follows two tables of the store: that in which the operator writes configurations, move orders and drains, and that
//! of the progress of moves.

use {
    super::{
        context::MeshContext,
        drain_orders::apply_store_drains,
        move_driver::watcher_rank,
        port::{FeedPosition, MoveBatch, OrderBatch, PlatformPort, PortError},
        store_reader::{FOLLOWER_RETRY_PERIOD, ReadSchedule, check_delay, is_overdue, is_reader},
    },
    crate::apply_gate::{ApplyError, ConfigSource},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    tracing::{info, warn},
};

/// Time for which a request for records of moves waits for a change (long poll).
const MOVES_POLL_TIME: Duration = Duration::from_millis(2000);

/// Time between two checks whether this node has to follow the records of moves.
const MOVES_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// First and longest time to wait after a failed request; doubles with each failure in a row.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));

/// Time within which the record of a move usually arrives from a peer; a node that has none after it reads the store.
const RECORD_FROM_PEERS_TIME: Duration = Duration::from_millis(1500);

/// Time after its start for which a node reads records of moves at once: until it has them, it sends no calls to a
/// version that has taken over.
const START_TIME: Duration = Duration::from_secs(2);

/// Estimate of the store's monotonic clock, from its last answer.
#[derive(Debug, Default)]
pub struct StoreClock {
    last: Mutex<Option<(Duration, Instant)>>,
}

impl StoreClock {
    /// Sets the clock from an answer of the store.
    pub fn set(&self, clock: Duration) {
        *self.last.lock() = Some((clock, Instant::now()));
    }

    /// Returns the estimated time of the store's clock; none if the store has never answered.
    pub fn now(&self) -> Option<Duration> {
        let last = *self.last.lock();
        last.map(|(clock, answered_at)| clock + answered_at.elapsed())
    }
}

/// Backoff after failed requests for one table; logs when the store becomes unavailable and available again.
struct StoreBackoff {
    table: &'static str,
    failures: u32,
    lost_at: Option<Instant>,
}

impl StoreBackoff {
    fn new(table: &'static str) -> Self {
        Self {
            table,
            failures: 0,
            lost_at: None,
        }
    }

    fn record_success(&mut self) {
        self.failures = 0;
        if let Some(lost_at) = self.lost_at.take() {
            info!(
                dependency = "store",
                table = self.table,
                away_ms = lost_at.elapsed().as_millis() as u64,
                "dependency regained"
            );
        }
    }

    /// Waits after a failed request of a node that retries until it succeeds.
    async fn back_off(&mut self, error: &PortError) {
        let delay = self.record_failure(error);
        sleep(delay).await;
    }

    /// Waits after a failed read of a node that is not a reader. The first failure may be of a single connection.
    async fn back_off_follower(&mut self, error: &PortError, read_began: Instant) {
        let is_first = self.failures == 0;
        let delay = self.record_failure(error);
        let next_read = FOLLOWER_RETRY_PERIOD.saturating_sub(read_began.elapsed());
        sleep(if is_first { delay } else { next_read }).await;
    }

    /// Counts and logs a failed request; returns the time until the next one.
    fn record_failure(&mut self, error: &PortError) -> Duration {
        // The node goes on with the last state that it has read.
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!(dependency = "store", table = self.table, %error, "dependency lost");
        }
        let (first, longest) = BACKOFF_RANGE;
        let delay = first.saturating_mul(1 << self.failures.min(6)).min(longest);
        self.failures += 1;
        delay.mul_f64(0.75 + rand::random::<f64>() / 2.0)
    }
}

/// Applies the configurations, move orders and drains that the operator writes, while this node is a reader of the store;
/// runs until it is dropped.
pub async fn follow_orders(context: Arc<MeshContext>, port: PlatformPort, clock: Arc<StoreClock>) {
    let mut backoff = StoreBackoff::new("orders");
    let mut position: FeedPosition = 0;
    let schedule = ReadSchedule::new(context.settings.first_start);
    let mut has_read = false;
    loop {
        let Some(wait) = schedule.next_wait(&context, has_read, clock.now()) else {
            sleep(check_delay(&context)).await;
            continue;
        };
        let read_began = Instant::now();
        let read = (port.follow_orders)(position, wait);
        let result = tokio::select! {
            result = read => result,
            () = until_overdue(&context), if !wait.is_zero() => {
                info!(dependency = "store", "long poll abandoned: no confirmation in time");
                continue;
            }
        };
        match result {
            Ok(batch) => {
                backoff.record_success();
                clock.set(batch.clock);
                position = batch.position;
                has_read = true;
                let store_clock = batch.clock;
                apply_orders(&context, batch);
                // The store has answered before the end of the wait; what came later was on its way for as long.
                let age = read_began.elapsed().saturating_sub(wait);
                context.gossip.confirm_store_read(store_clock, age);
            }
            Err(PortError::HistoryGone { .. }) => {
                info!(
                    dependency = "store",
                    position, "history after this position is gone; reading the whole table"
                );
                position = 0;
            }
            Err(error) if is_reader(&context) => backoff.back_off(&error).await,
            Err(error) => backoff.back_off_follower(&error, read_began).await,
        }
    }
}

/// Waits until this node has to read the store at once. The connection of a long poll may have gone silent, which
/// would show only at the time limit of the request.
async fn until_overdue(context: &MeshContext) {
    while !is_overdue(context) {
        sleep(check_delay(context)).await;
    }
}

fn apply_orders(context: &MeshContext, batch: OrderBatch) {
    if let Some(config) = batch.config {
        let version = config.version;
        match context.board.gate.try_apply(config, &ConfigSource::Store) {
            Ok(()) => info!(
                decision = "apply",
                version,
                origin = "store",
                "configuration in force"
            ),
            Err(ApplyError::NotNewer { .. }) => {}
            Err(error) => warn!(decision = "apply", version, %error, "configuration not applied"),
        }
    }
    for order in batch.moves {
        let (service, candidate) = (order.service.clone(), order.candidate.clone());
        let (revision, period) = (order.revision, order.period);
        if context.board.moves.lock().add_order(order) {
            info!(
                decision = "move",
                service,
                candidate,
                revision,
                ?period,
                "move ordered"
            );
        }
    }
    let complete_at = batch.is_complete.then_some(batch.position);
    apply_store_drains(context, batch.drains, complete_at);
    context.publish_moves();
}

/// Record of an open move that neither this node nor its peers have. A move that looks open may have ended before this
/// node knew of it; one that has just been ordered has no record anywhere.
#[derive(Debug, Default)]
struct MissingRecord {
    since: Option<Instant>,
    /// Whether the store has answered since then.
    asked: bool,
}

/// Follows the progress of moves while some move is open and this node is a store reader or a watcher of an open
/// move; runs until it is dropped.
pub async fn follow_moves(context: Arc<MeshContext>, port: PlatformPort, clock: Arc<StoreClock>) {
    let mut backoff = StoreBackoff::new("moves");
    let mut position: FeedPosition = 0;
    let started = Instant::now();
    let mut missing = MissingRecord::default();
    loop {
        let patience = match started.elapsed() < START_TIME {
            true => Duration::ZERO,
            false => RECORD_FROM_PEERS_TIME,
        };
        if !should_follow_moves(&context, &mut missing, patience) {
            sleep(MOVES_CHECK_PERIOD).await;
            continue;
        }
        match (port.follow_moves)(position, MOVES_POLL_TIME).await {
            Ok(batch) => {
                backoff.record_success();
                clock.set(batch.clock);
                position = batch.position;
                missing.asked = true;
                apply_move_records(&context, batch);
            }
            Err(PortError::HistoryGone { .. }) => position = 0,
            Err(error) => backoff.back_off(&error).await,
        }
    }
}

impl MissingRecord {
    /// Returns whether the record has been missing for `patience` and this node has not asked the store for it yet.
    fn is_due(&mut self, is_missing: bool, patience: Duration) -> bool {
        if !is_missing {
            *self = Self::default();
            return false;
        }
        let since = *self.since.get_or_insert_with(Instant::now);
        !self.asked && since.elapsed() >= patience
    }
}

/// Returns whether this node reads the records of moves. Other nodes than readers and watchers get them from their
/// peers, and ask the store once for a record that is missing.
fn should_follow_moves(
    context: &MeshContext,
    missing: &mut MissingRecord,
    patience: Duration,
) -> bool {
    let open_moves = context.board.moves.lock().open_moves();
    let is_missing = open_moves.iter().any(|view| view.record().is_none());
    if missing.is_due(is_missing, patience) {
        return true;
    }
    let is_watched = || {
        open_moves
            .iter()
            .any(|view| watcher_rank(context, view).is_some())
    };
    !open_moves.is_empty() && (is_reader(context) || is_watched())
}

fn apply_move_records(context: &MeshContext, batch: MoveBatch) {
    for stored in batch.moves {
        let record = stored.record.clone();
        if context.board.moves.lock().add_record(stored) {
            info!(
                decision = "move",
                service = record.order.service,
                candidate = record.order.candidate,
                state = ?record.state,
                permille = record.permille,
                writer = record.writer,
                reason = record.reason,
                "move step read from the store"
            );
        }
    }
    context.publish_moves();
}
