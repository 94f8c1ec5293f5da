//! Rate and concurrency limits of a customer, divided among the nodes of its targets.

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

/// Part of a limit that follows demand; the rest is divided equally.
const DEMAND_PART: f64 = 0.8;

/// Time over which a node may save up unused rate.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Demand at one of the nodes that share a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeDemand {
    /// Node beside a target.
    pub node: NodeId,
    /// Calls per second that reached the node lately, at least 1; 0 means not yet known.
    pub demand: u32,
}

/// Returns one node's share of a limit.
///
/// Shares computed from one view of the demands sum up to the limit, so overshoot is bounded by the
/// difference between the nodes' views. `total_demand` and `nodes` include the node itself.
pub fn share_of(limit: f64, own_demand: f64, total_demand: f64, nodes: usize) -> f64 {
    let count = nodes.max(1) as f64;
    if total_demand <= 0.0 {
        return limit / count;
    }
    let equal = (1.0 - DEMAND_PART) * limit / count;
    equal + DEMAND_PART * limit * own_demand / total_demand
}

/// Returns the whole-numbered shares of a limit, in the order of `demands`.
///
/// Each share is rounded down and what remains goes to the largest fractions, so the shares sum up to
/// exactly the limit. Rounding every share down would waste, and raising each to 1 would exceed, a
/// limit that is small against the number of nodes.
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
    // Rounding errors of the sum may leave a remainder of up to the number of nodes either way.
    let given: u64 = shares.iter().sum();
    let remainder = limit.saturating_sub(given) as usize;
    for index in order.iter().cycle().take(remainder.min(2 * demands.len())) {
        shares[*index] += 1;
    }
    shares
}

/// Which limit a call ran into.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LimitKind {
    /// Calls per second.
    #[display("rate-limit")]
    Rate,
    /// Calls in progress at once.
    #[display("concurrency-limit")]
    Concurrency,
}

/// A call that exceeds a limit of its customer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{kind} of {scope} is {limit} by contract line {line}")]
pub struct LimitRefusal {
    /// Which limit was exceeded.
    pub kind: LimitKind,
    /// Customer, service or route that the limit belongs to.
    pub scope: String,
    /// Limit over the whole fleet.
    pub limit: u64,
    /// Contract line that sets it.
    pub line: u32,
}

/// One scope whose limits a call must meet, with this node's shares of them.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitScope {
    /// Name of the scope: customer, customer/service or customer/service/route.
    pub name: String,
    /// Limits of the scope over the whole fleet.
    pub limits: CallLimits,
    /// Calls per second that this node may admit; meaningless without a rate limit.
    pub rate_share: f64,
    /// Calls in progress that this node may admit; meaningless without a concurrency limit.
    pub concurrency_share: u64,
}

impl LimitScope {
    /// Returns a scope with the shares of node `own`, which must be among `demands`.
    pub fn new(name: String, limits: CallLimits, own: &str, demands: &[NodeDemand]) -> Self {
        let place = demands.iter().position(|node| node.node == own);
        let own_demand = place.map_or(0, |place| demands[place].demand).max(1);
        let demands = &with_unknown_as(own_demand, demands);
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
            place.map_or(0, |place| whole_shares(limit.value, demands)[place])
        });
        Self {
            name,
            limits,
            rate_share,
            concurrency_share,
        }
    }
}

/// Counts an unknown demand as equal to the own, or nodes that all restarted together would each take nearly
/// the whole limit until they hear from each other.
fn with_unknown_as(own_demand: u32, demands: &[NodeDemand]) -> Vec<NodeDemand> {
    let mut known = demands.to_vec();
    for node in known.iter_mut().filter(|node| node.demand == 0) {
        node.demand = own_demand;
    }
    known
}

/// Use of one scope by this node.
#[derive(Debug)]
struct ScopeUse {
    tokens: f64,
    refilled_at: Instant,
    in_progress: u64,
}

/// Uses of limits by this node.
///
/// Invariant: `in_progress` of a scope equals the calls admitted and not yet released.
#[derive(Debug, Default)]
pub struct LimitTable {
    uses: HashMap<String, ScopeUse>,
}

impl LimitTable {
    /// Admits a call under all scopes, or under none.
    pub fn admit(&mut self, scopes: &[LimitScope], now: Instant) -> Result<(), LimitRefusal> {
        for scope in scopes {
            self.check(scope, now)?;
        }
        for scope in scopes {
            self.take(scope);
        }
        Ok(())
    }

    /// Releases a call admitted under these scopes.
    pub fn release<'a>(&mut self, scopes: impl IntoIterator<Item = &'a str>) {
        for name in scopes {
            if let Some(usage) = self.uses.get_mut(name) {
                usage.in_progress = usage.in_progress.saturating_sub(1);
            }
        }
    }

    /// Takes back the admission of a call that was then refused for another reason.
    pub fn refund(&mut self, scopes: &[LimitScope]) {
        for scope in scopes {
            if let Some(usage) = self.uses.get_mut(&scope.name) {
                usage.in_progress = usage.in_progress.saturating_sub(1);
                usage.tokens = (usage.tokens + 1.0).min(burst_of(scope.rate_share));
            }
        }
    }

    /// Returns the calls in progress under a scope.
    pub fn in_progress(&self, scope: &str) -> u64 {
        self.uses.get(scope).map_or(0, |usage| usage.in_progress)
    }

    fn check(&mut self, scope: &LimitScope, now: Instant) -> Result<(), LimitRefusal> {
        let burst = burst_of(scope.rate_share);
        let usage = self
            .uses
            .entry(scope.name.clone())
            .or_insert_with(|| ScopeUse {
                tokens: burst,
                refilled_at: now,
                in_progress: 0,
            });
        if let Some(limit) = scope.limits.rate {
            refill(usage, scope.rate_share, now);
            if usage.tokens < 1.0 {
                return Err(refusal(LimitKind::Rate, scope, limit));
            }
        }
        if let Some(limit) = scope.limits.concurrency
            && usage.in_progress >= scope.concurrency_share
        {
            return Err(refusal(LimitKind::Concurrency, scope, limit));
        }
        Ok(())
    }

    fn take(&mut self, scope: &LimitScope) {
        if let Some(usage) = self.uses.get_mut(&scope.name) {
            usage.in_progress += 1;
            if scope.limits.rate.is_some() {
                usage.tokens -= 1.0;
            }
        }
    }
}

/// Returns the tokens a node may save up; at least one, or a small rate would admit no call at all.
fn burst_of(rate: f64) -> f64 {
    if rate <= 0.0 {
        return 0.0;
    }
    (rate * BURST_TIME.as_secs_f64()).max(1.0)
}

fn refill(usage: &mut ScopeUse, rate: f64, now: Instant) {
    let elapsed = now.saturating_duration_since(usage.refilled_at);
    usage.refilled_at = now;
    usage.tokens = (usage.tokens + rate * elapsed.as_secs_f64()).min(burst_of(rate));
}

fn refusal(kind: LimitKind, scope: &LimitScope, limit: ContractLimit) -> LimitRefusal {
    LimitRefusal {
        kind,
        scope: scope.name.clone(),
        limit: limit.value,
        line: limit.line,
    }
}
