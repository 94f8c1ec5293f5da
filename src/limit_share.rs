//! Rate and concurrency limits of a customer, divided among the nodes of its targets.
//!
//! A limit of the contract applies to the whole fleet. Each node enforces a share of it on its own, mostly
//! in proportion to its demand (average calls per second), without a request to other nodes per call.

use {
    crate::{
        config::{CallLimits, ContractLimit},
        ids::NodeId,
    },
    derive_more::Display,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Fraction of a limit that is divided in proportion to demand; the rest is divided equally.
const DEMAND_FRACTION: f64 = 0.8;

/// Time for which a node accumulates unused rate; bounds a burst to the tokens of this time.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Demand at one of the nodes that share a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeDemand {
    /// Node of a target.
    pub node: NodeId,
    /// Average calls per second that reach the node, at least 1; 0 means not yet known.
    pub demand: u32,
}

/// Returns one node's share of a limit.
///
/// Shares computed from the same demands sum up to the limit. Nodes that received different demands by
/// gossip can together exceed the limit, by as much as these differ. `total_demand` and `nodes` include
/// the node itself.
pub fn share_of(limit: f64, own_demand: f64, total_demand: f64, nodes: usize) -> f64 {
    let count = nodes.max(1) as f64;
    if total_demand <= 0.0 {
        return limit / count;
    }
    let equal = (1.0 - DEMAND_FRACTION) * limit / count;
    equal + DEMAND_FRACTION * limit * own_demand / total_demand
}

/// Returns the whole-numbered shares of a limit, in the order of `demands`.
///
/// Each share is rounded down and the remainder goes to the shares with the largest fractions, so the
/// shares sum up to exactly the limit. For a limit that is small compared to the number of nodes, rounding
/// every share down would waste most of it, and raising every share to 1 would exceed it.
pub fn whole_shares(limit: u64, demands: &[NodeDemand]) -> Vec<u64> {
    let total: f64 = demands.iter().map(|node| f64::from(node.demand)).sum();
    let exact: Vec<f64> = demands
        .iter()
        .map(|node| share_of(limit as f64, f64::from(node.demand), total, demands.len()))
        .collect();
    let mut shares: Vec<u64> = exact.iter().map(|share| share.floor() as u64).collect();
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|first, second| {
        let fraction = |index: usize| exact[index] - exact[index].floor();
        fraction(*second)
            .total_cmp(&fraction(*first))
            .then_with(|| demands[*first].node.cmp(&demands[*second].node))
    });
    // Floating-point errors of the sum can change the remainder by up to the number of nodes either way.
    let assigned: u64 = shares.iter().sum();
    let remainder = limit.saturating_sub(assigned) as usize;
    for index in order.iter().cycle().take(remainder.min(2 * demands.len())) {
        shares[*index] += 1;
    }
    shares
}

/// Which limit a call exceeded; its text is the reason code of the refusal.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LimitKind {
    /// Calls per second.
    #[display("rate-limit")]
    Rate,
    /// Calls in progress.
    #[display("concurrency-limit")]
    Concurrency,
}

/// A call refused because this node's share of a limit is used up.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{kind} of {scope} exceeded: limit {limit} of contract line {line}, divided among nodes")]
pub struct LimitRefusal {
    /// Which limit was exceeded.
    pub kind: LimitKind,
    /// Customer, service or route that the limit belongs to.
    pub scope: String,
    /// Limit over the whole fleet.
    pub limit: u64,
    /// Line of the customer's contract that sets the limit, counted from 1.
    pub line: u32,
}

/// A customer, service or route with its limits and this node's shares of them.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitScope {
    /// Name of the scope: `customer`, `customer/service` or `customer/service/route`.
    pub name: String,
    /// Limits of the scope over the whole fleet.
    pub limits: CallLimits,
    /// Calls per second that this node may admit; unused without a rate limit.
    pub rate_share: f64,
    /// Calls in progress that this node may have; unused without a concurrency limit.
    pub concurrency_share: u64,
}

impl LimitScope {
    /// Returns a scope with the shares of node `own`, which must be among `demands`: the nodes that share it.
    pub fn new(name: String, limits: CallLimits, own: &str, demands: &[NodeDemand]) -> Self {
        let index = demands.iter().position(|node| node.node == own);
        let own_demand = index.map_or(0, |index| demands[index].demand).max(1);
        let demands = &fill_unknown_demands(own_demand, demands);
        let total: f64 = demands.iter().map(|node| f64::from(node.demand)).sum();
        let rate_share = limits.rate.map_or(0.0, |limit| {
            share_of(
                limit.value as f64,
                f64::from(own_demand),
                total,
                demands.len(),
            )
        });
        let concurrency_share = limits.concurrency.map_or(0, |limit| {
            index.map_or(0, |index| whole_shares(limit.value, demands)[index])
        });
        Self {
            name,
            limits,
            rate_share,
            concurrency_share,
        }
    }
}

