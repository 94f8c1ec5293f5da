//! Admission of a call at its target's node: limits of the customer, then a slot of the target.

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

/// Time for which shares of limits are kept before they follow the demands again.
const SHARE_LIFETIME: Duration = Duration::from_millis(250);

/// A call that may be given to the target.
#[derive(Debug)]
pub struct AdmittedCall {
    /// The target.
    pub handle: Arc<TargetHandle>,
    /// Slot of the call.
    pub permit: PoolPermit,
    /// Limits under which the call was admitted.
    pub scopes: Arc<[LimitScope]>,
    /// Route of the call.
    pub route: RouteSpec,
    /// When the answer must have ended.
    pub deadline: Instant,
}

/// Admits a call by the customer's limits and the target's slots.
pub async fn admit_call(
    context: &Arc<CallContext>,
    call: &TargetCall,
) -> Result<AdmittedCall, CallRefusal> {
    context.target.note_demand(call.started);
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
        return Err(late_refusal(call, &route));
    }
    Ok(AdmittedCall {
        handle,
        permit,
        scopes: admission.keep(),
        route,
        deadline,
    })
}

fn late_refusal(call: &TargetCall, route: &RouteSpec) -> CallRefusal {
    let message = "wait for a slot of the target: the deadline passed";
    CallRefusal::not_run(504, "deadline", message)
        .at_line(&call.hop.key.customer, route.deadline_line)
}

/// An admission under limits that is taken back when the call gets no slot or its caller goes away.
struct LimitAdmission {
    context: Arc<CallContext>,
    scopes: Option<Arc<[LimitScope]>>,
}

impl LimitAdmission {
    fn keep(&mut self) -> Arc<[LimitScope]> {
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
    let refuse = |reason: &'static str, found: &str| {
        let message = format!("find the target of node {node}: {found}");
        CallRefusal::not_run(503, reason, message)
    };
    let handle = context
        .target
        .handle()
        .ok_or_else(|| refuse("no-target", "none has announced itself"))?;
    let announced = &handle.announced;
    if announced.key() != call.hop.key || announced.version != call.hop.version {
        return Err(refuse("other-target", "it serves another version"));
    }
    if announced.draining {
        return Err(refuse("target-draining", "it asked for no new work"));
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
            "find route {} of {} in configuration version {}",
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
    let admitted = context.board.limits.lock().admit(scopes, call.started);
    admitted.map_err(|refusal| limit_refusal(&call.hop.key, &refusal))
}

fn limit_refusal(key: &ServiceKey, refusal: &LimitRefusal) -> CallRefusal {
    CallRefusal::not_run(429, refusal.kind.to_string(), refusal.to_string())
        .at_line(&key.customer, refusal.line)
}

/// Scopes computed lately for one route.
#[derive(Debug)]
struct CachedScopes {
    scopes: Arc<[LimitScope]>,
    version: ConfigVersion,
    computed_at: Instant,
}

/// Route of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct RouteKey {
    service: ServiceKey,
    route: RouteName,
}

/// This node's shares of limits, computed anew when they have become old.
#[derive(Debug, Default)]
pub struct ShareCache {
    cached: Mutex<HashMap<RouteKey, CachedScopes>>,
}

impl ShareCache {
    /// Returns the scopes that a call must meet.
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
        if let Some(scopes) = self.fresh(&key, snapshot.version, call.started) {
            return scopes;
        }
        let scopes: Arc<[LimitScope]> = compute_scopes(context, snapshot, call, route).into();
        let entry = CachedScopes {
            scopes: scopes.clone(),
            version: snapshot.version,
            computed_at: call.started,
        };
        self.cached.lock().insert(key, entry);
        scopes
    }

    fn fresh(
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
    let own = context.settings.node.id.as_str();
    let demands = demands_of_customer(context, key, call.started);
    let customer_limits = snapshot.customer(&key.customer).map(|spec| spec.limits);
    let service_limits = snapshot.service(key).map(|spec| spec.limits);
    vec![
        LimitScope::new(
            key.customer.clone(),
            customer_limits.unwrap_or_default(),
            own,
            &demands.customer,
        ),
        LimitScope::new(
            key.to_string(),
            service_limits.unwrap_or_default(),
            own,
            &demands.service,
        ),
        LimitScope::new(
            format!("{key}/{}", route.name),
            route.limits,
            own,
            &demands.service,
        ),
    ]
}

/// Demands at the nodes of a customer's targets, and at those of one service among them.
struct CustomerDemands {
    customer: Vec<NodeDemand>,
    service: Vec<NodeDemand>,
}

fn demands_of_customer(context: &CallContext, key: &ServiceKey, now: Instant) -> CustomerDemands {
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
        let Some(demand) = shared_demand(record, key) else {
            continue;
        };
        if record.target.as_ref().is_some_and(|t| &t.key == key) {
            demands.service.push(demand.clone());
        }
        demands.customer.push(demand);
    }
    demands
}

fn shared_demand(record: &MemberRecord, key: &ServiceKey) -> Option<NodeDemand> {
    let target = record.target.as_ref()?;
    let shares = record.is_available() && target.key.customer == key.customer;
    shares.then(|| NodeDemand {
        node: record.node.clone(),
        demand: target.demand,
    })
}
