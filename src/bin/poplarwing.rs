//! Operator program: changes and shows contracts, moves and the state of the fleet.

use {
    poplarwing::operator_run::run_operator,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    run_operator(env::args_os())
}
