//! Counters of one node's control traffic: gossip datagrams and synchronisation connections between nodes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counter that only grows.
#[derive(Debug, Default)]
pub struct TrafficCounter(AtomicU64);

impl TrafficCounter {
    /// Adds `amount` and returns the new total.
    pub fn add(&self, amount: u64) -> u64 {
        self.0.fetch_add(amount, Ordering::Relaxed) + amount
    }

    /// Returns the current total.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Control traffic of one node since its start.
#[derive(Debug, Default)]
pub struct GossipCounters {
    /// Datagrams received.
    pub packets_in: TrafficCounter,
    /// Datagrams sent.
    pub packets_out: TrafficCounter,
    /// Bytes of datagrams received, without UDP and IP headers.
    pub packet_bytes_in: TrafficCounter,
    /// Bytes of datagrams sent, without UDP and IP headers.
    pub packet_bytes_out: TrafficCounter,
    /// Received datagrams dropped as invalid; see `PacketError`.
    pub packets_bad: TrafficCounter,
    /// Datagrams that the socket failed to send; they are not retried.
    pub packets_unsent: TrafficCounter,
    /// Bytes of frames received on TCP connections.
    pub frame_bytes_in: TrafficCounter,
    /// Bytes of frames sent on TCP connections.
    pub frame_bytes_out: TrafficCounter,
    /// TCP connections ended because of an error.
    pub connections_failed: TrafficCounter,
    /// Requests of peers rejected with `ConfigBusy` because too many were running.
    pub requests_busy: TrafficCounter,
    /// Configurations pulled from peers and applied.
    pub pulls_applied: TrafficCounter,
    /// Configuration pulls that failed.
    pub pulls_failed: TrafficCounter,
}

impl GossipCounters {
    /// Returns the bytes received in datagrams and frames together.
    pub fn bytes_in(&self) -> u64 {
        self.packet_bytes_in.get() + self.frame_bytes_in.get()
    }

    /// Returns the bytes sent in datagrams and frames together.
    pub fn bytes_out(&self) -> u64 {
        self.packet_bytes_out.get() + self.frame_bytes_out.get()
    }
}
