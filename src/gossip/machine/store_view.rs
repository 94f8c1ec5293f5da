//! Gossip of how current each member's copy of the platform store is.
//!
//! Few members read the store. Their packets carry the store's clock up to which they have seen every change. A member
//! with the same configuration and moves (rollouts) thus learns that it is current as well; one that gets no newer
//! clock for too long reads the store itself.

use {
    super::{GossipMachine, GossipTables, MachineOutput, NewerMoves},
    crate::{
        ids::ConfigVersion,
        wire::{GossipPacket, StoreView},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Shortest time between two pushes that announce only a newer clock.
const CLOCK_PUSH_GAP: Duration = Duration::from_millis(400);

/// Members to which a newer clock is pushed at once. The others get it with probes, or get the next one.
const CLOCK_FANOUT: usize = 2;

/// This node's view of the store, as sent in its packets.
#[derive(Debug, Default)]
pub(super) struct StoreViewState {
    /// Clock and digest; `age_ms` is set for each packet.
    view: StoreView,
    /// Local time to which the clock in `view` corresponds, which is that of the reader's read and not that of the
    /// packet's arrival: a clock may spend more than a second with the members that pass it on.
    confirmed_at: Duration,
    /// Clock of a member with a configuration that this node lacks so far.
    pending: Option<PendingClock>,
    clock_pushed_at: Option<Duration>,
}

/// Clock of a member with a newer configuration; it holds for this node once that configuration is applied.
#[derive(Clone, Copy, Debug)]
struct PendingClock {
    version: ConfigVersion,
    moves_digest: u64,
    clock_ms: u64,
    confirmed_at: Duration,
}

impl PendingClock {
    /// Returns whether `other` is a newer clock for the same configuration. A clock for a later configuration does not
    /// replace this one: configurations may follow one another faster than they are pulled.
    fn is_older(&self, other: &Self) -> bool {
        self.version == other.version && self.clock_ms < other.clock_ms
    }
}

impl StoreViewState {
    /// Returns the view to send in a packet at `now`; none on a node that has no view of the store yet.
    pub(super) fn view(&self, now: Duration) -> Option<StoreView> {
        let age = now.saturating_sub(self.confirmed_at);
        (self.view != StoreView::default()).then_some(StoreView {
            age_ms: age.as_millis() as u64,
            ..self.view
        })
    }

    /// Returns the digest of the moves that this node has.
    pub(super) fn moves_digest(&self) -> u64 {
        self.view.moves_digest
    }
}

impl GossipMachine {
    /// Records that this node has read the store up to the store's time `clock`, which corresponds to the local time
    /// `read_at`, and has applied `version`.
    pub fn confirm_store_read(
        &mut self,
        clock: Duration,
        read_at: Duration,
        version: ConfigVersion,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        let mut output = MachineOutput::default();
        self.now = now;
        self.own.applied_version = self.own.applied_version.max(version);
        // The read itself shows that nothing was missed, whatever the store's clock says.
        self.store.confirmed_at = self.store.confirmed_at.max(read_at);
        let clock_ms = clock.as_millis() as u64;
        self.advance_clock(clock_ms, read_at, now, tables, &mut output);
        output
    }

    /// Sets the digest of the moves that this node has and pushes it to random members if it changed.
    pub fn set_moves_digest(
        &mut self,
        digest: u64,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        if digest == self.store.view.moves_digest {
            return MachineOutput::default();
        }
        self.store.view.moves_digest = digest;
        self.push(tables)
    }

    /// Returns the time up to which this node is known to have missed no change of the store.
    pub fn store_confirmed_at(&self) -> Duration {
        self.store.confirmed_at
    }

    /// Requests the sender's moves if its digest is higher, else adopts its store clock.
    ///
    /// The clock is adopted only if this node also has the sender's configuration version or a later one. Otherwise it is
    /// kept until then: while configurations follow one another quickly, this node has hardly ever the newest one when a
    /// packet arrives.
    pub(super) fn apply_store_view(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        now: Duration,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let Some(view) = &packet.store_view else {
            return;
        };
        if view.moves_digest > self.store.view.moves_digest {
            output.newer_moves = Some(NewerMoves {
                address: from,
                digest: view.moves_digest,
            });
            return;
        }
        let clock = PendingClock {
            version: packet.config_version,
            moves_digest: view.moves_digest,
            clock_ms: view.clock_ms,
            confirmed_at: now.saturating_sub(Duration::from_millis(view.age_ms)),
        };
        if clock.version <= self.own.applied_version {
            self.advance_clock(clock.clock_ms, clock.confirmed_at, now, tables, output);
        } else if self
            .store
            .pending
            .is_none_or(|pending| pending.is_older(&clock))
        {
            self.store.pending = Some(clock);
        }
    }

    /// Adopts the clock of a member whose configuration this node has applied meanwhile.
    pub(super) fn adopt_pending_clock(
        &mut self,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let is_held = |pending: &PendingClock| {
            pending.version <= self.own.applied_version
                && pending.moves_digest <= self.store.view.moves_digest
        };
        if let Some(pending) = self.store.pending.take_if(|pending| is_held(pending)) {
            let now = self.now;
            self.advance_clock(pending.clock_ms, pending.confirmed_at, now, tables, output);
        }
    }

    fn advance_clock(
        &mut self,
        clock_ms: u64,
        confirmed_at: Duration,
        now: Duration,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        if clock_ms <= self.store.view.clock_ms {
            return;
        }
        self.store.view.clock_ms = clock_ms;
        self.store.confirmed_at = self.store.confirmed_at.max(confirmed_at);
        let pushed_at = self.store.clock_pushed_at;
        if pushed_at.is_some_and(|at| now < at + CLOCK_PUSH_GAP) {
            return;
        }
        self.store.clock_pushed_at = Some(now);
        self.push_to(CLOCK_FANOUT, &[], tables, output);
    }
}
