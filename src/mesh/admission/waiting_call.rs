//! A call that waits for a slot of its target, or for the pace of a cold target.

use {
    super::{AdmissionRefusal, QueueSignals, QueueState, SlotGrant, SlotPermit, WaiterKey},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep_until},
};

/// Shortest time between two looks of a waiting call at the pace, the resolution of the timer.
const MIN_PACE_SLEEP: Duration = Duration::from_millis(1);

/// A call in the queue; dropping it removes the call, for instance when the caller disconnects.
pub(super) struct QueuedCall {
    pub(super) state: Arc<Mutex<QueueState>>,
    pub(super) signals: Arc<QueueSignals>,
    pub(super) key: WaiterKey,
    pub(super) latest_start: Instant,
    pub(super) admitted: oneshot::Receiver<SlotGrant>,
    pub(super) resolved: bool,
}

impl QueuedCall {
    /// Waits for a slot until the latest start. The caller then gets a refusal that says truthfully that the call has
    /// not run, also if the running calls hold their slots for longer.
    pub(super) async fn wait(mut self) -> Result<SlotPermit, AdmissionRefusal> {
        let signals = self.signals.clone();
        let granted = loop {
            let pace_changed = signals.pace_changed.notified();
            // Dropping the call removes it from the queue, or gives back a slot granted meanwhile.
            let wake_at = self.next_wake()?;
            tokio::select! {
                biased;
                granted = &mut self.admitted => break granted,
                () = pace_changed => {}
                () = sleep_until(wake_at.into()) => self.state.lock().admit_next(),
            }
        };
        self.resolved = true;
        let grant = granted.map_err(|_| AdmissionRefusal::Full)?;
        Ok(SlotPermit {
            state: self.state.clone(),
            started: grant.started,
            withdrawn: grant.withdrawn,
        })
    }

    /// Returns when to look again: when the pace may let the call through, else at its latest start. A call that the
    /// pace lets through only after that is refused.
    fn next_wake(&self) -> Result<Instant, AdmissionRefusal> {
        let now = Instant::now();
        if now >= self.latest_start {
            return Err(AdmissionRefusal::Full);
        }
        let state = self.state.lock();
        if !state.waiting.contains_key(&self.key) {
            return Ok(self.latest_start);
        }
        let room_in = state.pace_wait(&self.key, now);
        let room_at = now + room_in;
        if room_at > self.latest_start {
            return Err(AdmissionRefusal::Cold { room_in });
        }
        let Some(cold) = state.cold_load() else {
            return Ok(self.latest_start);
        };
        // Others may use up the room before a slot is free.
        let pause = match room_in.is_zero() {
            true => cold.interval,
            false => room_in,
        };
        Ok((now + pause.max(MIN_PACE_SLEEP)).min(self.latest_start))
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut state = self.state.lock();
        state.waiting.remove(&self.key);
        // The slot may have been granted between the last poll and the drop.
        if let Ok(grant) = self.admitted.try_recv() {
            state.stop(grant.started);
            state.admit_next();
        }
    }
}
