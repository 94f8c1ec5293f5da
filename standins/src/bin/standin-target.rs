//! Runs a stand-in target that announces itself to its node.

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
        .arg(text("listen", "Address for calls").value_parser(value_parser!(SocketAddr)))
        .arg(text("admin", "Admin address of the node").value_parser(value_parser!(SocketAddr)))
        .arg(text("customer", "Customer that owns the service"))
        .arg(text("service", "Service that the target serves"))
        .arg(text("version", "Version that the target runs"))
        .arg(
            Arg::new("script")
                .long("script")
                .help("Behaviour as JSON")
                .default_value("{}"),
        )
}

fn text_of(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

async fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let script: TargetScript = serde_json::from_str(&text_of(matches, "script"))?;
    let listen = matches
        .get_one::<SocketAddr>("listen")
        .ok_or("no address")?;
    let admin = matches.get_one::<SocketAddr>("admin").ok_or("no address")?;
    let target = StandinTarget::start(TcpListener::bind(listen).await?, script)?;
    println!("{{\"listening\":\"{}\"}}", target.address());
    let identity = TargetIdentity {
        customer: text_of(matches, "customer"),
        service: text_of(matches, "service"),
        version: text_of(matches, "version"),
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
