//! Runs the commands of the operator program and prints their results.

use {
    crate::{
        admin_types::{
            AuditEntry, AuditList, ContractAccepted, ContractBody, ContractHistory, ErrorCode,
            MoveAccepted, MoveList, MoveRequest, MoveView, NodeStatus,
        },
        config::{ConfigResource, MovePhase, ServiceKey, VersionMove},
        contract::{ContractDifference, CustomerContract, parse_contract},
        ids::{ConfigVersion, CustomerName},
        ini_file::InputErrors,
        operator_cli::{
            ApplyOptions, ExitStatus, GlobalOptions, MoveOptions, OperatorAction,
            OperatorInvocation, OutputFormat, StartOptions, TOKEN_VARIABLE, operator_command,
            read_invocation,
        },
        operator_client::{ApiCall, ClientError, OperatorClient},
        operator_report::{
            ServiceExplanation, format_error_body, format_explanation, format_history,
            format_input_errors, format_move, format_outcome, format_status, format_versions,
        },
    },
    clap_complete::generate,
    http::Method,
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        env,
        ffi::OsString,
        fs,
        io::{self, Write},
        path::Path,
        process::ExitCode,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{runtime, time::sleep},
};

/// Pause between two polls of a move.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of one poll while waiting for the end of a move.
const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Most audit records requested for the history of one move.
const MOVE_RECORD_LIMIT: usize = 1000;

/// Output and exit status of a command that did not fail.
struct CommandResult {
    status: ExitStatus,
    /// Standard output in text form.
    text: String,
    /// Note for the standard error, which keeps the standard output usable as a file.
    stderr_note: String,
    /// Standard output in JSON form.
    value: Value,
}

/// Failure of a command.
#[derive(Debug, Error)]
enum CommandFailure {
    #[error("{0}")]
    Usage(String),
    #[error("cannot {operation} {path}: {cause}")]
    File {
        operation: &'static str,
        path: String,
        cause: io::Error,
    },
    #[error("the contract has {} errors", .0.errors.len())]
    InvalidContract(InputErrors),
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("{0}")]
    NoSuchMove(String),
    #[error(
        "move {move_id} of {key} had not ended within the time limit; last state: {last_state}"
    )]
    WaitTimedOut {
        key: ServiceKey,
        move_id: ConfigVersion,
        last_state: String,
    },
    #[error(
        "move {move_id} of {key} was superseded by a later move, and its outcome was not found in \
         the audit records: {cause}"
    )]
    Superseded {
        key: ServiceKey,
        move_id: ConfigVersion,
        cause: String,
    },
    #[error("cannot start the async runtime: {0}")]
    Runtime(io::Error),
}

impl CommandFailure {
    fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::File { .. }
            | Self::InvalidContract(_)
            | Self::NoSuchMove(_)
            | Self::Runtime(_) => ExitStatus::Refused,
            Self::WaitTimedOut { .. } => ExitStatus::TimedOut,
            Self::Superseded { .. } => ExitStatus::Unknown,
            Self::Client(error) => client_status(error),
        }
    }

    fn details(&self) -> String {
        match self {
            Self::InvalidContract(errors) => format_input_errors(&errors.errors),
            Self::Client(ClientError::Refused { body, .. }) => format_error_body(body),
            _ => String::new(),
        }
    }

    fn value(&self) -> Value {
        let mut value = json!({
            "error": self.to_string(),
            "exit": self.status() as u8,
        });
        match self {
            Self::InvalidContract(errors) => value["errors"] = to_value(&errors.errors),
            Self::Client(ClientError::Refused { body, .. }) => value["answer"] = to_value(body),
            _ => {}
        }
        value
    }
}

fn client_status(error: &ClientError) -> ExitStatus {
    match error {
        ClientError::Unreachable { .. } => ExitStatus::Unreachable,
        ClientError::TimedOut { .. } => ExitStatus::TimedOut,
        ClientError::OutcomeUnknown { .. } => ExitStatus::Unknown,
        ClientError::BadResponse { .. } => ExitStatus::Refused,
        ClientError::Refused { body, .. } => match body.code {
            ErrorCode::Conflict | ErrorCode::MoveRunning => ExitStatus::Conflict,
            ErrorCode::OutcomeUnknown => ExitStatus::Unknown,
            _ => ExitStatus::Refused,
        },
    }
}

fn to_value<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

