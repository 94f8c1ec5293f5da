//! Slots of the own target, with a bounded queue.

use {
    derive_more::Display,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::timeout,
    },
};

/// Longest wait for a slot; a longer queue would only use up the callers' deadlines.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(50);

/// Waiting calls allowed per slot.
const WAITERS_PER_SLOT: u32 = 2;

/// A call that got no slot.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SlotRefusal {
    /// As many calls wait as are allowed to.
    #[display("queue-full")]
    QueueFull,
    /// No slot became free in time.
    #[display("no-slot")]
    NoSlot,
}

/// Slots of one target.
///
/// Invariant: at most `slots` permits are out, so the target never runs more calls at once.
#[derive(Clone, Debug)]
pub struct SlotGate {
    semaphore: Arc<Semaphore>,
    waiters: Arc<AtomicU32>,
    slots: u32,
}

/// Permission to run one call; the slot is free again when it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    _permit: OwnedSemaphorePermit,
}

impl SlotGate {
    /// Returns a gate with this many slots.
    pub fn new(slots: u32) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slots as usize)),
            waiters: Arc::new(AtomicU32::new(0)),
            slots,
        }
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of calls that run now.
    pub fn in_use(&self) -> u32 {
        self.slots
            .saturating_sub(self.semaphore.available_permits() as u32)
    }

    /// Waits a short time for a slot.
    pub async fn acquire(&self, remaining: Duration) -> Result<SlotPermit, SlotRefusal> {
        if let Ok(permit) = self.semaphore.clone().try_acquire_owned() {
            return Ok(SlotPermit { _permit: permit });
        }
        let _waiter = self.enter_queue()?;
        let wait = MAX_QUEUE_WAIT.min(remaining);
        match timeout(wait, self.semaphore.clone().acquire_owned()).await {
            Ok(Ok(permit)) => Ok(SlotPermit { _permit: permit }),
            _ => Err(SlotRefusal::NoSlot),
        }
    }

    fn enter_queue(&self) -> Result<QueuePlace, SlotRefusal> {
        let place = QueuePlace {
            waiters: self.waiters.clone(),
        };
        let before = self.waiters.fetch_add(1, Ordering::Relaxed);
        if before >= self.slots * WAITERS_PER_SLOT {
            return Err(SlotRefusal::QueueFull);
        }
        Ok(place)
    }
}

/// Place in the queue; given up when dropped, also when the caller goes away.
struct QueuePlace {
    waiters: Arc<AtomicU32>,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.waiters.fetch_sub(1, Ordering::Relaxed);
    }
}
