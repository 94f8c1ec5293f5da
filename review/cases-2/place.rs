//! A machine of a case: an upstream and the node beside it.

use {
    crate::{
        Stage,
        node::{Node, NodeSpec},
        store::Store,
        upstream::{Upstream, UpstreamSpec},
    },
    std::{sync::Arc, time::Duration},
};

/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// Calls that an upstream runs at once.
const SLOTS: usize = 12;

/// An upstream and its node.
pub struct Place {
    pub upstream: Arc<Upstream>,
    pub node: Node,
}

/// What stands on a machine.
#[derive(Clone)]
pub struct PlaceSpec {
    pub node: &'static str,
    pub instance: &'static str,
    pub service: &'static str,
    pub version: &'static str,
    pub zone: &'static str,
    pub work: Duration,
    /// Of this many requests one fails with 500; 0 for none.
    pub fails_each: usize,
    pub heartbeat: Duration,
}

impl Default for PlaceSpec {
    fn default() -> Self {
        Self {
            node: "",
            instance: "",
            service: "etalage",
            version: "v1",
            zone: "gent-a",
            work: Duration::from_millis(60),
            fails_each: 0,
            heartbeat: HEARTBEAT,
        }
    }
}

impl Place {
    /// Starts an upstream and its node.
    pub fn start(stage: &Stage, store: &Store, spec: &PlaceSpec) -> Self {
        let upstream = UpstreamSpec {
            instance: spec.instance,
            service: spec.service,
            version: spec.version,
            zone: spec.zone,
            slots: SLOTS,
            work: spec.work,
            fails_each: spec.fails_each,
        };
        let upstream = Upstream::start(upstream, &stage.record);
        let node = NodeSpec {
            name: spec.node,
            zone: spec.zone,
            service: spec.service,
            app: upstream.address,
            store: store.address,
            heartbeat_s: spec.heartbeat.as_secs_f64(),
        };
        let node = Node::start(&node, &stage.folder, &stage.record);
        upstream.beat(node.control, spec.heartbeat);
        Self { upstream, node }
    }

    /// Drains the upstream, lets it serve on for a while and ends it and its node.
    pub fn retire(&self, serves_on: Duration) {
        self.upstream.drain(self.node.control);
        std::thread::sleep(serves_on);
        self.upstream.leave(self.node.control);
        self.node.signal("TERM");
    }
}

/// Returns how many requests the upstreams of these places ran.
pub fn runs_of(places: &[Place]) -> usize {
    places.iter().map(|place| place.upstream.ran()).sum()
}