/// Runs the operator program; the first argument is the name of the program.
pub fn run_operator(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match operator_command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // clap returns help and version as errors that are not failures. A failure to print them is
            // ignored.
            let _ = error.print();
            return exit_code(if error.use_stderr() {
                ExitStatus::Usage
            } else {
                ExitStatus::Done
            });
        }
    };
    let Some(invocation) = read_invocation(&matches) else {
        return exit_code(ExitStatus::Usage);
    };
    let output = invocation.options.output;
    exit_code(print_result(output, execute(invocation)))
}

fn exit_code(status: ExitStatus) -> ExitCode {
    ExitCode::from(status as u8)
}

/// Prints a result and returns its exit status. Write errors are ignored: a closed pipe does not turn a
/// successful command into a failed one.
fn print_result(output: OutputFormat, result: Result<CommandResult, CommandFailure>) -> ExitStatus {
    match result {
        Ok(result) => {
            let _ = io::stderr().write_all(result.stderr_note.as_bytes());
            let text = match output {
                OutputFormat::Text => result.text,
                OutputFormat::Json => format!("{}\n", result.value),
            };
            let _ = io::stdout().write_all(text.as_bytes());
            result.status
        }
        Err(failure) => {
            let text = match output {
                OutputFormat::Text => format!("error: {failure}\n{}", failure.details()),
                OutputFormat::Json => format!("{}\n", failure.value()),
            };
            let _ = io::stderr().write_all(text.as_bytes());
            failure.status()
        }
    }
}

fn execute(invocation: OperatorInvocation) -> Result<CommandResult, CommandFailure> {
    match invocation.action {
        OperatorAction::ContractCheck(file) => check_contract(&file),
        OperatorAction::Completions(shell) => {
            let mut completions = Vec::new();
            generate(
                shell,
                &mut operator_command(),
                "poplarwing",
                &mut completions,
            );
            let completions = String::from_utf8_lossy(&completions).into_owned();
            Ok(success(completions.clone(), &completions))
        }
        action => {
            let client = build_client(&invocation.options)?;
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(CommandFailure::Runtime)?;
            runtime.block_on(execute_online(action, &client))
        }
    }
}

fn success<T: Serialize>(text: String, value: &T) -> CommandResult {
    CommandResult {
        status: ExitStatus::Done,
        text,
        stderr_note: String::new(),
        value: to_value(value),
    }
}

fn build_client(options: &GlobalOptions) -> Result<OperatorClient, CommandFailure> {
    if options.nodes.is_empty() {
        let message = "no node given; name at least one with --node ADDRESS";
        return Err(CommandFailure::Usage(message.to_owned()));
    }
    Ok(OperatorClient {
        nodes: options.nodes.clone(),
        token: read_token(options)?,
        time_limit: options.timeout,
    })
}

fn read_token(options: &GlobalOptions) -> Result<String, CommandFailure> {
    let token = match &options.token_file {
        Some(path) => read_file("read the token file", path)?,
        None => env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    let token = token.trim();
    if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message = format!("no valid access token; set --token-file FILE or {TOKEN_VARIABLE}");
        return Err(CommandFailure::Usage(message));
    }
    Ok(token.to_owned())
}

fn read_file(operation: &'static str, path: &Path) -> Result<String, CommandFailure> {
    fs::read_to_string(path).map_err(|cause| CommandFailure::File {
        operation,
        path: path.display().to_string(),
        cause,
    })
}

async fn execute_online(
    action: OperatorAction,
    client: &OperatorClient,
) -> Result<CommandResult, CommandFailure> {
    match action {
        OperatorAction::ContractApply(options) => apply_contract(client, &options).await,
        OperatorAction::ContractShow(customer) => show_contract(client, &customer).await,
        OperatorAction::ContractDiff(file) => diff_contract(client, &file).await,
        OperatorAction::ContractHistory(customer, limit) => {
            show_contract_history(client, &customer, limit).await
        }
        OperatorAction::VersionStart(options) => start_version(client, &options).await,
        OperatorAction::VersionList => list_versions(client).await,
        OperatorAction::MoveList => list_moves(client).await,
        OperatorAction::MoveShow(key) => show_one_move(client, &key).await,
        OperatorAction::MoveWait(options) => wait_for_move(client, &options).await,
        OperatorAction::MoveCancel(options) => cancel_move(client, &options).await,
        OperatorAction::Explain(key) => explain(client, &key).await,
        OperatorAction::Status => show_status(client).await,
        OperatorAction::ContractCheck(_) | OperatorAction::Completions(_) => Err(
            CommandFailure::Usage("the command runs without a node".to_owned()),
        ),
    }
}

/// A parsed contract file with its text.
struct ContractFile {
    text: String,
    contract: CustomerContract,
}

