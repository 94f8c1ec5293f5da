//! Cases of the second review: each plays one order of events with real nodes and checks one rule.
//!
//! Usage: `cases NAME RECORD`. It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod client;
mod http;
mod json;
mod next_version_after_rollback;
mod node;
mod place;
mod record;
mod store;
mod unordered_version;
mod upstream;
mod wire;

use {
    record::Record,
    std::{env, fs, panic, path::PathBuf, process, thread, time::Duration},
};

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case needs.
pub struct Stage {
    pub record: Record,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
    /// Whether the disruption is to happen.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [name, record_path] = arguments.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        process::exit(2);
    };
    let folder = env::temp_dir().join(format!("review-2-{name}-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let stage = Stage {
        record: Record::new(),
        folder: folder.clone(),
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        node::end_all();
        process::exit(2);
    });
    let run = || match name.as_str() {
        "next-version-after-rollback" => Some(next_version_after_rollback::play(&stage)),
        "unordered-version" => Some(unordered_version::play(&stage)),
        _ => None,
    };
    let held = panic::catch_unwind(panic::AssertUnwindSafe(run))
        .ok()
        .flatten();
    node::end_all();
    match held {
        Some(true) => stage.record.say("the rule held"),
        Some(false) => stage.record.say("the rule is broken"),
        None => stage.record.say("the case couldn't run"),
    }
    stage.record.write(&PathBuf::from(record_path));
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&folder);
    }
    process::exit(match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
