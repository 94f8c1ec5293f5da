//! Rate and concurrency limits of a customer, divided among the nodes of its targets.

use {
    crate::config::{CallLimits, ContractLimit},
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

/// Returns this node's share of a limit.
///
/// Shares computed from one view of the demands sum up to the limit, so overshoot is bounded by the
/// difference between the nodes' views. `others` holds the demands of the other nodes; 0 means not yet
/// known. An unknown demand counts as equal to the own, or nodes that all restarted together would each
/// take nearly the whole limit until they hear from each other.
pub fn share_of(limit: f64, own_demand: f64, others: &[f64]) -> f64 {
    let count = (others.len() + 1) as f64;
    let assumed = |demand: &f64| if *demand > 0.0 { *demand } else { own_demand };
    let total = own_demand + others.iter().map(assumed).sum::<f64>();
    if total <= 0.0 {
        return limit / count;
    }
    let equal = (1.0 - DEMAND_PART) * limit / count;
    equal + DEMAND_PART * limit * own_demand / total
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

/// One scope whose limits a call must meet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitScope {
    /// Name of the scope: customer, customer/service or customer/service/route.
    pub name: String,
    /// Limits of the scope over the whole fleet.
    pub limits: CallLimits,
    /// Demand in calls per second at each other node that shares the limits; 0 means not yet known.
    pub other_demands: Vec<u32>,
}

/// Use of one scope by this node.
#[derive(Debug)]
struct ScopeUse {
    tokens: f64,
    refilled_at: Instant,
    in_progress: u32,
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
    pub fn admit(
        &mut self,
        scopes: &[LimitScope],
        own_demand: u32,
        now: Instant,
    ) -> Result<(), LimitRefusal> {
        for scope in scopes {
            self.check(scope, own_demand, now)?;
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

    fn check(
        &mut self,
        scope: &LimitScope,
        own_demand: u32,
        now: Instant,
    ) -> Result<(), LimitRefusal> {
        let others: Vec<f64> = scope
            .other_demands
            .iter()
            .map(|demand| f64::from(*demand))
            .collect();
        let share =
            |limit: ContractLimit| share_of(limit.value as f64, f64::from(own_demand), &others);
        let usage = self
            .uses
            .entry(scope.name.clone())
            .or_insert_with(|| ScopeUse {
                tokens: scope.limits.rate.map_or(0.0, share),
                refilled_at: now,
                in_progress: 0,
            });
        if let Some(limit) = scope.limits.rate {
            refill(usage, share(limit), now);
            if usage.tokens < 1.0 {
                return Err(refusal(LimitKind::Rate, scope, limit));
            }
        }
        if let Some(limit) = scope.limits.concurrency {
            // Every node admits at least one call, or a small limit would starve some nodes for good.
            let allowed = share(limit).floor().max(1.0);
            if f64::from(usage.in_progress) >= allowed {
                return Err(refusal(LimitKind::Concurrency, scope, limit));
            }
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

fn refill(usage: &mut ScopeUse, rate: f64, now: Instant) {
    let elapsed = now.saturating_duration_since(usage.refilled_at);
    usage.refilled_at = now;
    let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
    usage.tokens = (usage.tokens + rate * elapsed.as_secs_f64()).min(burst);
}

fn refusal(kind: LimitKind, scope: &LimitScope, limit: ContractLimit) -> LimitRefusal {
    LimitRefusal {
        kind,
        scope: scope.name.clone(),
        limit: limit.value,
        line: limit.line,
    }
}