fn read_contract(file: &Path) -> Result<ContractFile, CommandFailure> {
    let text = read_file("read the contract", file)?;
    let contract = parse_contract(&file.display().to_string(), &text)
        .map_err(CommandFailure::InvalidContract)?;
    Ok(ContractFile { text, contract })
}

fn check_contract(file: &Path) -> Result<CommandResult, CommandFailure> {
    let contract = read_contract(file)?.contract;
    let routes: usize = contract
        .services
        .iter()
        .map(|service| service.routes.len())
        .sum();
    let customer = &contract.customer.customer;
    let services = contract.services.len();
    let text = format!("contract of {customer}: valid, {services} services, {routes} routes\n");
    Ok(success(
        text,
        &json!({ "customer": customer, "services": services, "routes": routes }),
    ))
}

async fn apply_contract(
    client: &OperatorClient,
    options: &ApplyOptions,
) -> Result<CommandResult, CommandFailure> {
    let file = read_contract(&options.file)?;
    let customer = &file.contract.customer.customer;
    let path = format!(
        "/v1/contracts/{customer}?expect={}",
        options.expected_revision
    );
    let operation = format!("apply the contract of {customer}");
    let call = ApiCall::change(&operation, Method::PUT, path, file.text);
    let accepted: ContractAccepted = client.call(&call).await?;
    let text = if accepted.unchanged {
        format!(
            "contract of {customer}: revision {} is in force already\n",
            accepted.revision
        )
    } else {
        format!(
            "contract of {customer}: revision {} accepted in configuration version {}\n{}",
            accepted.revision,
            accepted.version,
            format_differences(&accepted.differences)
        )
    };
    Ok(success(text, &accepted))
}

fn format_differences(differences: &[ContractDifference]) -> String {
    let lines = differences
        .iter()
        .map(|difference| format!("  {difference}\n"));
    lines.collect()
}

async fn read_current_contract(
    client: &OperatorClient,
    customer: &CustomerName,
) -> Result<ContractBody, ClientError> {
    let operation = format!("read the contract of {customer}");
    let call = ApiCall::read(&operation, format!("/v1/contracts/{customer}"));
    client.call(&call).await
}

async fn show_contract(
    client: &OperatorClient,
    customer: &CustomerName,
) -> Result<CommandResult, CommandFailure> {
    let current = read_current_contract(client, customer).await?;
    let mut result = success(current.text.clone(), &current);
    result.stderr_note = format!("revision {}\n", current.revision);
    Ok(result)
}

async fn diff_contract(
    client: &OperatorClient,
    file: &Path,
) -> Result<CommandResult, CommandFailure> {
    let contract = read_contract(file)?.contract;
    let current = match read_current_contract(client, &contract.customer.customer).await {
        Ok(current) => Some(current),
        Err(ClientError::Refused { body, .. }) if body.code == ErrorCode::NotFound => None,
        Err(error) => return Err(error.into()),
    };
    let revision = current.as_ref().map_or(0, |current| current.revision);
    let differences = match &current {
        Some(current) => {
            let current_contract = parse_contract("contract in force", &current.text)
                .map_err(CommandFailure::InvalidContract)?;
            contract.diff_from(&current_contract)
        }
        None => contract.diff_from_empty(),
    };
    let text = format!(
        "{} differences to revision {revision}\n{}",
        differences.len(),
        format_differences(&differences)
    );
    Ok(success(
        text,
        &json!({ "revision": revision, "differences": differences }),
    ))
}

async fn show_contract_history(
    client: &OperatorClient,
    customer: &CustomerName,
    limit: usize,
) -> Result<CommandResult, CommandFailure> {
    let operation = format!("read the history of the contract of {customer}");
    let path = format!("/v1/contracts/{customer}/history?limit={limit}");
    let found: ContractHistory = client.call(&ApiCall::read(&operation, path)).await?;
    Ok(success(format_history(&found), &found))
}

async fn start_version(
    client: &OperatorClient,
    options: &StartOptions,
) -> Result<CommandResult, CommandFailure> {
    let request = MoveRequest {
        customer: options.key.customer.clone(),
        service: options.key.service.clone(),
        version: options.version.clone(),
        finish_within_ms: options
            .finish_within
            .map(|finish| finish.as_millis() as u64),
    };
    let operation = format!("start version {} of {}", options.version, options.key);
    let body = to_value(&request).to_string();
    let call = ApiCall::change(&operation, Method::POST, "/v1/moves".to_owned(), body);
    let accepted: MoveAccepted = client.call(&call).await?;
    let text = format!(
        "move {} of {} to {} accepted in configuration version {}\n",
        accepted.move_id, accepted.key, options.version, accepted.version
    );
    Ok(success(text, &accepted))
}

