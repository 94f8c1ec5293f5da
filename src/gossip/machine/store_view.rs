//! How far the members know what the platform's store holds.
//!
//! Few members read the store. Each passes on up to which time of the store's clock it has missed nothing, so that
//! the others know that they miss nothing either, or read the store themselves.

use {
    super::{GossipMachine, GossipTables, MachineOutput, NewerMoves},
    crate::{
        ids::ConfigVersion,
        wire::{GossipPacket, StoreView},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Shortest time between two pushes that only pass on a newer clock.
const CLOCK_PUSH_GAP: Duration = Duration::from_millis(400);

/// Members that are told at once of a newer clock. Those that are missed learn of it by probes or of the next one.
const CLOCK_FANOUT: usize = 2;

/// What this node knows of the store.
#[derive(Debug, Default)]
pub(super) struct KnownStore {
    view: StoreView,
    /// When the clock last advanced here.
    confirmed_at: Duration,
    clock_pushed_at: Option<Duration>,
}

impl KnownStore {
    /// Returns what packets say; nothing on a node that does not know the store.
    pub(super) fn view(&self) -> Option<StoreView> {
        (self.view != StoreView::default()).then_some(self.view)
    }
}

/// Store.
impl GossipMachine {
    /// Notes that the store has been read, with the version then in force.
    pub fn confirm_store(
        &mut self,
        clock: Duration,
        version: ConfigVersion,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        let mut output = MachineOutput::default();
        self.own.applied_version = self.own.applied_version.max(version);
        self.advance_clock(clock.as_millis() as u64, now, tables, &mut output);
        output
    }

    /// Takes how far this node knows the moves, and tells random members if that has grown.
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

    /// Returns when this node last learned that it had missed nothing of the store.
    pub fn store_confirmed_at(&self) -> Duration {
        self.store.confirmed_at
    }

    /// Takes over the clock of a sender that knows no more than this node, or asks for its moves.
    pub(super) fn note_store_view(
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
        } else if packet.config_version <= self.own.applied_version {
            self.advance_clock(view.clock_ms, now, tables, output);
        }
    }

    fn advance_clock(
        &mut self,
        clock_ms: u64,
        now: Duration,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        if clock_ms <= self.store.view.clock_ms {
            return;
        }
        self.store.view.clock_ms = clock_ms;
        self.store.confirmed_at = now;
        let pushed_at = self.store.clock_pushed_at;
        if pushed_at.is_some_and(|at| now < at + CLOCK_PUSH_GAP) {
            return;
        }
        self.store.clock_pushed_at = Some(now);
        self.push_to(CLOCK_FANOUT, &[], tables, output);
    }
}