/// Replaces unknown demands by this node's own demand.
///
/// Otherwise nodes that restarted together would each take nearly the whole limit until gossip has
/// exchanged their demands.
fn fill_unknown_demands(own_demand: u32, demands: &[NodeDemand]) -> Vec<NodeDemand> {
    let mut filled = demands.to_vec();
    for node in filled.iter_mut().filter(|node| node.demand == 0) {
        node.demand = own_demand;
    }
    filled
}

/// This node's usage of one scope.
#[derive(Debug)]
struct ScopeUsage {
    /// Token bucket of the rate limit.
    tokens: f64,
    refilled_at: Instant,
    in_progress: u64,
}

/// This node's usage of all scopes, by name.
///
/// Invariant: `in_progress` of a scope equals the calls admitted and neither released nor refunded.
#[derive(Debug, Default)]
pub struct LimitTable {
    usages: HashMap<String, ScopeUsage>,
}

impl LimitTable {
    /// Admits a call if no limit of any scope is exceeded, and counts it in all of them; otherwise in none.
    pub fn admit(&mut self, scopes: &[LimitScope], now: Instant) -> Result<(), LimitRefusal> {
        for scope in scopes {
            self.check(scope, now)?;
        }
        for scope in scopes {
            self.consume(scope);
        }
        Ok(())
    }

    /// Counts an admitted call as ended in the scopes with these names.
    pub fn release<'a>(&mut self, scopes: impl IntoIterator<Item = &'a str>) {
        for name in scopes {
            if let Some(usage) = self.usages.get_mut(name) {
                usage.in_progress = usage.in_progress.saturating_sub(1);
            }
        }
    }

    /// Reverts the admission of a call that was then refused for another reason, its rate tokens included.
    pub fn refund(&mut self, scopes: &[LimitScope]) {
        for scope in scopes {
            if let Some(usage) = self.usages.get_mut(&scope.name) {
                usage.in_progress = usage.in_progress.saturating_sub(1);
                usage.tokens = (usage.tokens + 1.0).min(burst_capacity(scope.rate_share));
            }
        }
    }

    /// Returns this node's calls in progress under a scope.
    pub fn in_progress(&self, scope: &str) -> u64 {
        self.usages.get(scope).map_or(0, |usage| usage.in_progress)
    }

    fn check(&mut self, scope: &LimitScope, now: Instant) -> Result<(), LimitRefusal> {
        let burst = burst_capacity(scope.rate_share);
        let usage = self
            .usages
            .entry(scope.name.clone())
            .or_insert_with(|| ScopeUsage {
                tokens: burst,
                refilled_at: now,
                in_progress: 0,
            });
        if let Some(limit) = scope.limits.rate {
            refill(usage, scope.rate_share, now);
            if usage.tokens < 1.0 {
                return Err(limit_refusal(LimitKind::Rate, scope, limit));
            }
        }
        if let Some(limit) = scope.limits.concurrency
            && usage.in_progress >= scope.concurrency_share
        {
            return Err(limit_refusal(LimitKind::Concurrency, scope, limit));
        }
        Ok(())
    }

    fn consume(&mut self, scope: &LimitScope) {
        if let Some(usage) = self.usages.get_mut(&scope.name) {
            usage.in_progress += 1;
            if scope.limits.rate.is_some() {
                usage.tokens -= 1.0;
            }
        }
    }
}

/// Returns the capacity of the token bucket; at least 1, or a small rate would admit no call at all.
fn burst_capacity(rate: f64) -> f64 {
    if rate <= 0.0 {
        return 0.0;
    }
    (rate * BURST_TIME.as_secs_f64()).max(1.0)
}

fn refill(usage: &mut ScopeUsage, rate: f64, now: Instant) {
    let elapsed = now.saturating_duration_since(usage.refilled_at);
    usage.refilled_at = now;
    usage.tokens = (usage.tokens + rate * elapsed.as_secs_f64()).min(burst_capacity(rate));
}

fn limit_refusal(kind: LimitKind, scope: &LimitScope, limit: ContractLimit) -> LimitRefusal {
    LimitRefusal {
        kind,
        scope: scope.name.clone(),
        limit: limit.value,
        line: limit.line,
    }
}
