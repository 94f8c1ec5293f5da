//! Counters of the control traffic of one node.

use std::sync::atomic::{AtomicU64, Ordering};

/// One counter that only grows.
#[derive(Debug, Default)]
pub struct TrafficCounter(AtomicU64);

impl TrafficCounter {
    /// Adds to the counter and returns the sum.
    pub fn add(&self, amount: u64) -> u64 {
        self.0.fetch_add(amount, Ordering::Relaxed) + amount
    }

    /// Returns the sum.
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
    /// Datagrams dropped because they could not be used.
    pub packets_bad: TrafficCounter,
    /// Datagrams that the socket did not take.
    pub packets_unsent: TrafficCounter,
    /// Bytes of frames received on TCP connections.
    pub frame_bytes_in: TrafficCounter,
    /// Bytes of frames sent on TCP connections.
    pub frame_bytes_out: TrafficCounter,
    /// TCP connections ended because of an error.
    pub connections_failed: TrafficCounter,
    /// Requests answered with `ConfigBusy` because too many ran.
    pub requests_busy: TrafficCounter,
    /// Configurations pulled from peers and put in force.
    pub pulls_applied: TrafficCounter,
    /// Pulls that failed.
    pub pulls_failed: TrafficCounter,
}

impl GossipCounters {
    /// Returns all control bytes received.
    pub fn bytes_in(&self) -> u64 {
        self.packet_bytes_in.get() + self.frame_bytes_in.get()
    }

    /// Returns all control bytes sent.
    pub fn bytes_out(&self) -> u64 {
        self.packet_bytes_out.get() + self.frame_bytes_out.get()
    }
}
