//! Admission of a call at its target's node: limits of the customer, then a slot of the target.
//!
//! Limits apply to the whole fleet. Each node with a target of the customer enforces its share of them,
//! which depends on the demand (average calls per second) at all these nodes.

use {
    super::{TargetCall, target_deadline},
    crate::{
        call_events::CallRefusal,
        call_proxy::CallContext,
        config::{ConfigSnapshot, RouteSpec, ServiceKey},
        ids::{ConfigVersion, RouteName},
        limit_share::{LimitRefusal, LimitScope, NodeDemand},
        membership::MemberRecord,
        slot_gate::PoolPermit,
        target_client::TargetHandle,
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which computed shares of limits are reused before they are recomputed from current demands.
const SHARE_LIFETIME: Duration = Duration::from_millis(250);

/// A call that may be sent to the target, with what it occupies.
#[derive(Debug)]
pub struct AdmittedCall {
    /// Target to send the call to.
    pub handle: Arc<TargetHandle>,
    /// Slot that the call occupies.
    pub permit: PoolPermit,
    /// Limits that count the call as in progress.
    pub scopes: Arc<[LimitScope]>,
    /// Configuration of the call's route.
    pub route: RouteSpec,
    /// End of the time allowed for the whole response.
    pub deadline: Instant,
}

/// Admits a call under the customer's limits and waits for a slot of the target.
pub async fn admit_call(
    context: &Arc<CallContext>,
    call: &TargetCall,
) -> Result<AdmittedCall, CallRefusal> {
    context.target.record_call(call.arrived_at);
    let handle = find_target(context, call)?;
    let snapshot = context.board.gate.current();
    let route = find_route(&snapshot, call)?;
    let deadline = target_deadline(call, route.deadline);
    let scopes = context.shares.scopes(context, &snapshot, call, &route);
    admit_by_limits(context, call, &scopes)?;
    let mut admission = LimitAdmission {
        context: context.clone(),
        scopes: Some(scopes),
    };
    let remaining = deadline.saturating_duration_since(Instant::now());
    let permit = handle.gate.acquire(remaining).await.map_err(|refusal| {
        let message = format!("wait for a slot of the target: {refusal}");
        CallRefusal::not_run(503, refusal.to_string(), message)
    })?;
    if Instant::now() >= deadline {
        return Err(deadline_refusal(call, &route));
    }
    Ok(AdmittedCall {
        handle,
        permit,
        scopes: admission.commit(),
        route,
        deadline,
    })
}

fn deadline_refusal(call: &TargetCall, route: &RouteSpec) -> CallRefusal {
    let message = "wait for a slot of the target: the deadline passed";
    CallRefusal::not_run(504, "deadline", message)
        .with_contract_line(&call.hop.key.customer, route.deadline_line)
}

/// An admission under limits, refunded on drop unless committed.
///
/// It is dropped uncommitted when the call gets no slot or its caller disconnects during the wait.
struct LimitAdmission {
    context: Arc<CallContext>,
    scopes: Option<Arc<[LimitScope]>>,
}

impl LimitAdmission {
    fn commit(&mut self) -> Arc<[LimitScope]> {
        self.scopes.take().unwrap_or_default()
    }
}

impl Drop for LimitAdmission {
    fn drop(&mut self) {
        if let Some(scopes) = self.scopes.take() {
            self.context.board.limits.lock().refund(&scopes);
        }
    }
}

fn find_target(context: &CallContext, call: &TargetCall) -> Result<Arc<TargetHandle>, CallRefusal> {
    let node = &context.settings.node.id;
    let refuse = |reason: &'static str, cause: &str| {
        let message = format!("find the target of node {node}: {cause}");
        CallRefusal::not_run(503, reason, message)
    };
    let handle = context
        .target
        .handle()
        .ok_or_else(|| refuse("no-target", "no target has announced itself"))?;
    let announced = &handle.announced;
    if announced.key() != call.hop.key || announced.version != call.hop.version {
        return Err(refuse(
            "other-target",
            "the target serves another service or version",
        ));
    }
    if announced.draining {
        return Err(refuse("target-draining", "the target is draining"));
    }
    Ok(handle)
}

fn find_route(snapshot: &ConfigSnapshot, call: &TargetCall) -> Result<RouteSpec, CallRefusal> {
    let service = snapshot.service(&call.hop.key);
    let route = service.and_then(|spec| {
        let mut routes = spec.routes.iter();
        routes.find(|route| route.name == call.hop.route)
    });
    route.cloned().ok_or_else(|| {
        let message = format!(
            "find route {} of {}: not in configuration version {}",
            call.hop.route, call.hop.key, snapshot.version
        );
        CallRefusal::not_run(503, "route-unknown-here", message)
    })
}

fn admit_by_limits(
    context: &CallContext,
    call: &TargetCall,
    scopes: &[LimitScope],
) -> Result<(), CallRefusal> {
    let admitted = context.board.limits.lock().admit(scopes, call.arrived_at);
    admitted.map_err(|refusal| limit_refusal(&call.hop.key, &refusal))
}

fn limit_refusal(key: &ServiceKey, refusal: &LimitRefusal) -> CallRefusal {
    CallRefusal::not_run(429, refusal.kind.to_string(), refusal.to_string())
        .with_contract_line(&key.customer, refusal.line)
}

/// Scopes of one route and when they were computed.
#[derive(Debug)]
struct CachedScopes {
    scopes: Arc<[LimitScope]>,
    version: ConfigVersion,
    computed_at: Instant,
}

/// Key of the cache: a route of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct RouteKey {
    service: ServiceKey,
    route: RouteName,
}

