//! Services and kinds of candidate version of the simulated rollouts.

use {
    poplarwing::config::{MovePolicy, MovePreference},
    std::time::Duration,
};

/// A service with its load and its rules for rollouts.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name in the printed figures.
    pub name: &'static str,
    /// Targets of each version.
    pub targets: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Mean calls per second over all routes.
    pub calls_per_second: f64,
    /// Routes; their shares add up to 1.0.
    pub routes: Vec<SiteRoute>,
    /// Rules for rollouts ("moves") from the customer's contract.
    pub policy: MovePolicy,
}

/// A route of a service.
#[derive(Clone, Debug)]
pub struct SiteRoute {
    /// Name of the route.
    pub name: &'static str,
    /// Share of the service's calls, 0.0 to 1.0.
    pub share: f64,
    /// Median latency in milliseconds.
    pub median_ms: f64,
}

fn route(name: &'static str, share: f64, median_ms: f64) -> SiteRoute {
    SiteRoute {
        name,
        share,
        median_ms,
    }
}

/// Returns the services, with the sizes that section 1.6 of the design document gives.
pub fn sites() -> Vec<Site> {
    let policy = |prefer| MovePolicy {
        prefer,
        finish_within: Duration::from_secs(600),
        canary_permille: 50,
        watch_for: Duration::from_secs(120),
    };
    let kestrel = Site {
        name: "kestrel",
        targets: 4,
        slots: 6,
        calls_per_second: 12.0,
        routes: vec![
            route("jobs", 0.7, 60.0),
            route("signoff", 0.2, 90.0),
            route("survey", 0.1, 400.0),
        ],
        policy: policy(MovePreference::Safety),
    };
    let vanderhaegen = Site {
        name: "vanderhaegen",
        targets: 4,
        slots: 12,
        calls_per_second: 90.0,
        routes: vec![
            route("lookup", 0.8, 25.0),
            route("order", 0.15, 60.0),
            route("photo", 0.05, 250.0),
        ],
        policy: policy(MovePreference::Punctuality),
    };
    vec![kestrel, vanderhaegen]
}

/// The fault of a bad candidate.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Probability that a call fails because of the fault.
    pub failure: f64,
    /// Factor of the latency of slow calls; 1.0 if the fault slows none down.
    pub slowdown: f64,
    /// Share of calls that are slowed down, 0.0 to 1.0.
    pub slow_share: f64,
    /// When the fault has an effect.
    pub when: FaultTime,
    /// Whether the fault concerns only the last route of the service.
    pub last_route_only: bool,
}

/// When a fault has an effect.
#[derive(Clone, Copy, Debug)]
pub enum FaultTime {
    /// From the first call.
    AtOnce,
    /// From a random time of the rollout.
    Later,
    /// While a target's call rate is above this share of its rate with all calls on the candidate.
    UnderLoad(f64),
}

/// A kind of candidate and the disturbances of its environment.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// Name in the printed figures.
    pub name: &'static str,
    /// Fault of the candidate; none for a good one.
    pub fault: Option<Fault>,
    /// Whether the first calls of each new target are slow.
    pub cold_start: bool,
    /// Whether noisy neighbours temporarily slow down single targets of both versions.
    pub noisy_neighbours: bool,
    /// Whether common faults temporarily make calls of both versions slow or fail.
    pub common_cause: bool,
    /// Whether one candidate target crashes once, alone or with its node.
    pub target_crash: bool,
}

impl Scenario {
    /// Returns whether the candidate is bad.
    pub fn is_bad(&self) -> bool {
        self.fault.is_some()
    }
}

fn good(name: &'static str) -> Scenario {
    Scenario {
        name,
        ..Scenario::default()
    }
}

/// Returns a scenario with a fault on all routes. Bad candidates also have cold starts, which must not hide
/// the fault.
fn bad(name: &'static str, failure: f64, slowdown: f64, when: FaultTime) -> Scenario {
    Scenario {
        name,
        cold_start: true,
        fault: Some(Fault {
            failure,
            slowdown,
            slow_share: 1.0,
            when,
            last_route_only: false,
        }),
        ..Scenario::default()
    }
}

fn bad_on_one_route(name: &'static str, failure: f64, slowdown: f64) -> Scenario {
    Scenario {
        name,
        cold_start: true,
        fault: Some(Fault {
            failure,
            slowdown,
            slow_share: 1.0,
            when: FaultTime::AtOnce,
            last_route_only: true,
        }),
        ..Scenario::default()
    }
}

fn bad_tail(name: &'static str, slowdown: f64, slow_share: f64) -> Scenario {
    let mut scenario = bad(name, 0.0, slowdown, FaultTime::AtOnce);
    if let Some(fault) = &mut scenario.fault {
        fault.slow_share = slow_share;
    }
    scenario
}

/// Returns the kinds of candidate.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        good("good_plain"),
        Scenario {
            cold_start: true,
            ..good("good_cold_start")
        },
        Scenario {
            noisy_neighbours: true,
            ..good("good_noisy_neighbours")
        },
        Scenario {
            common_cause: true,
            ..good("good_common_cause")
        },
        Scenario {
            target_crash: true,
            ..good("good_target_crash")
        },
        Scenario {
            cold_start: true,
            noisy_neighbours: true,
            common_cause: true,
            target_crash: true,
            ..good("good_everything")
        },
        bad("fails_all_at_once", 1.0, 1.0, FaultTime::AtOnce),
        bad("fails_some_at_once", 0.2, 1.0, FaultTime::AtOnce),
        bad("fails_later", 0.3, 1.0, FaultTime::Later),
        bad("slow_at_once", 0.0, 3.0, FaultTime::AtOnce),
        bad("slow_later", 0.0, 3.0, FaultTime::Later),
        bad("slow_under_load", 0.0, 3.0, FaultTime::UnderLoad(0.6)),
        bad("fails_under_load", 0.2, 1.0, FaultTime::UnderLoad(0.6)),
        bad_on_one_route("fails_on_one_route", 0.5, 1.0),
        bad_on_one_route("slow_on_one_route", 0.0, 3.0),
        bad_tail("slow_tail", 10.0, 0.1),
        bad("small_regression", 0.03, 1.3, FaultTime::AtOnce),
    ]
}
