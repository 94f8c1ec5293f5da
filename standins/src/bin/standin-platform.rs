//! Runs the stand-in of the platform until it is interrupted.

use {
    clap::{Arg, Command, value_parser},
    poplarwing_standins::platform::PlatformStandin,
    std::{io, net::SocketAddr, process::ExitCode},
    tokio::signal,
};

/// Default of `--listen`.
const DEFAULT_LISTEN: &str = "127.0.0.1:8000";

fn command() -> Command {
    Command::new("standin-platform")
        .about("In-memory stand-in of the table service and the object store")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .default_value(DEFAULT_LISTEN)
                .help("Address of both APIs and of the control requests GET /counts and GET or POST /faults"),
        )
}

async fn run(listen: SocketAddr) -> io::Result<()> {
    let standin = PlatformStandin::start(listen).await?;
    println!("listening on {}", standin.address());
    signal::ctrl_c().await
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(listen) = matches.get_one::<SocketAddr>("listen") else {
        return ExitCode::FAILURE;
    };
    match run(*listen).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-platform: listen on {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}