/// Cache of this node's shares of limits by route; entries expire after `SHARE_LIFETIME`.
#[derive(Debug, Default)]
pub struct ShareCache {
    cached: Mutex<HashMap<RouteKey, CachedScopes>>,
}

impl ShareCache {
    /// Returns the scopes that limit a call: its customer, service and route, with this node's shares.
    ///
    /// They are computed anew after a change of the configuration or once they have expired.
    pub fn scopes(
        &self,
        context: &CallContext,
        snapshot: &ConfigSnapshot,
        call: &TargetCall,
        route: &RouteSpec,
    ) -> Arc<[LimitScope]> {
        let key = RouteKey {
            service: call.hop.key.clone(),
            route: call.hop.route.clone(),
        };
        if let Some(scopes) = self.find_fresh(&key, snapshot.version, call.arrived_at) {
            return scopes;
        }
        let scopes: Arc<[LimitScope]> = compute_scopes(context, snapshot, call, route).into();
        let entry = CachedScopes {
            scopes: scopes.clone(),
            version: snapshot.version,
            computed_at: call.arrived_at,
        };
        self.cached.lock().insert(key, entry);
        scopes
    }

    fn find_fresh(
        &self,
        key: &RouteKey,
        version: ConfigVersion,
        now: Instant,
    ) -> Option<Arc<[LimitScope]>> {
        let cached = self.cached.lock();
        let entry = cached.get(key)?;
        let age = now.saturating_duration_since(entry.computed_at);
        let valid = entry.version == version && age < SHARE_LIFETIME;
        valid.then(|| entry.scopes.clone())
    }
}

fn compute_scopes(
    context: &CallContext,
    snapshot: &ConfigSnapshot,
    call: &TargetCall,
    route: &RouteSpec,
) -> Vec<LimitScope> {
    let key = &call.hop.key;
    let own_node = context.settings.node.id.as_str();
    let demands = collect_demands(context, key, call.arrived_at);
    let customer_limits = snapshot.customer(&key.customer).map(|spec| spec.limits);
    let service_limits = snapshot.service(key).map(|spec| spec.limits);
    vec![
        LimitScope::new(
            key.customer.clone(),
            customer_limits.unwrap_or_default(),
            own_node,
            &demands.customer,
        ),
        LimitScope::new(
            key.to_string(),
            service_limits.unwrap_or_default(),
            own_node,
            &demands.service,
        ),
        LimitScope::new(
            format!("{key}/{}", route.name),
            route.limits,
            own_node,
            &demands.service,
        ),
    ]
}

/// Demands at the nodes that share the limits of a customer.
struct CustomerDemands {
    /// Nodes with a target of the customer.
    customer: Vec<NodeDemand>,
    /// Those whose target serves the called service.
    service: Vec<NodeDemand>,
}

fn collect_demands(context: &CallContext, key: &ServiceKey, now: Instant) -> CustomerDemands {
    let own = NodeDemand {
        node: context.settings.node.id.clone(),
        demand: context.target.demand(now),
    };
    let mut demands = CustomerDemands {
        customer: vec![own.clone()],
        service: vec![own.clone()],
    };
    let members = context.board.members.lock();
    for record in members.iter().filter(|record| record.node != own.node) {
        let Some(demand) = peer_demand(record, key) else {
            continue;
        };
        if record.target.as_ref().is_some_and(|t| &t.key == key) {
            demands.service.push(demand.clone());
        }
        demands.customer.push(demand);
    }
    demands
}

/// Returns the demand at another node; none unless it has an available target of the same customer.
fn peer_demand(record: &MemberRecord, key: &ServiceKey) -> Option<NodeDemand> {
    let target = record.target.as_ref()?;
    let shares_limits = record.is_available() && target.key.customer == key.customer;
    shares_limits.then(|| NodeDemand {
        node: record.node.clone(),
        demand: target.demand,
    })
}
