//! Rules of the call path that need no servers, mostly checked with generated values.

#[path = "call_support/cluster.rs"]
mod cluster;
#[path = "call_support/values.rs"]
mod values;

use {
    self::{
        cluster::{limit, route, running_move, service_key, snapshot_of, test_config},
        values::for_each_value,
    },
    bytes::Bytes,
    futures::{FutureExt, stream},
    http::{HeaderMap, HeaderName, HeaderValue},
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    poplarwing::{
        active_config::ActiveConfig,
        call_events::{CallOutcome, CallRefusal},
        call_proxy::{
            body::{BodyError, REPLAY_PREFIX_BYTES, ReplayBuffer},
            headers::{HopRecord, parse_refusal, refusal_response, strip_headers},
        },
        config::{CallLimits, MovePhase, ServiceKey},
        limit_share::{LimitScope, LimitTable, NodeDemand, share_of, whole_shares},
        membership::TargetEndpoint,
        retry_budget::{AttemptOutcome, BudgetTable, RetryBudget, may_retry},
        route_table::{
            AttemptEnd, LoadTable, TargetReason, VersionReason, choose_target, choose_version,
            fallback_version, is_ambiguous_path, restrict_candidate_targets,
        },
        slot_gate::PermitPool,
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        slice,
        time::{Duration, Instant},
    },
};

fn demands(values: &[u16]) -> Vec<NodeDemand> {
    let nodes = values.iter().enumerate().map(|(index, demand)| NodeDemand {
        node: format!("n{index}"),
        demand: u32::from(*demand),
    });
    nodes.collect()
}

/// Guards against nodes that together admit more, or fewer, calls than the contract's limit.
#[test]
fn shares_of_a_limit_sum_up_to_it() {
    for_each_value(|(limit, values): (u32, Vec<u16>)| {
        let demands = demands(&values[..values.len().min(12)]);
        if demands.is_empty() {
            return;
        }
        let shares = whole_shares(u64::from(limit), &demands);
        let total: f64 = demands.iter().map(|node| f64::from(node.demand)).sum();
        let exact = demands.iter().map(|node| {
            share_of(
                f64::from(limit),
                f64::from(node.demand),
                total,
                demands.len(),
            )
        });
        assert_eq!(shares.iter().sum::<u64>(), u64::from(limit));
        for (share, exact) in shares.iter().zip(exact) {
            assert!(
                (*share as f64 - exact).abs() <= 1.0 + 1e-6,
                "{share} {exact}"
            );
        }
    });
}

/// Guards against a rate or concurrency limit that is exceeded, and against a wrong count of running calls.
#[test]
fn admissions_stay_within_this_nodes_shares() {
    for_each_value(|(rate, concurrency, steps): (u8, u8, Vec<(bool, u16)>)| {
        let limits = CallLimits {
            rate: Some(limit(u64::from(rate), 1)),
            concurrency: Some(limit(u64::from(concurrency), 2)),
        };
        let scopes = [LimitScope::new(
            "s".to_owned(),
            limits,
            "n0",
            &demands(&[1]),
        )];
        let mut table = LimitTable::default();
        let start = Instant::now();
        let mut now = start;
        let (mut admitted, mut running) = (0_u64, 0_u64);
        for (ends, wait) in steps {
            now += Duration::from_millis(u64::from(wait) % 300);
            if ends && running > 0 {
                table.release(["s"]);
                running -= 1;
            } else if table.admit(&scopes, now).is_ok() {
                admitted += 1;
                running += 1;
            }
            assert_eq!(table.in_progress("s"), running);
            assert!(running <= u64::from(concurrency));
            let elapsed = now.duration_since(start).as_secs_f64();
            assert!(admitted as f64 <= f64::from(rate) * (1.0 + elapsed) + 1e-6);
        }
    });
}

/// Guards against a call that one scope's limit refuses, but that is still counted in another scope.
#[test]
fn a_refused_call_is_counted_in_no_scope() {
    let open = LimitScope::new(
        "open".to_owned(),
        CallLimits::default(),
        "n0",
        &demands(&[1]),
    );
    let closed = CallLimits {
        concurrency: Some(limit(0, 7)),
        ..CallLimits::default()
    };
    let closed = LimitScope::new("closed".to_owned(), closed, "n0", &demands(&[1]));
    let mut table = LimitTable::default();

    let refused = table.admit(&[open.clone(), closed], Instant::now());

    assert_eq!(refused.expect_err("the limit is zero").line, 7);
    assert_eq!(table.in_progress("open"), 0);
    table
        .admit(slice::from_ref(&open), Instant::now())
        .expect("no limit");
    table.refund(&[open]);
    assert_eq!(table.in_progress("open"), 0);
}