async fn cancel_move(
    client: &OperatorClient,
    options: &MoveOptions,
) -> Result<CommandResult, CommandFailure> {
    let query = options
        .move_id
        .map_or_else(String::new, |id| format!("?move={id}"));
    let path = format!("/v1/moves/{}/cancel{query}", options.key);
    let operation = format!("cancel the move of {}", options.key);
    let call = ApiCall::change(&operation, Method::POST, path, "");
    let accepted: MoveAccepted = client.call(&call).await?;
    let text = format!(
        "move {} of {} taken back in configuration version {}\n",
        accepted.move_id, accepted.key, accepted.version
    );
    Ok(success(text, &accepted))
}

async fn read_moves(client: &OperatorClient) -> Result<MoveList, ClientError> {
    client
        .call(&ApiCall::read("list the moves", "/v1/moves"))
        .await
}

async fn list_moves(client: &OperatorClient) -> Result<CommandResult, CommandFailure> {
    let mut list = read_moves(client).await?;
    list.moves.retain(|view| view.current_move.is_some());
    let text = list.moves.iter().map(format_move).collect();
    Ok(success(text, &list))
}

async fn list_versions(client: &OperatorClient) -> Result<CommandResult, CommandFailure> {
    let list = read_moves(client).await?;
    let status = read_status(client).await?;
    let text = format_versions(&list.moves, &status);
    Ok(success(text, &list))
}

async fn read_status(client: &OperatorClient) -> Result<NodeStatus, ClientError> {
    client
        .call(&ApiCall::read("read the status", "/v1/status"))
        .await
}

async fn show_status(client: &OperatorClient) -> Result<CommandResult, CommandFailure> {
    let status = read_status(client).await?;
    Ok(success(format_status(&status), &status))
}

async fn read_move(client: &OperatorClient, key: &ServiceKey) -> Result<MoveView, ClientError> {
    let operation = format!("read the move of {key}");
    client
        .call(&ApiCall::read(&operation, format!("/v1/moves/{key}")))
        .await
}

async fn read_accepted_move(
    client: &OperatorClient,
    key: &ServiceKey,
) -> Result<MoveView, ClientError> {
    let operation = format!("read the accepted move of {key}");
    let path = format!("/v1/moves/{key}?source=store");
    client.call(&ApiCall::read(&operation, path)).await
}

async fn show_one_move(
    client: &OperatorClient,
    key: &ServiceKey,
) -> Result<CommandResult, CommandFailure> {
    let view = read_move(client, key).await?;
    Ok(success(format_move(&view), &view))
}

async fn wait_for_move(
    client: &OperatorClient,
    options: &MoveOptions,
) -> Result<CommandResult, CommandFailure> {
    let deadline = Instant::now() + client.time_limit;
    let client = OperatorClient {
        time_limit: client.time_limit.min(POLL_TIMEOUT),
        ..client.clone()
    };
    let move_id = match options.move_id {
        Some(move_id) => move_id,
        None => latest_move(&client, &options.key).await?,
    };
    loop {
        let last_state = match read_move(&client, &options.key).await {
            Ok(view) => {
                let formatted = format_move(&view).trim_end().to_owned();
                if let Some(ended) = ended_move(&client, view, move_id).await? {
                    return Ok(outcome_result(&options.key, &ended));
                }
                formatted
            }
            // A node that is restarting, or whose configuration lags, may respond to a later poll.
            Err(error) if is_transient(&error) => error.to_string(),
            Err(error) => return Err(error.into()),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(CommandFailure::WaitTimedOut {
                key: options.key.clone(),
                move_id,
                last_state,
            });
        }
        sleep(left.min(POLL_INTERVAL)).await;
    }
}

/// Returns the identifier of the latest accepted move, as read from the store: a node whose configuration
/// lags could still show an earlier move as ended.
async fn latest_move(
    client: &OperatorClient,
    key: &ServiceKey,
) -> Result<ConfigVersion, CommandFailure> {
    let view = read_accepted_move(client, key).await?;
    let current = view.current_move.map(|current| current.id);
    current
        .ok_or_else(|| CommandFailure::NoSuchMove(format!("no move of {key} has been started yet")))
}

