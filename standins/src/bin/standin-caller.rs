//! Sends numbered calls and prints the result of each and a summary, as one JSON object per line.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    poplarwing_standins::caller::{CallerPlan, run_plan, summarize},
    std::{net::SocketAddr, process::ExitCode},
};

fn command() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("standin-caller")
        .about("Sends numbered calls and prints the result of each and a summary as JSON lines")
        .arg(
            option(
                "nodes",
                "Call addresses of nodes, separated by commas and used in turn",
            )
            .required(true)
            .value_delimiter(',')
            .value_parser(value_parser!(SocketAddr)),
        )
        .arg(option("host", "Host header, which selects the service").required(true))
        .arg(option("method", "Method of the calls").default_value("GET"))
        .arg(option("path", "Path of the calls").default_value("/"))
        .arg(
            option("rate", "Calls per second")
                .default_value("10")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            option("count", "Number of calls")
                .default_value("100")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("concurrency", "Maximum number of calls in progress at once")
                .default_value("256")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            option("body-bytes", "Size of each request body in bytes")
                .default_value("0")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            option(
                "timeout-ms",
                "Value of the x-request-timeout-ms header in milliseconds; no header if absent",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(option(
            "key-prefix",
            "Prefix of the calls' idempotency keys; no keys if absent",
        ))
        .arg(option("id-prefix", "Prefix of the calls' ids").default_value("c"))
}

fn string_arg(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn plan_from_args(matches: &ArgMatches) -> CallerPlan {
    let nodes = matches.get_many::<SocketAddr>("nodes").unwrap_or_default();
    CallerPlan {
        nodes: nodes.copied().collect(),
        host: string_arg(matches, "host"),
        method: string_arg(matches, "method"),
        path: string_arg(matches, "path"),
        rate: matches.get_one("rate").copied().unwrap_or_default(),
        count: matches.get_one("count").copied().unwrap_or_default(),
        concurrency: matches.get_one("concurrency").copied().unwrap_or_default(),
        body_bytes: matches.get_one("body-bytes").copied().unwrap_or_default(),
        timeout_ms: matches.get_one("timeout-ms").copied(),
        key_prefix: matches.get_one("key-prefix").cloned(),
        id_prefix: string_arg(matches, "id-prefix"),
    }
}

async fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let records = run_plan(plan_from_args(matches)).await?;
    for record in &records {
        println!("{}", serde_json::to_string(record)?);
    }
    println!("{}", serde_json::to_string(&summarize(&records))?);
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("standin-caller: {cause}");
            ExitCode::FAILURE
        }
    }
}
