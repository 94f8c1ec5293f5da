//! Errors of requests to the platform.

use {
    super::ItemKey,
    aws_sdk_dynamodb::error::{ProvideErrorMetadata, SdkError},
    derive_more::Display,
    object_store::{
        Error as ObjectError,
        client::{HttpError, HttpErrorKind},
    },
    std::{error::Error, time::Duration},
    thiserror::Error,
};

/// Error codes of the table service that mean lack of capacity; such requests had no effect.
const THROTTLING_CODES: [&str; 6] = [
    "ProvisionedThroughputExceededException",
    "ThrottlingException",
    "RequestLimitExceeded",
    "LimitExceededException",
    "TransactionConflictException",
    "ReplicatedWriteConflictException",
];

/// Error code for a transaction whose earlier sending is still being executed.
const IN_PROGRESS_CODE: &str = "TransactionInProgressException";

/// Lowest HTTP status of an error on the side of the server.
const SERVER_ERROR_STATUS: u16 = 500;

/// What was being done when a request failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreStep {
    /// Preparing the clients.
    #[display("prepare clients")]
    Connect,
    /// Reading one item.
    #[display("read item {_0}")]
    Get(ItemKey),
    /// Reading items of a partition.
    #[display("list items of {_0}")]
    List(String),
    /// Writing one item.
    #[display("write item {_0}")]
    Write(ItemKey),
    /// Executing a transaction on these items.
    #[display("transaction on {}", display_keys(_0))]
    Transact(Vec<ItemKey>),
    /// Writing an object.
    #[display("write object {_0}")]
    PutObject(String),
    /// Reading an object.
    #[display("read object {_0}")]
    GetObject(String),
    /// Interpreting the content of an item or object.
    #[display("decode {_0}")]
    Decode(String),
}

impl StoreStep {
    fn writes(&self) -> bool {
        matches!(
            self,
            Self::Write(_) | Self::Transact(_) | Self::PutObject(_)
        )
    }
}

fn display_keys(keys: &[ItemKey]) -> String {
    let texts: Vec<String> = keys.iter().map(ItemKey::to_string).collect();
    texts.join(", ")
}

/// What went wrong with a request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreFault {
    /// No connection could be established.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The connection ended before the answer was complete.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// No answer within the time limit.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The service is short of capacity, or another transaction held an item.
    #[error("throttled")]
    Throttled,
    /// This process has too many requests in progress.
    #[error("too many requests in progress")]
    TooManyRequests,
    /// The service failed to serve the request.
    #[error("service failed: {0}")]
    ServiceFailed(String),
    /// The service refused the request as wrong.
    #[error("request refused: {0}")]
    Refused(String),
    /// The settings or the request cannot be used.
    #[error("{0}")]
    Invalid(String),
    /// The content of an item or object is not as this version writes it.
    #[error("malformed content: {0}")]
    Malformed(String),
    /// An item or object that must exist is missing.
    #[error("missing: {0}")]
    Missing(String),
}

/// Whether a failed request may have changed the store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum WriteEffect {
    /// The store is unchanged.
    #[display("no effect")]
    None,
    /// The write may have taken effect, or may still do so.
    #[display("may have taken effect")]
    Possible,
}

/// A request to the platform that failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{step} at {endpoint}: {fault} ({effect})")]
pub struct StoreError {
    /// What was being done.
    pub step: StoreStep,
    /// URL of the service.
    pub endpoint: String,
    /// What went wrong.
    #[source]
    pub fault: StoreFault,
    /// Whether the store may have changed.
    pub effect: WriteEffect,
}

impl StoreError {
    /// Returns an error whose effect follows from the step and the fault.
    pub fn new(step: &StoreStep, endpoint: &str, fault: StoreFault) -> Self {
        let uncertain = matches!(
            fault,
            StoreFault::ConnectionLost(_) | StoreFault::TimedOut(_) | StoreFault::ServiceFailed(_)
        );
        let effect = if uncertain && step.writes() {
            WriteEffect::Possible
        } else {
            WriteEffect::None
        };
        Self {
            step: step.clone(),
            endpoint: endpoint.to_owned(),
            fault,
            effect,
        }
    }

