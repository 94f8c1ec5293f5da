//! Entry point of the node daemon: parses the command line and the settings, and runs a node until a
//! signal.

use {
    crate::{
        event_log::init_log,
        node::run_node,
        operator_cli::node_command,
        settings::{NodeSettings, parse_settings},
    },
    std::{ffi::OsString, fs, path::PathBuf, process::ExitCode},
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
    },
    tokio_util::sync::CancellationToken,
    tracing::error,
};

/// Exit code for an invalid command line.
const USAGE_EXIT: u8 = 2;

/// Worker threads of the async runtime. A node of the design size serves about 120 calls a second; a
/// second thread would have to be woken for each call, which doubles the 99th percentile of the added
/// latency of calls that are not forwarded to another node.
const WORKER_THREADS: usize = 1;

/// Runs the daemon with these arguments until SIGTERM or SIGINT, and returns the exit code of the process.
pub fn run_daemon(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let matches = match node_command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let is_usage_error = error.use_stderr();
            let _ = error.print();
            return if is_usage_error {
                ExitCode::from(USAGE_EXIT)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    let Some(file) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(USAGE_EXIT);
    };
    let settings = match read_settings(file) {
        Ok(settings) => settings,
        Err(message) => return exit_with_error(&message),
    };
    if matches.get_flag("check") {
        println!("{}: settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = init_log(&settings.log) {
        return exit_with_error(&error.to_string());
    }
    run_until_signal(settings)
}

fn exit_with_error(message: &str) -> ExitCode {
    eprintln!("poplarwingd: {message}");
    ExitCode::FAILURE
}

fn read_settings(file: &PathBuf) -> Result<NodeSettings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| format!("read {name}: {error}"))?;
    parse_settings(&name, &text).map_err(|errors| errors.to_string())
}

fn run_until_signal(settings: NodeSettings) -> ExitCode {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&format!("start the async runtime: {error}")),
    };
    runtime.block_on(async {
        let stop = CancellationToken::new();
        if let Err(error) = stop_on_signal(stop.clone()) {
            return exit_with_error(&format!(
                "install the handlers of SIGTERM and SIGINT: {error}"
            ));
        }
        match run_node(settings, stop).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                error!(%error, "node could not start; exiting");
                ExitCode::FAILURE
            }
        }
    })
}

/// Cancels `stop` on SIGTERM or SIGINT.
fn stop_on_signal(stop: CancellationToken) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
    });
    Ok(())
}