/// Guards against more slots in use than the target has, while their number changes.
#[test]
fn a_resized_pool_never_gives_out_more_than_its_size() {
    for_each_value(|(first, steps): (u8, Vec<(u8, u8)>)| {
        let pool = PermitPool::new(u32::from(first % 8));
        let mut permits = Vec::new();
        for (step, value) in steps {
            match step % 3 {
                0 => pool.resize(u32::from(value % 8)),
                1 => drop(permits.pop()),
                _ => {
                    let before = permits.len() as u32;
                    let permit = pool.try_take();
                    assert_eq!(permit.is_some(), before < pool.size());
                    permits.extend(permit);
                }
            }
            assert_eq!(pool.in_use(), permits.len() as u32);
        }
        drop(permits);
        let all: Vec<_> = std::iter::from_fn(|| pool.try_take()).collect();
        assert_eq!(all.len() as u32, pool.size());
    });
}

/// Guards against retries beyond the retry budget.
#[test]
fn retries_never_exceed_a_tenth_of_calls_and_reruns_a_fiftieth() {
    for_each_value(|steps: Vec<(bool, bool, u16)>| {
        let start = Instant::now();
        let mut budget = RetryBudget::new(start);
        let mut now = start;
        let (mut calls, mut retries, mut reruns) = (0, 0, 0);
        for (is_call, may_have_run, wait) in steps {
            now += Duration::from_millis(u64::from(wait) % 500);
            if is_call {
                budget.earn(now);
                calls += 1;
            } else {
                let outcome = if may_have_run {
                    AttemptOutcome::ServerError
                } else {
                    AttemptOutcome::NotRun
                };
                let is_allowed = budget.spend(outcome, now);
                retries += u32::from(is_allowed);
                reruns += u32::from(is_allowed && may_have_run);
            }
            let elapsed = now.duration_since(start).as_secs_f64();
            let most = 3.0 + 3.0 * elapsed + 0.1 * f64::from(calls);
            assert!(f64::from(retries) <= most + 1e-6);
            assert!(f64::from(reruns) <= most / 5.0 + 1.0);
        }
    });
}

/// Guards against an unavailable service whose retries use up those of other services.
#[test]
fn each_service_has_a_retry_budget_of_its_own() {
    let mut table = BudgetTable::default();
    let now = Instant::now();
    let (down, other) = (
        test_config().service.key,
        ServiceKey {
            customer: "kestrel".to_owned(),
            service: "other".to_owned(),
        },
    );
    table.earn(&down, now);
    table.earn(&other, now);

    while table.spend(&down, AttemptOutcome::NotRun, now) {}

    assert!(!table.spend(&down, AttemptOutcome::NotRun, now));
    assert!(table.spend(&other, AttemptOutcome::NotRun, now));
}

/// Guards against a non-idempotent call that is sent again although it may have run.
#[test]
fn only_idempotent_calls_are_retried_once_they_may_have_run() {
    assert!(may_retry(AttemptOutcome::NotRun, false));
    for outcome in [AttemptOutcome::Unknown, AttemptOutcome::ServerError] {
        assert!(!may_retry(outcome, false));
        assert!(may_retry(outcome, true));
    }
}

/// Guards against a candidate version that gets calls beyond its share or in spite of a veto.
#[test]
fn the_candidate_gets_its_share_and_nothing_under_a_veto() {
    for_each_value(|(share, draw, vetoed): (u16, u16, bool)| {
        let (share, draw) = (u32::from(share) % 1001, u32::from(draw) % 1000);
        let mut split = test_config().split;
        split.current_move = Some(running_move(MovePhase::Ramp));
        split.candidate_permille = share;

        let choice = choose_version(&split, vetoed, draw);
        let fallback = fallback_version(&split, vetoed, &choice);

        assert_eq!(choice.version == "v2", !vetoed && draw < share);
        if let Some(fallback) = fallback {
            assert_ne!(fallback.version, choice.version);
            assert_eq!(fallback.reason, VersionReason::OtherUnavailable);
            assert!(fallback.version == "v1" || (!vetoed && share >= 500));
        }
    });
}

fn endpoint(index: usize, domain: &str) -> TargetEndpoint {
    TargetEndpoint {
        node: format!("n{index}"),
        domain: domain.to_owned(),
        forward_address: "127.0.0.1:1".parse().expect("valid"),
        version: "v1".to_owned(),
        slots: 2,
    }
}

