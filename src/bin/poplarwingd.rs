//! Node daemon: one process beside each target.

use {
    poplarwing::node_run::run_daemon,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    run_daemon(env::args_os())
}
