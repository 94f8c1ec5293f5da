//! Follows what the operator writes to the store, and the progress of moves.

use {
    super::{
        context::MeshContext,
        move_driver::watcher_rank,
        port::{FeedPosition, MoveBatch, OrderBatch, PlatformPort, PortError},
        store_duty::{FEED_WAIT, is_reader, read_wait},
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

/// First and longest pause after a request that failed.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Time between two looks whether it falls to this node to read the store.
const DUTY_LOOK: Duration = Duration::from_millis(100);

/// The store's steady clock as of its last answer.
#[derive(Debug, Default)]
pub struct StoreClock {
    last: Mutex<Option<(Duration, Instant)>>,
}

impl StoreClock {
    /// Takes over the clock of an answer.
    pub fn set(&self, clock: Duration) {
        *self.last.lock() = Some((clock, Instant::now()));
    }

    /// Returns the present time of the store, if it has ever answered.
    pub fn now(&self) -> Option<Duration> {
        let last = *self.last.lock();
        last.map(|(clock, heard_at)| clock + heard_at.elapsed())
    }
}

/// Pauses between failed requests, and the log of when the store was lost and found again.
struct StoreContact {
    table: &'static str,
    failures: u32,
    lost_at: Option<Instant>,
}

impl StoreContact {
    fn new(table: &'static str) -> Self {
        Self {
            table,
            failures: 0,
            lost_at: None,
        }
    }

    fn regained(&mut self) {
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

    async fn pause_after(&mut self, error: &PortError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            warn!(dependency = "store", table = self.table, %error, "dependency lost");
        }
        let (first, longest) = PAUSE_RANGE;
        let pause = first.saturating_mul(1 << self.failures.min(6)).min(longest);
        self.failures += 1;
        sleep(pause.mul_f64(0.75 + rand::random::<f64>() / 2.0)).await;
    }
}

/// Puts in force what the operator writes, as long as it falls to this node to read it, without end.
pub async fn follow_orders(context: Arc<MeshContext>, port: PlatformPort, clock: Arc<StoreClock>) {
    let mut contact = StoreContact::new("orders");
    let mut position: FeedPosition = 0;
    loop {
        // At the start the node reads in any case, since its peers may know nothing yet.
        let wait = match position {
            0 => Some(Duration::ZERO),
            _ => read_wait(&context),
        };
        let Some(wait) = wait else {
            sleep(DUTY_LOOK).await;
            continue;
        };
        match (port.follow_orders)(position, wait).await {
            Ok(batch) => {
                contact.regained();
                clock.set(batch.clock);
                position = batch.position;
                let store_clock = batch.clock;
                take_orders(&context, batch);
                context.gossip.confirm_store(store_clock);
            }
            Err(PortError::HistoryGone { .. }) => {
                info!(
                    dependency = "store",
                    position, "history is gone; all is read again"
                );
                position = 0;
            }
            Err(error) => contact.pause_after(&error).await,
        }
    }
}

fn take_orders(context: &MeshContext, batch: OrderBatch) {
    if let Some(config) = batch.config {
        let version = config.version;
        match context.board.gate.offer(config, &ConfigSource::Store) {
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
    context.publish_moves();
}

/// Follows the progress of moves while there is one that has not ended and that this node reads or watches.
pub async fn follow_moves(context: Arc<MeshContext>, port: PlatformPort, clock: Arc<StoreClock>) {
    let mut contact = StoreContact::new("moves");
    let mut position: FeedPosition = 0;
    loop {
        if !follows_moves(&context, position) {
            sleep(DUTY_LOOK).await;
            continue;
        }
        match (port.follow_moves)(position, FEED_WAIT).await {
            Ok(batch) => {
                contact.regained();
                clock.set(batch.clock);
                position = batch.position;
                take_moves(&context, batch);
            }
            Err(PortError::HistoryGone { .. }) => position = 0,
            Err(error) => contact.pause_after(&error).await,
        }
    }
}

fn follows_moves(context: &MeshContext, position: FeedPosition) -> bool {
    let open = context.board.moves.lock().open_moves();
    if open.is_empty() {
        return false;
    }
    let is_watched = || {
        open.iter()
            .any(|view| watcher_rank(context, view).is_some())
    };
    position == 0 || is_reader(context) || is_watched()
}

fn take_moves(context: &MeshContext, batch: MoveBatch) {
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
                "move step seen"
            );
        }
    }
    context.publish_moves();
}