/// Guards against entry nodes that each concentrate a candidate's calls on other targets.
#[test]
fn concentration_depends_only_on_the_targets() {
    for_each_value(|(count, share, rotation): (u8, u16, u8)| {
        let (count, share) = (usize::from(count % 20) + 1, u32::from(share) % 1001);
        let targets: Vec<_> = (0..count).map(|index| endpoint(index, "a")).collect();
        let mut rotated = targets.clone();
        rotated.rotate_left(usize::from(rotation) % count);

        let first = restrict_candidate_targets(targets, share);
        let second = restrict_candidate_targets(rotated, share);

        assert_eq!(first, second);
        let exact = (count as f64 * f64::from(share) / 1000.0).ceil() as usize;
        assert_eq!(first.len(), exact.clamp(1, count));
    });
}

/// Guards against a flapping target whose ejection time does not grow.
#[test]
fn ejection_times_grow_although_calls_succeed_in_between() {
    let mut table = LoadTable::default();
    let mut now = Instant::now();
    let mut ejection_times = Vec::new();
    for _ in 0..9 {
        // Calls that fail at the same time count as one failure.
        for _ in 0..5 {
            table.record_attempt("n1", AttemptEnd::OutcomeUnknown, now);
        }
        let mut ejection_time = Duration::ZERO;
        while table.is_ejected("n1", now + ejection_time) {
            ejection_time += Duration::from_millis(100);
        }
        now += ejection_time;
        table.record_attempt("n1", AttemptEnd::Answered(Duration::from_millis(1)), now);
        ejection_times.push(ejection_time.as_millis());
    }

    assert_eq!(
        ejection_times,
        [200, 400, 800, 1600, 3200, 6400, 12_800, 20_000, 20_000]
    );
}

/// Guards against targets that are chosen although ejected, full or already tried.
#[test]
fn targets_of_the_own_domain_come_first_while_they_have_capacity() {
    let targets = [endpoint(0, "a"), endpoint(1, "a"), endpoint(2, "b")];
    let now = Instant::now();
    let mut table = LoadTable::default();
    let mut rng = StdRng::seed_from_u64(1);
    let own = "a".to_owned();
    let mut choose = |table: &LoadTable, tried: &[String]| {
        choose_target(&targets, table, &own, tried, now, &mut rng)
    };

    table.begin("n0");
    table.begin("n0");
    for _ in 0..20 {
        let choice = choose(&table, &[]).expect("targets are available");
        assert_eq!(
            (choice.target.node.as_str(), choice.reason),
            ("n1", TargetReason::OwnDomain)
        );
    }
    table.record_attempt("n1", AttemptEnd::Unavailable, now);
    let elsewhere = choose(&table, &[]).expect("a target is available");
    assert_eq!(elsewhere.target.node, "n2");
    assert_eq!(elsewhere.reason, TargetReason::OtherDomain);
    let last = choose(&table, &["n2".to_owned()]).expect("the other targets are tried");
    assert_eq!(last.reason, TargetReason::LastResort);
    let all = ["n0", "n1", "n2"].map(str::to_owned);
    assert!(choose(&table, &all).is_none());
}

/// Guards against a call that is matched to the wrong route.
#[test]
fn the_route_with_the_longest_matching_path_is_chosen() {
    let mut config = test_config();
    config
        .service
        .routes
        .push(route("archive", "/jobs/archive/", true, false));
    let active = ActiveConfig::from(snapshot_of(&config));
    let name = |path: &str| {
        let host = "YARDBOARD.kestrel.example:8080";
        active
            .find_route(host, "GET", path)
            .map(|(_, route)| route.name.clone())
    };

    assert_eq!(name("/jobs").as_deref(), Some("jobs"));
    assert_eq!(name("/jobs/archived").as_deref(), Some("jobs"));
    assert_eq!(name("/jobs/archive/2025").as_deref(), Some("archive"));
    assert_eq!(name("/jobsheets"), None);
    assert_eq!(name("/"), None);
}

/// Guards against encoded dot segments that a target might resolve to another path.
#[test]
fn dot_segments_are_found_in_every_encoding() {
    let separators = ["/", "%2f", "%2F", "\\", "%5C", "%252f"];
    let dots = ["..", ".", "%2e%2E", ".%2e", "%252e.", "..;a=b"];
    for separator in separators {
        for dot in dots {
            assert!(is_ambiguous_path(&format!("/jobs{separator}{dot}/signoff")));
            assert!(is_ambiguous_path(&format!("/jobs{separator}{dot}")));
        }
    }
    for path in [
        "/",
        "/jobs/today.pdf",
        "/jobs/...",
        "/jobs/.well-known/x",
        "/a%20b",
    ] {
        assert!(!is_ambiguous_path(path), "{path}");
    }
}

