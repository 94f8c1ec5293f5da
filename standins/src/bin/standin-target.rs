//! Runs a stand-in target that announces itself to its node, which runs on the same VM.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    poplarwing_standins::target::{StandinTarget, TargetIdentity, script::TargetScript},
    std::{net::SocketAddr, process::ExitCode},
    tokio::net::TcpListener,
};

fn command() -> Command {
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).required(true)
    };
    Command::new("standin-target")
        .about("Runs a stand-in target that announces itself to its node")
        .arg(text("listen", "Address that accepts calls").value_parser(value_parser!(SocketAddr)))
        .arg(text("admin", "Admin address of the node").value_parser(value_parser!(SocketAddr)))
        .arg(text("customer", "Customer that owns the service"))
        .arg(text("service", "Service that the target serves"))
        .arg(text("version", "Version that the target runs"))
        .arg(
            Arg::new("script")
                .long("script")
                .help("Behaviour as a JSON object; absent fields have their defaults")
                .default_value("{}"),
        )
}

fn string_arg(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

async fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let script: TargetScript = serde_json::from_str(&string_arg(matches, "script"))?;
    let listen = matches
        .get_one::<SocketAddr>("listen")
        .ok_or("--listen is missing")?;
    let admin = matches
        .get_one::<SocketAddr>("admin")
        .ok_or("--admin is missing")?;
    let target = StandinTarget::start(TcpListener::bind(listen).await?, script)?;
    println!("{{\"listening\":\"{}\"}}", target.address());
    let identity = TargetIdentity {
        customer: string_arg(matches, "customer"),
        service: string_arg(matches, "service"),
        version: string_arg(matches, "version"),
    };
    target.announce(*admin, identity).await;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("standin-target: {cause}");
            ExitCode::FAILURE
        }
    }
}
