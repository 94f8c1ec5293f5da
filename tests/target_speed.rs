//! Tests of the speed of targets that share their machines: factors, spells of slowness, and what nodes tell each other.

use {
    http::HeaderMap,
    poplarwing::{
        balancing::target_speed::{SpeedEstimate, faded, parse_factor},
        mesh::{
            admission::TargetLoad,
            hop::{LOAD_HEADER, set_load, take_load},
        },
    },
    std::time::{Duration, Instant},
};

const SPELL: Duration = Duration::from_millis(600);

/// Returns the estimate of a target that works 2.5 times as long in every seventh of its responses.
fn estimate_with_spells(now: Instant) -> SpeedEstimate {
    let mut estimate = SpeedEstimate::default();
    for number in 0..700 {
        let percent = if number % 7 == 6 { 250 } else { 100 };
        estimate.record(percent, now);
    }
    estimate
}

fn load(relative_time: Option<f64>) -> TargetLoad {
    TargetLoad {
        running: 6,
        waiting: 2,
        slots: 6,
        service_time: Duration::from_millis(120),
        route_time: Duration::from_millis(100),
        relative_time,
        cold: None,
    }
}

/// Returns the load that another node reads from a response with this one.
fn exchanged(load: &TargetLoad) -> Option<TargetLoad> {
    let mut headers = HeaderMap::new();
    set_load(&mut headers, load);
    take_load(&mut headers)
}

/// A load without the factor is that of an earlier deployment and must not be taken for a fault.
#[test]
fn a_load_of_three_figures_has_no_factor() {
    let factor = parse_factor("2,0,6");

    assert_eq!(factor, Ok(None));
}

/// A malformed factor must not pass for a speed, and the log must name what was found and what is allowed.
#[test]
fn malformed_factors_are_reported_with_what_was_found() {
    for text in ["2,0,6,fast", "2,0,6,0", "2,0,6,-5", "2,0,6,99999", "2,0,6,"] {
        let error = parse_factor(text).expect_err(text).to_string();

        assert!(
            error.contains(text) && error.contains("1 to 10000"),
            "{error}"
        );
    }
}

/// In a spell of slowness of 0.6 s, calls must expect the longer time, and once it is over the usual one.
#[test]
fn a_spell_of_slowness_counts_at_once_and_fades_with_its_length() {
    let start = Instant::now();
    let mut estimate = estimate_with_spells(start);

    estimate.record(250, start);
    let relative_at = |after| estimate.relative_time(start + after).expect("factors");

    assert!(relative_at(Duration::ZERO) > 1.8);
    assert!(relative_at(SPELL) < 1.5);
    assert!(relative_at(SPELL * 5) < 1.02);
}

/// A target that is always slow must not look slower than its average, which already shows it.
#[test]
fn a_constant_factor_leaves_the_average_as_it_is() {
    let now = Instant::now();
    let mut estimate = SpeedEstimate::default();

    (0..50).for_each(|_| estimate.record(180, now));

    let relative = estimate.relative_time(now).expect("factors");
    assert!((relative - 1.0).abs() < 1e-9, "{relative}");
}

/// Without factors, all expectations must be as before.
#[test]
fn a_target_without_factors_has_no_relative_time() {
    assert_eq!(SpeedEstimate::default().relative_time(Instant::now()), None);
    assert_eq!(exchanged(&load(None)), Some(load(None)));
}

/// An old report of slowness or of unusual speed must not decide for seconds.
#[test]
fn a_report_fades_from_both_sides() {
    assert!(faded(2.0, SPELL * 8) < 1.001);
    assert!(faded(0.5, SPELL * 8) > 0.999);
}

/// The entry node must learn the present speed with every answer and refusal, also beside tokens that it doesn't know.
#[test]
fn the_relative_time_passes_between_nodes() {
    let told = load(Some(2.04));

    assert_eq!(exchanged(&told), Some(told));

    let mut headers = HeaderMap::new();
    headers.insert(
        LOAD_HEADER,
        "6,2,6,120000,100000,c3,s204".parse().expect("value"),
    );
    assert_eq!(take_load(&mut headers), Some(told));
}

/// The header of a deployment without speeds must stay that which earlier nodes send.
#[test]
fn a_load_without_speed_has_five_numbers() {
    let mut headers = HeaderMap::new();

    set_load(&mut headers, &load(None));

    assert_eq!(headers[LOAD_HEADER], "6,2,6,120000,100000");
}

/// A call must expect to wait longer at a target that is slow at present.
#[test]
fn the_expected_wait_follows_the_present_speed() {
    let usual = load(Some(1.0)).expected_wait();

    assert_eq!(usual, load(None).expected_wait());
    assert_eq!(load(Some(2.0)).expected_wait(), usual * 2);
}