    /// Returns whether the write may have taken effect or may still do so.
    pub fn may_have_taken_effect(&self) -> bool {
        self.effect == WriteEffect::Possible
    }

    /// Returns whether the request may be sent again soon: it had no effect and failed quickly.
    pub(super) fn is_repeatable(&self) -> bool {
        let quick = matches!(
            self.fault,
            StoreFault::Unreachable(_)
                | StoreFault::ConnectionLost(_)
                | StoreFault::Throttled
                | StoreFault::ServiceFailed(_)
        );
        quick && self.effect == WriteEffect::None
    }

    pub(super) fn from_table<E>(
        step: &StoreStep,
        endpoint: &str,
        limit: Duration,
        error: &SdkError<E>,
    ) -> Self
    where
        E: Error + ProvideErrorMetadata + 'static,
    {
        let fault = match error {
            SdkError::ConstructionFailure(_) => StoreFault::Invalid(chain_of(error)),
            SdkError::TimeoutError(_) => StoreFault::TimedOut(limit),
            SdkError::DispatchFailure(failure) if is_connect_failure(error) => {
                StoreFault::Unreachable(connector_text(failure.as_connector_error()))
            }
            SdkError::DispatchFailure(failure) if failure.is_timeout() => {
                StoreFault::TimedOut(limit)
            }
            SdkError::DispatchFailure(failure) => {
                StoreFault::ConnectionLost(connector_text(failure.as_connector_error()))
            }
            SdkError::ResponseError(_) => StoreFault::ConnectionLost(chain_of(error)),
            SdkError::ServiceError(answer) => {
                service_fault(answer.raw().status().as_u16(), answer.err())
            }
            _ => StoreFault::ConnectionLost(chain_of(error)),
        };
        Self::new(step, endpoint, fault)
    }

    pub(super) fn from_object(step: &StoreStep, endpoint: &str, error: &ObjectError) -> Self {
        let text = chain_of(error);
        let kind = find_source::<HttpError>(error).map(HttpError::kind);
        let fault = match kind {
            Some(HttpErrorKind::Connect) => StoreFault::Unreachable(text),
            Some(_) => StoreFault::ConnectionLost(text),
            None if text.contains("SlowDown") => StoreFault::Throttled,
            None => StoreFault::ServiceFailed(text),
        };
        Self::new(step, endpoint, fault)
    }
}

fn service_fault<E: Error + ProvideErrorMetadata + 'static>(status: u16, error: &E) -> StoreFault {
    let code = error.code().unwrap_or("unknown code");
    let text = format!(
        "{code}: {}",
        error.message().unwrap_or("no further description")
    );
    if THROTTLING_CODES.contains(&code) {
        return StoreFault::Throttled;
    }
    if status >= SERVER_ERROR_STATUS || code == IN_PROGRESS_CODE {
        return StoreFault::ServiceFailed(text);
    }
    StoreFault::Refused(text)
}

fn is_connect_failure(error: &(dyn Error + 'static)) -> bool {
    find_source::<hyper_util::client::legacy::Error>(error).is_some_and(|error| error.is_connect())
}

fn connector_text(error: Option<&(impl Error + 'static)>) -> String {
    error.map_or_else(String::new, |error| chain_of(error))
}

/// Returns the message of an error followed by those of its sources.
fn chain_of(error: &(dyn Error + 'static)) -> String {
    let mut texts: Vec<String> = sources(error).map(ToString::to_string).collect();
    // Some errors repeat the message of their source.
    texts.dedup();
    texts.join(": ")
}

fn find_source<'e, E: Error + 'static>(error: &'e (dyn Error + 'static)) -> Option<&'e E> {
    sources(error).find_map(|error| error.downcast_ref())
}

fn sources<'e>(
    error: &'e (dyn Error + 'static),
) -> impl Iterator<Item = &'e (dyn Error + 'static)> {
    std::iter::successors(Some(error), |&error| error.source())
}
