//! Bounds for the calls and the connections to the target of this node.

use {
    derive_more::Display,
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        runtime::Handle,
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{sleep, timeout},
    },
};

/// Longest wait for a slot; a longer wait would only use up the callers' deadlines.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(50);

/// Calls allowed to wait in the queue, per slot.
const WAITERS_PER_SLOT: u32 = 2;

/// Time that a target gets to notice a closed connection before the permit is reused.
const RELEASE_DELAY: Duration = Duration::from_millis(10);

/// Why a call got no slot; its text is the reason code of the refusal.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SlotRefusal {
    /// The queue has reached its limit of `WAITERS_PER_SLOT` calls per slot.
    #[display("queue-full")]
    QueueFull,
    /// No slot became free within `MAX_QUEUE_WAIT` or the time left to the call.
    #[display("no-slot")]
    NoSlot,
}

/// Size of a pool, and the number of permits to discard on release because the pool was shrunk.
///
/// Invariant: permits in use plus permits available equal `size + excess`.
#[derive(Debug)]
struct PoolSize {
    size: u32,
    excess: u32,
}

/// A semaphore whose number of permits can change while permits are in use.
///
/// Invariant: after the pool has shrunk, no permit is issued until fewer than the new size are in use.
#[derive(Clone, Debug)]
pub struct PermitPool {
    semaphore: Arc<Semaphore>,
    size: Arc<Mutex<PoolSize>>,
}

/// One permit of a pool, released on drop.
#[derive(Debug)]
pub struct PoolPermit {
    permit: Option<OwnedSemaphorePermit>,
    size: Arc<Mutex<PoolSize>>,
}

impl PermitPool {
    /// Returns a pool of `size` permits.
    pub fn new(size: u32) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(size as usize)),
            size: Arc::new(Mutex::new(PoolSize { size, excess: 0 })),
        }
    }

    /// Returns the number of permits that the pool allows at present.
    pub fn size(&self) -> u32 {
        self.size.lock().size
    }

    /// Returns the number of permits in use; above the size for a time after the pool has shrunk.
    pub fn in_use(&self) -> u32 {
        let state = self.size.lock();
        let available = self.semaphore.available_permits() as u32;
        (state.size + state.excess).saturating_sub(available)
    }

    /// Changes the size; permits in use stay valid.
    pub fn resize(&self, size: u32) {
        let mut state = self.size.lock();
        if size > state.size {
            let grown = size - state.size;
            let reclaimed = grown.min(state.excess);
            state.excess -= reclaimed;
            self.semaphore.add_permits((grown - reclaimed) as usize);
        } else {
            let shrunk = state.size - size;
            let forgotten = self.semaphore.forget_permits(shrunk as usize) as u32;
            state.excess += shrunk - forgotten;
        }
        state.size = size;
    }

    /// Takes a permit if one is available.
    pub fn try_take(&self) -> Option<PoolPermit> {
        let permit = self.semaphore.clone().try_acquire_owned().ok()?;
        Some(self.wrap(permit))
    }

    /// Waits for a permit; waiters are served in order of arrival. None if the pool is closed.
    pub async fn take(&self) -> Option<PoolPermit> {
        let permit = self.semaphore.clone().acquire_owned().await.ok()?;
        Some(self.wrap(permit))
    }

    fn wrap(&self, permit: OwnedSemaphorePermit) -> PoolPermit {
        PoolPermit {
            permit: Some(permit),
            size: self.size.clone(),
        }
    }
}

impl PoolPermit {
    /// Releases the permit once the target has had time to notice a closed connection.
    pub fn release_after_delay(self) {
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                sleep(RELEASE_DELAY).await;
                drop(self);
            });
        }
    }
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        let mut state = self.size.lock();
        if state.excess > 0 {
            state.excess -= 1;
            if let Some(permit) = self.permit.take() {
                permit.forget();
            }
        } else {
            // Released under the lock, or `in_use` and `resize` would count it neither as in use nor as
            // available.
            self.permit.take();
        }
    }
}

/// Concurrency limiter of one target with a bounded queue; a slot is the right to run one call.
///
/// Invariant: at most `slots` permits are issued, so the target never runs more calls concurrently.
#[derive(Clone, Debug)]
pub struct SlotGate {
    pool: PermitPool,
    waiters: Arc<AtomicU32>,
}

impl SlotGate {
    /// Returns a gate with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            pool: PermitPool::new(slots),
            waiters: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.pool.size()
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> u32 {
        self.pool.in_use()
    }

    /// Changes the number of slots; calls in progress keep theirs.
    pub fn resize(&self, slots: u32) {
        self.pool.resize(slots);
    }

    /// Waits for a slot, at most for `MAX_QUEUE_WAIT` and for the `remaining` time of the call.
    pub async fn acquire(&self, remaining: Duration) -> Result<PoolPermit, SlotRefusal> {
        if let Some(permit) = self.pool.try_take() {
            return Ok(permit);
        }
        let _place = self.enter_queue()?;
        let wait = MAX_QUEUE_WAIT.min(remaining);
        match timeout(wait, self.pool.take()).await {
            Ok(Some(permit)) => Ok(permit),
            _ => Err(SlotRefusal::NoSlot),
        }
    }

    fn enter_queue(&self) -> Result<QueuePlace, SlotRefusal> {
        let place = QueuePlace {
            waiters: self.waiters.clone(),
        };
        let before = self.waiters.fetch_add(1, Ordering::Relaxed);
        if before >= self.slots().saturating_mul(WAITERS_PER_SLOT) {
            return Err(SlotRefusal::QueueFull);
        }
        Ok(place)
    }
}

/// Place in the queue, freed on drop, also when the caller disconnects during the wait.
struct QueuePlace {
    waiters: Arc<AtomicU32>,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.waiters.fetch_sub(1, Ordering::Relaxed);
    }
}
