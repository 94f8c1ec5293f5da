//! Runs the node daemon from its command line.

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

/// Exit code for a command line that cannot be parsed.
const USAGE_EXIT: u8 = 2;

/// Threads that run a node's tasks. A node of the design size sees about 120 calls a second; with a second
/// thread, each call pays for waking it: without a hop the added latency at the 99th percentile doubles.
const WORKER_THREADS: usize = 1;

/// Runs a node until a signal asks it to stop, and returns the exit code of the process.
pub fn run_daemon(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let matches = match node_command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let is_fault = error.use_stderr();
            let _ = error.print();
            return if is_fault {
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
        Err(message) => return fail(&message),
    };
    if matches.get_flag("check") {
        println!("{}: settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = init_log(&settings.log) {
        return fail(&error.to_string());
    }
    run(settings)
}

fn fail(message: &str) -> ExitCode {
    eprintln!("poplarwingd: {message}");
    ExitCode::FAILURE
}

fn read_settings(file: &PathBuf) -> Result<NodeSettings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| format!("read {name}: {error}"))?;
    parse_settings(&name, &text).map_err(|errors| errors.to_string())
}

fn run(settings: NodeSettings) -> ExitCode {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("start the runtime: {error}")),
    };
    runtime.block_on(async {
        let stop = CancellationToken::new();
        if let Err(error) = stop_on_signal(stop.clone()) {
            return fail(&format!("listen for signals: {error}"));
        }
        match run_node(settings, stop).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                error!(%error, "node could not start");
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