/// Guards against refusals and hop records that are changed by formatting and parsing their headers.
#[test]
fn refusal_and_hop_headers_round_trip_between_nodes() {
    let outcomes = [
        CallOutcome::NotRun,
        CallOutcome::Unknown,
        CallOutcome::Failed,
    ];
    for outcome in outcomes {
        let refusal = CallRefusal {
            outcome,
            ..CallRefusal::not_run(429, "rate-limit", "too many").with_contract_line("kestrel", 12)
        };
        let response = refusal_response(&refusal);
        let parsed = parse_refusal(response.status(), response.headers(), "n1");
        let parsed = parsed.expect("a refusal");
        assert_eq!((parsed.outcome, parsed.status), (outcome, 429));
        assert_eq!(parsed.reason, refusal.reason);
        assert_eq!(parsed.contract_line, refusal.contract_line);
    }
    let hop = HopRecord {
        key: service_key(),
        version: "v1".to_owned(),
        route: "jobs/with/slashes".to_owned(),
    };
    let mut headers = HeaderMap::new();
    headers.insert("poplarwing-hop", hop.header_value().expect("valid"));
    assert_eq!(HopRecord::parse(&headers), Some(hop));
    headers.append("poplarwing-hop", HeaderValue::from_static("a/b/c/d"));
    assert_eq!(HopRecord::parse(&headers), None);
}

/// Guards against an unrecognized outcome, as of a newer node, that is taken for "not run".
#[test]
fn an_unrecognized_outcome_is_taken_for_unknown() {
    let mut headers = HeaderMap::new();
    headers.insert("poplarwing-outcome", HeaderValue::from_static("perhaps"));

    let parsed = parse_refusal(http::StatusCode::SERVICE_UNAVAILABLE, &headers, "n1");

    assert_eq!(parsed.expect("a refusal").outcome, CallOutcome::Unknown);
}

/// Guards against hop-by-hop headers, or headers between nodes, that are forwarded.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    let names = [
        "connection",
        "keep-alive",
        "te",
        "x-private",
        "poplarwing-hop",
        "accept",
    ];
    for name in names {
        let name: HeaderName = name.parse().expect("valid");
        headers.insert(name, HeaderValue::from_static("X-Private, close"));
    }

    strip_headers(&mut headers);

    assert_eq!(
        headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(),
        ["accept"]
    );
}

/// Guards against a retry that omits, repeats or reorders a part of the request body.
#[test]
fn a_retry_sends_the_same_body() {
    for_each_value(|(sizes, cuts): (Vec<u16>, Vec<u8>)| {
        let frames: Vec<Bytes> = sizes
            .iter()
            .enumerate()
            .map(|(index, size)| Bytes::from(vec![index as u8; usize::from(*size)]))
            .collect();
        let whole = frames.concat();
        let results = frames
            .into_iter()
            .map(|data| Ok::<_, BodyError>(Frame::data(data)));
        let source = StreamBody::new(stream::iter(results));
        let buffer = ReplayBuffer::new(source, u64::MAX);

        // Attempts that are not admitted never read beyond the replay prefix, so further attempts stay possible.
        for cut in cuts.iter().take(4) {
            let mut attempt = buffer.next_attempt().expect("the prefix is complete");
            let mut sent = Vec::new();
            for _ in 0..*cut {
                let Some(Some(Ok(frame))) = attempt.frame().now_or_never() else {
                    break;
                };
                sent.extend_from_slice(frame.data_ref().expect("data"));
            }
            assert!(sent.len() <= REPLAY_PREFIX_BYTES);
            assert!(whole.starts_with(&sent));
        }
        let superseded = buffer.next_attempt().expect("the prefix is complete");
        let last = buffer.next_attempt().expect("the prefix is complete");
        last.admit_callback()();
        let collected = last.collect().now_or_never().expect("nothing to wait for");
        assert_eq!(collected.expect("whole").to_bytes(), whole);
        let stopped = superseded.collect().now_or_never();
        assert!(matches!(stopped, Some(Err(BodyError::Superseded))));
        assert_eq!(buffer.can_replay(), whole.len() <= REPLAY_PREFIX_BYTES);
    });
}
