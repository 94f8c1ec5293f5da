//! Connection of the call path to the records of idempotency keys.

use {
    crate::{config::ServiceKey, ids::RouteName},
    bytes::Bytes,
    derive_more::Debug,
    futures::future::BoxFuture,
    sha2::{Digest, Sha256},
    std::sync::Arc,
};

/// Longest answer body kept for repeats.
pub const KEPT_ANSWER_BYTES: usize = 8 * 1024;

/// A call that carries an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedCall {
    /// Service called.
    pub key: ServiceKey,
    /// Route called.
    pub route: RouteName,
    /// The idempotency key.
    pub idempotency_key: String,
    /// Digest of what identifies the request besides its key.
    pub fingerprint: String,
}

/// An answer that repeats of a keyed call receive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body; none if it is longer than `KEPT_ANSWER_BYTES`.
    pub body: Option<Bytes>,
}

/// What a record says about an earlier call with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedRepeat {
    /// The earlier call was answered.
    Answered(KeptAnswer),
    /// The earlier call runs, or its outcome is unknown.
    Unsettled,
    /// The earlier call was another request under the same key.
    OtherRequest,
}

/// What to do with a keyed call.
#[derive(Debug)]
pub enum KeyedStart {
    /// The call is the first with its key and may run.
    Run(KeyedTicket),
    /// The key was used before.
    Repeat(KeyedRepeat),
    /// No record could be written; the call must not run.
    Unavailable(String),
}

/// The right to run a keyed call once; exactly one of its closures is called, or none if the outcome
/// stays unknown.
#[derive(Debug)]
pub struct KeyedTicket {
    /// Records the answer.
    #[debug(skip)]
    pub finish: Box<dyn FnOnce(KeptAnswer) -> BoxFuture<'static, ()> + Send>,
    /// Removes the record of a call that was not run.
    #[debug(skip)]
    pub abandon: Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>,
}

/// Access to the records of idempotency keys.
#[derive(Clone, Debug)]
pub struct KeyedHooks {
    /// Records a key before its call runs.
    #[debug(skip)]
    pub begin: Arc<dyn Fn(KeyedCall) -> BoxFuture<'static, KeyedStart> + Send + Sync>,
}

/// Returns the digest of what identifies a request besides its key and its body.
///
/// The body is streamed while the call runs, so only its declared length takes part.
pub fn request_fingerprint(method: &str, path_and_query: &str, length: Option<u64>) -> String {
    let length = length.map_or_else(|| "chunked".to_owned(), |length| length.to_string());
    let digest = Sha256::digest(format!("{method} {path_and_query} {length}"));
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
