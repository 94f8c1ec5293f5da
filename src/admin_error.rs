//! Errors of the operator API.

use {
    crate::{
        admin_hooks::ReadFailure,
        admin_types::{ErrorBody, ErrorCode},
        ini_file::InputErrors,
    },
    http::StatusCode,
    thiserror::Error,
};

/// An error response of the API.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}: {}", body.code, body.message)]
pub struct ApiError {
    /// JSON body of the response.
    pub body: Box<ErrorBody>,
}

impl ApiError {
    /// Returns an error with a code and a message of full sentences; the other fields of its body stay
    /// empty.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> ApiError {
        ApiError {
            body: Box::new(ErrorBody {
                code,
                message: message.into(),
                yours: None,
                theirs: None,
                revision: None,
                version: None,
                errors: Vec::new(),
            }),
        }
    }

    /// Returns the HTTP status for the error code.
    pub fn status(&self) -> StatusCode {
        match self.body.code {
            ErrorCode::Unauthenticated => StatusCode::UNAUTHORIZED,
            ErrorCode::NotLocal => StatusCode::FORBIDDEN,
            ErrorCode::NotFound => StatusCode::NOT_FOUND,
            ErrorCode::MalformedRequest => StatusCode::BAD_REQUEST,
            ErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorCode::InvalidContract | ErrorCode::InvalidChange => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            ErrorCode::Conflict | ErrorCode::MoveRunning | ErrorCode::NoSuchMove => {
                StatusCode::CONFLICT
            }
            ErrorCode::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorCode::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<ReadFailure> for ApiError {
    fn from(failure: ReadFailure) -> ApiError {
        let message = format!("The store cannot be read: {failure}. Nothing was changed.");
        ApiError::new(ErrorCode::StoreUnavailable, message)
    }
}

impl From<InputErrors> for ApiError {
    fn from(errors: InputErrors) -> ApiError {
        let message = format!("The contract has {} errors.", errors.errors.len());
        let mut error = ApiError::new(ErrorCode::InvalidContract, message);
        error.body.errors = errors.errors;
        error
    }
}