fn is_transient(error: &ClientError) -> bool {
    match error {
        ClientError::Unreachable { .. } | ClientError::TimedOut { .. } => true,
        ClientError::Refused { body, .. } => {
            matches!(body.code, ErrorCode::NotFound | ErrorCode::StoreUnavailable)
        }
        ClientError::OutcomeUnknown { .. } | ClientError::BadResponse { .. } => false,
    }
}

/// Returns the move if it has ended.
async fn ended_move(
    client: &OperatorClient,
    view: MoveView,
    move_id: ConfigVersion,
) -> Result<Option<VersionMove>, CommandFailure> {
    match view.current_move {
        Some(current) if current.id == move_id => Ok(has_ended(&current).then_some(current)),
        Some(current) if current.id > move_id => {
            find_superseded_move(client, &view.key, move_id, view.as_of)
                .await
                .map(Some)
        }
        _ => Ok(None),
    }
}

fn has_ended(current: &VersionMove) -> bool {
    matches!(current.phase, MovePhase::Done | MovePhase::TakenBack)
}

/// Finds the outcome of a move that a later one has superseded.
async fn find_superseded_move(
    client: &OperatorClient,
    key: &ServiceKey,
    move_id: ConfigVersion,
    until: ConfigVersion,
) -> Result<VersionMove, CommandFailure> {
    let superseded = |cause: String| CommandFailure::Superseded {
        key: key.clone(),
        move_id,
        cause,
    };
    let records = read_split_records(client, key, move_id, until)
        .await
        .map_err(|error| superseded(error.to_string()))?;
    let moves = records.iter().flat_map(|entry| entry.changed.iter());
    let ended = moves
        .filter_map(move_in_split)
        .find(|found| found.id == move_id && has_ended(found));
    ended.ok_or_else(|| superseded("no record of its outcome".to_owned()))
}

fn move_in_split(resource: &ConfigResource) -> Option<VersionMove> {
    match resource {
        ConfigResource::Split(split) => split.current_move.clone(),
        _ => None,
    }
}

fn outcome_result(key: &ServiceKey, ended: &VersionMove) -> CommandResult {
    let mut result = success(format_outcome(&key.to_string(), ended), ended);
    if ended.phase == MovePhase::TakenBack {
        result.status = ExitStatus::TakenBack;
    }
    result
}

async fn read_split_records(
    client: &OperatorClient,
    key: &ServiceKey,
    from: ConfigVersion,
    until: ConfigVersion,
) -> Result<Vec<AuditEntry>, ClientError> {
    let path = format!(
        "/v1/audit?from={from}&until={until}&limit={MOVE_RECORD_LIMIT}&resource=split/{key}"
    );
    let operation = format!("read the audit records of {key}");
    let list: AuditList = client.call(&ApiCall::read(&operation, path)).await?;
    Ok(list.records)
}

async fn explain(
    client: &OperatorClient,
    key: &ServiceKey,
) -> Result<CommandResult, CommandFailure> {
    let (view, from_store) = match read_accepted_move(client, key).await {
        Ok(view) => (view, true),
        Err(ClientError::Refused { body, .. }) if body.code == ErrorCode::StoreUnavailable => {
            (read_move(client, key).await?, false)
        }
        Err(error) => return Err(error.into()),
    };
    let mut explanation = ServiceExplanation {
        view,
        from_store,
        steps: Vec::new(),
        latest: Vec::new(),
        gap: None,
    };
    if let Err(error) = add_audit_records(client, &mut explanation).await {
        explanation.gap = Some(error.to_string());
    }
    Ok(success(format_explanation(&explanation), &explanation))
}

async fn add_audit_records(
    client: &OperatorClient,
    explanation: &mut ServiceExplanation,
) -> Result<(), ClientError> {
    let view = explanation.view.clone();
    if let Some(current) = &view.current_move {
        explanation.steps = read_split_records(client, &view.key, current.id, view.as_of).await?;
    }
    for change in &view.changes {
        let already_read = explanation
            .latest
            .iter()
            .any(|entry| entry.version == change.changed_at);
        if !already_read {
            explanation
                .latest
                .extend(read_audit_record(client, change.changed_at).await?);
        }
    }
    Ok(())
}

async fn read_audit_record(
    client: &OperatorClient,
    version: ConfigVersion,
) -> Result<Option<AuditEntry>, ClientError> {
    let operation = format!("read the audit record of version {version}");
    let path = format!("/v1/audit?from={version}&until={version}&limit=1");
    let list: AuditList = client.call(&ApiCall::read(&operation, path)).await?;
    Ok(list
        .records
        .into_iter()
        .find(|entry| entry.version == version))
}
