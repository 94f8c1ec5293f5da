//! Runs one case of the review: `harness CASE FOLDER RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` in the environment
//! leaves the disruption out.

mod cases;
mod http;
mod json;
mod node;
mod proxy;
mod store;
mod support;
mod target;

use cases::{CaseResult, Setting};
use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    path::PathBuf,
    process::exit,
    sync::Arc,
    thread,
    time::Duration,
};

/// Longest time of a run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let mut arguments = env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().expect("a folder"));
    let record = PathBuf::from(arguments.next().expect("a record file"));
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let setting = Arc::new(Setting::new(folder, &record, has_trouble));
    let watched = setting.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.end_all();
        println!("the case could not run: it took too long");
        exit(2);
    });
    let result = catch_unwind(AssertUnwindSafe(|| run_case(&case, &setting)));
    let result = result.unwrap_or_else(|_| Err("a check of the harness failed".to_owned()));
    setting.end_all();
    let (code, text) = match result {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(cause) => (2, format!("the case could not run: {cause}")),
    };
    setting.record.line(&text);
    println!("{text}");
    exit(code);
}

fn run_case(case: &str, setting: &Setting) -> CaseResult {
    match case {
        "late-stop" => cases::late_stop::run(setting),
        "cut-readers" => cases::cut_readers::run(setting),
        "silent-store" => cases::silent_store::run(setting),
        "odd-heartbeat" => cases::odd_heartbeat::run(setting),
        "dropped-hedge" => cases::dropped_hedge::run(setting),
        other => Err(format!("unknown case {other:?}")),
    }
}
