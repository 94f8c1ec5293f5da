//! Compares tables and rules with simple reference implementations on generated input.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;

use {
    fixed_seeds::for_each_seed,
    poplarwing::{
        active_config::ActiveConfig,
        apply_gate::{ApplyGate, ConfigSource},
        config::{
            CallLimits, ConfigResource, ConfigSnapshot, ContractLimit, CustomerSpec, MovePolicy,
            MovePreference, RouteSpec, ServiceKey, ServiceSpec, TrafficSplit, VersionedResource,
        },
        membership::{MemberRecord, MemberState, MemberTable, TargetRecord},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Random cases per test.
const CASES: u64 = 1_500;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn key(number: u8) -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: format!("service-{number}"),
    }
}

fn route(name: &str, path: String, methods: Vec<String>) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        path,
        methods,
        idempotent: true,
        keyed: false,
        deadline: Duration::from_secs(1),
        deadline_line: 1,
        body_limit: ContractLimit { value: 0, line: 1 },
        limits: CallLimits::default(),
    }
}

fn service(number: u8, routes: Vec<RouteSpec>) -> ServiceSpec {
    ServiceSpec {
        key: key(number),
        host: format!("Service-{number}.kestrel.example"),
        initial_version: "v1".to_owned(),
        limits: CallLimits::default(),
        routes,
        move_policy: MovePolicy {
            prefer: MovePreference::Safety,
            finish_within: Duration::from_secs(600),
            canary_permille: 50,
            watch_for: Duration::ZERO,
        },
    }
}

/// Returns a snapshot with these services, each with a split that gives all calls to v1.
fn snapshot(version: u64, services: Vec<ServiceSpec>) -> ConfigSnapshot {
    let customer = CustomerSpec {
        customer: "kestrel".to_owned(),
        limits: CallLimits::default(),
    };
    let mut resources = vec![ConfigResource::from(customer)];
    for spec in services {
        resources.push(ConfigResource::Split(TrafficSplit {
            key: spec.key.clone(),
            stable: "v1".to_owned(),
            candidate_permille: 0,
            current_move: None,
        }));
        resources.push(spec.into());
    }
    let entries = resources.into_iter().map(|resource| {
        let entry = VersionedResource {
            changed_at: version,
            resource,
        };
        (entry.resource.name(), entry)
    });
    ConfigSnapshot {
        version,
        accepted_at_ms: 0,
        resources: entries.collect(),
    }
}

/// Returns a record of a member; the numbers are reduced so that nodes and incarnations often collide.
fn record(numbers: (u8, u8, u8, u8, u8)) -> MemberRecord {
    let (node, incarnation, sequence, state, service) = numbers;
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    let target = (service % 4 != 0).then(|| TargetRecord {
        key: key(service % 4),
        version: format!("v{}", incarnation % 2),
        slots: 4,
        connections: 8,
        draining: service > 200,
        demand: 1,
        left: None,
    });
    MemberRecord {
        node: format!("node-{}", node % 5),
        incarnation: u64::from(incarnation % 3),
        sequence: u64::from(sequence % 3),
        state: states[usize::from(state % 4)],
        domain: "welshpool".to_owned(),
        peer_address: address(1),
        forward_address: address(2),
        target,
        applied_version: u64::from(sequence),
    }
}

/// Guards against a member table that keeps a record other than the newest of a node, such as after records
/// arrived out of order, and against an index of targets that misses a node or lists a removed one.
#[test]
fn member_table_keeps_the_newest_record_of_each_node() {
    for_each_seed(CASES, |numbers: Vec<(u8, u8, u8, u8, u8)>| {
        let mut table = MemberTable::default();
        let mut reference: BTreeMap<String, MemberRecord> = BTreeMap::new();
        let mut floors: BTreeMap<String, u64> = BTreeMap::new();

        for record in numbers.into_iter().map(record) {
            table.merge(record.clone());
            let floor = floors.entry(record.node.clone()).or_default();
            *floor = record.applied_version.max(*floor);
            let rank = |record: &MemberRecord| (record.incarnation, record.state, record.sequence);
            let present = reference.get(&record.node);
            if present.is_none_or(|present| rank(&record) > rank(present)) {
                reference.insert(record.node.clone(), record);
            }
        }

        for (node, record) in &reference {
            let mut found = table.get(node).expect("the node is known").clone();
            found.applied_version = record.applied_version;
            assert_eq!(&found, record);
            assert_eq!(table.floor_of(node), floors[node]);
        }
        for number in 1..4 {
            let expected: Vec<&String> = reference
                .values()
                .filter(|record| record.is_available())
                .filter(|record| record.target.as_ref().map(|t| &t.key) == Some(&key(number)))
                .map(|record| &record.node)
                .collect();
            let targets = table.targets_of(&key(number));
            let found: Vec<&String> = targets.iter().map(|target| &target.node).collect();
            assert_eq!(found, expected);
        }
    });
}

