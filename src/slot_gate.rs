//! Slots and connections of the own target.

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

/// Longest wait for a slot; a longer queue would only use up the callers' deadlines.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(50);

/// Waiting calls allowed per slot.
const WAITERS_PER_SLOT: u32 = 2;

/// Time that a target gets to notice a closed connection before its slot is given out again.
const SETTLE_TIME: Duration = Duration::from_millis(10);

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

/// Size of a pool and the permits that are to vanish when they come back.
///
/// Invariant: permits out plus permits available equal `size + excess`.
#[derive(Debug)]
struct PoolSize {
    size: u32,
    excess: u32,
}

/// A number of permits that can change while permits are out.
///
/// Invariant: after the pool has shrunk, no permit is given out until fewer than the new size are out.
#[derive(Clone, Debug)]
pub struct PermitPool {
    semaphore: Arc<Semaphore>,
    size: Arc<Mutex<PoolSize>>,
}

/// One permit of a pool; it goes back when it is dropped.
#[derive(Debug)]
pub struct PoolPermit {
    permit: Option<OwnedSemaphorePermit>,
    size: Arc<Mutex<PoolSize>>,
}

impl PermitPool {
    /// Returns a pool of this size.
    pub fn new(size: u32) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(size as usize)),
            size: Arc::new(Mutex::new(PoolSize { size, excess: 0 })),
        }
    }

    /// Returns the size of the pool.
    pub fn size(&self) -> u32 {
        self.size.lock().size
    }

    /// Returns the number of permits that are out.
    pub fn in_use(&self) -> u32 {
        let state = self.size.lock();
        let available = self.semaphore.available_permits() as u32;
        (state.size + state.excess).saturating_sub(available)
    }

    /// Changes the size; permits that are out stay valid.
    pub fn resize(&self, size: u32) {
        let mut state = self.size.lock();
        if size > state.size {
            let grown = size - state.size;
            let kept = grown.min(state.excess);
            state.excess -= kept;
            self.semaphore.add_permits((grown - kept) as usize);
        } else {
            let shrunk = state.size - size;
            let forgotten = self.semaphore.forget_permits(shrunk as usize) as u32;
            state.excess += shrunk - forgotten;
        }
        state.size = size;
    }

    /// Takes a permit if one is free.
    pub fn try_take(&self) -> Option<PoolPermit> {
        let permit = self.semaphore.clone().try_acquire_owned().ok()?;
        Some(self.wrap(permit))
    }

    /// Waits for a permit, in order of arrival.
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
    /// Gives the permit back after the target has had time to notice a closed connection.
    pub fn release_later(self) {
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                sleep(SETTLE_TIME).await;
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
            // The permit goes back under the lock, or `in_use` and `resize` would see it neither out
            // nor available.
            self.permit.take();
        }
    }
}

/// Slots of one target, with a bounded queue.
///
/// Invariant: at most `slots` permits are out, so the target never runs more calls at once.
#[derive(Clone, Debug)]
pub struct SlotGate {
    pool: PermitPool,
    waiters: Arc<AtomicU32>,
}

impl SlotGate {
    /// Returns a gate with this many slots.
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

    /// Returns the number of calls that run now.
    pub fn in_use(&self) -> u32 {
        self.pool.in_use()
    }

    /// Changes the number of slots; calls that run keep theirs.
    pub fn resize(&self, slots: u32) {
        self.pool.resize(slots);
    }

    /// Waits a short time for a slot.
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

/// Place in the queue; given up when dropped, also when the caller goes away.
struct QueuePlace {
    waiters: Arc<AtomicU32>,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.waiters.fetch_sub(1, Ordering::Relaxed);
    }
}