/// Guards against a gate that applies an invalid or older version or one below the floor, or rejects any other.
#[test]
fn apply_gate_accepts_only_valid_newer_versions_at_or_above_the_floor() {
    for_each_seed(CASES, |offers: Vec<(u8, bool, bool)>| {
        let gate = ApplyGate::default();
        let mut floor = None;
        let mut in_force = 0;

        for (number, is_valid, raises_floor) in offers {
            let version = u64::from(number % 32);
            if raises_floor {
                gate.set_floor(version);
                floor = Some(version.max(floor.unwrap_or(0)));
                continue;
            }
            let mut offered = snapshot(version, vec![service(1, Vec::new())]);
            if !is_valid {
                offered.resources.remove("customer/kestrel");
            }
            let expected =
                is_valid && version > in_force && floor.is_some_and(|floor| version >= floor);

            let applied = gate.try_apply(offered, &ConfigSource::Store).is_ok();

            assert_eq!(applied, expected);
            in_force = if applied { version } else { in_force };
            assert_eq!(gate.version(), in_force);
            let is_ready = in_force > 0 && floor.is_some_and(|floor| in_force >= floor);
            assert_eq!(gate.is_ready(), is_ready);
        }
    });
}

/// Guards against a chain of deltas that results in a configuration different from the full snapshot.
#[test]
fn deltas_lead_to_the_same_configuration_as_snapshots() {
    for_each_seed(CASES / 3, |steps: Vec<Vec<(u8, u8)>>| {
        let mut from_deltas = ConfigSnapshot::default();
        let mut full = ConfigSnapshot::default();
        for (index, changes) in steps.iter().take(8).enumerate() {
            let services: BTreeMap<u8, ServiceSpec> = changes
                .iter()
                .map(|(number, path)| {
                    let routes = vec![route("only", format!("/{path}"), Vec::new())];
                    (number % 6, service(number % 6, routes))
                })
                .collect();
            let next = snapshot(index as u64 + 1, services.into_values().collect());
            let delta = next.delta_from(&full);

            from_deltas = from_deltas.with_delta(&delta).expect("the delta fits");

            assert_eq!(from_deltas, next);
            assert_eq!(from_deltas.content_hash(), next.content_hash());
            full = next;
        }
    });
}

/// Random input for a route: both segments of its path, and whether it allows only GET.
type PathNumbers = (u8, u8, bool);

/// Finds the route of a call by a scan over all routes of all services.
fn scan_for_route<'a>(
    snapshot: &'a ConfigSnapshot,
    host: &str,
    method: &str,
    path: &str,
) -> Option<&'a RouteSpec> {
    let segments = |text: &str| -> Vec<String> {
        text.split('/')
            .filter(|segment| !segment.is_empty())
            .map(str::to_owned)
            .collect()
    };
    let wanted = segments(path);
    snapshot
        .services()
        .filter(|spec| spec.host.to_lowercase() == host.to_lowercase())
        .flat_map(|spec| &spec.routes)
        .filter(|route| route.methods.is_empty() || route.methods.contains(&method.to_owned()))
        .filter(|route| wanted.starts_with(&segments(&route.path)))
        .max_by_key(|route| segments(&route.path).len())
}

/// Guards against a host index that finds a route other than the one with the longest matching prefix.
#[test]
fn route_lookup_by_host_matches_a_scan_of_all_routes() {
    for_each_seed(
        CASES,
        |(paths, called): (Vec<PathNumbers>, (PathNumbers, u8))| {
            let path_of = |first: u8, second: u8| match second % 3 {
                0 => format!("/p{}", first % 3),
                other => format!("/p{}/q{other}", first % 3),
            };
            let mut routes: BTreeMap<String, RouteSpec> = BTreeMap::new();
            for (first, second, reads_only) in paths {
                let path = path_of(first, second);
                let methods = if reads_only {
                    vec!["GET".to_owned()]
                } else {
                    Vec::new()
                };
                routes.insert(path.clone(), route(&path, path.clone(), methods));
            }
            let plain = snapshot(
                1,
                vec![
                    service(1, routes.into_values().collect()),
                    service(2, Vec::new()),
                ],
            );
            let config = ActiveConfig::from(plain.clone());
            let ((first, second, reads), host) = called;
            let host = format!("service-{}.KESTREL.example", host % 3);
            let path = format!("{}/rest", path_of(first, second));
            let method = if reads { "GET" } else { "POST" };

            let found = config
                .find_route(&host, method, &path)
                .map(|(_, route)| route);

            assert_eq!(found, scan_for_route(&plain, &host, method, &path));
        },
    );
}
