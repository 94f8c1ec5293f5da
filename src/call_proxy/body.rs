//! Bodies that are streamed through a node.

use {
    super::ExchangeBody,
    crate::call_events::BodyEnd,
    bytes::Bytes,
    derive_more::Debug,
    http_body::{Body, Frame, SizeHint},
    http_body_util::BodyExt,
    parking_lot::Mutex,
    std::{
        future::Future,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, Waker, ready},
        time::Instant,
    },
    thiserror::Error,
    tokio::{
        task::AbortHandle,
        time::{Sleep, sleep_until},
    },
    tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned},
};

/// Request bytes kept so that a refused call can be sent elsewhere.
pub const KEPT_PREFIX_BYTES: usize = 64 * 1024;

/// A body that ended early.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The sender of the body broke off.
    #[error("read body from its sender: {0}")]
    Source(#[from] hyper::Error),
    /// The body is longer than its route allows.
    #[error("read request body: longer than {limit} bytes")]
    OverLimit {
        /// Longest body allowed.
        limit: u64,
    },
    /// The attempt that this body belongs to has been given up.
    #[error("send request body: the attempt was given up")]
    Superseded,
    /// The exchange that this body belongs to was cancelled.
    #[error("stream body: the exchange was cancelled")]
    Cancelled,
    /// The deadline of the call passed.
    #[error("stream body: the deadline passed")]
    DeadlinePassed,
}

/// A caller's request body and the prefix of it that is kept for another attempt.
///
/// Invariants: `kept` holds everything received so far while `complete_prefix` is true and `keep` has
/// not been ended; only the body of the latest attempt reads.
#[derive(Debug)]
struct BodySource<B> {
    #[debug(skip)]
    incoming: B,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    keep: bool,
    complete_prefix: bool,
    attempt: u32,
    received: u64,
    limit: u64,
    over_limit: bool,
    broken: bool,
}

/// A caller's request body that can be sent again while its prefix is complete.
#[derive(Debug)]
pub struct ReplayBuffer<B> {
    source: Arc<Mutex<BodySource<B>>>,
    total: Option<u64>,
}

impl<B> ReplayBuffer<B>
where
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<BodyError>,
{
    /// Takes over a request body of at most `limit` bytes.
    pub fn new(incoming: B, limit: u64) -> Self {
        let total = incoming.size_hint().exact();
        let source = BodySource {
            incoming,
            kept: Vec::new(),
            kept_bytes: 0,
            keep: true,
            complete_prefix: true,
            attempt: 0,
            received: 0,
            limit,
            over_limit: false,
            broken: false,
        };
        Self {
            source: Arc::new(Mutex::new(source)),
            total,
        }
    }

    /// Returns the body for the next attempt; none if it can no longer be sent from its beginning.
    ///
    /// The body of the attempt before fails from now on, so that two attempts never share the rest.
    pub fn next_attempt(&self) -> Option<ExchangeBody> {
        let mut source = self.source.lock();
        source.attempt += 1;
        let usable = source.is_repeatable();
        let body = ReplayBody {
            source: self.source.clone(),
            attempt: source.attempt,
            next_kept: 0,
            sent: 0,
            total: self.total,
        };
        usable.then(|| body.boxed_unsync())
    }

    /// Returns what the caller has yet to send, for a call that was refused.
    pub fn rest(&self) -> ExchangeBody {
        let mut source = self.source.lock();
        source.attempt += 1;
        let body = ReplayBody {
            source: self.source.clone(),
            attempt: source.attempt,
            next_kept: source.kept.len(),
            sent: 0,
            total: None,
        };
        body.boxed_unsync()
    }

    /// Returns whether the body can still be sent from its beginning.
    pub fn can_repeat(&self) -> bool {
        self.source.lock().is_repeatable()
    }

    /// Stops keeping the prefix: no other attempt will follow.
    pub fn stop_keeping(&self) {
        self.source.lock().keep = false;
    }

    /// Returns whether the body turned out longer than its route allows.
    pub fn is_over_limit(&self) -> bool {
        self.source.lock().over_limit
    }

    /// Returns whether the caller broke off while it sent the body.
    pub fn is_broken(&self) -> bool {
        self.source.lock().broken
    }
}

/// The request body of one attempt.
struct ReplayBody<B> {
    source: Arc<Mutex<BodySource<B>>>,
    attempt: u32,
    next_kept: usize,
    sent: u64,
    total: Option<u64>,
}

type FrameResult = Option<Result<Frame<Bytes>, BodyError>>;

impl<B> Body for ReplayBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<FrameResult> {
        let shared = self.source.clone();
        let mut source = shared.lock();
        if source.attempt != self.attempt {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if let Some(kept) = source.kept.get(self.next_kept).cloned() {
            self.next_kept += 1;
            self.sent += kept.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(kept))));
        }
        let frame = ready!(source.poll_source(context));
        if let Some(Ok(frame)) = &frame {
            self.sent += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        self.next_kept = source.kept.len();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let source = self.source.lock();
        source.attempt == self.attempt
            && self.next_kept >= source.kept.len()
            && source.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.total {
            Some(total) => SizeHint::with_exact(total.saturating_sub(self.sent)),
            None => SizeHint::default(),
        }
    }
}

impl<B> BodySource<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    fn is_repeatable(&self) -> bool {
        self.complete_prefix && self.keep && !self.over_limit && !self.broken
    }

    /// Reads on; called only after the latest attempt has sent all that is kept.
    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<FrameResult> {
        if !self.keep {
            self.kept = Vec::new();
        }
        let polled = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        Poll::Ready(match polled {
            None => None,
            Some(Err(cause)) => {
                self.broken = true;
                Some(Err(cause.into()))
            }
            Some(Ok(frame)) => Some(self.take_in(frame)),
        })
    }

    fn take_in(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let Some(data) = frame.data_ref() else {
            // Trailers are not kept, so a body whose trailers were read is not sent again.
            self.complete_prefix = false;
            return Ok(frame);
        };
        self.received += data.len() as u64;
        if self.received > self.limit {
            self.over_limit = true;
            return Err(BodyError::OverLimit { limit: self.limit });
        }
        self.keep_prefix(data.clone());
        Ok(frame)
    }

    fn keep_prefix(&mut self, data: Bytes) {
        if !self.keep || !self.complete_prefix {
            return;
        }
        self.kept_bytes += data.len();
        if self.kept_bytes > KEPT_PREFIX_BYTES {
            self.complete_prefix = false;
            self.kept = Vec::new();
            return;
        }
        self.kept.push(data);
    }
}

/// A request body that fails once its exchange is cancelled or its deadline passes.
///
/// A failed body makes the HTTP client close the connection, so that it is never used again.
pub struct GuardedBody<H> {
    inner: ExchangeBody,
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
    deadline: Pin<Box<Sleep>>,
    _hold: H,
}

impl<H> GuardedBody<H> {
    /// Wraps a body; `hold` is dropped with it.
    pub fn new(
        inner: ExchangeBody,
        cancel: &CancellationToken,
        deadline: Instant,
        hold: H,
    ) -> Self {
        Self {
            inner,
            cancelled: Box::pin(cancel.clone().cancelled_owned()),
            deadline: Box::pin(sleep_until(deadline.into())),
            _hold: hold,
        }
    }
}

impl<H: Unpin> Body for GuardedBody<H> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<FrameResult> {
        if self.cancelled.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(BodyError::Cancelled)));
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Receives the end of an answer's body, once.
pub type EndWatcher = Box<dyn FnOnce(BodyEnd) + Send>;

/// The part of an answer's body that the deadline takes away.
struct WatchedState {
    inner: Option<ExchangeBody>,
    watcher: Option<EndWatcher>,
    /// Wakes the receiver if it has read all there was and waits for more.
    ///
    /// The wrapped body forgets its receiver when it is dropped, so the deadline has to wake it.
    waiting: Option<Waker>,
}

/// An answer's body that ends at the deadline and tells how it ended.
///
/// The body that is wrapped is dropped at the deadline even while the receiver does not read, because
/// a server that cannot write does not poll the body either.
pub struct WatchedBody {
    state: Arc<Mutex<WatchedState>>,
    timer: Option<AbortHandle>,
}

impl WatchedBody {
    /// Wraps an answer's body; to be called within a runtime.
    pub fn new(inner: ExchangeBody, deadline: Instant, watcher: EndWatcher) -> Self {
        let ended = inner.is_end_stream();
        let state = Arc::new(Mutex::new(WatchedState {
            inner: Some(inner),
            watcher: Some(watcher),
            waiting: None,
        }));
        let timer = (!ended).then(|| expire_at(state.clone(), deadline));
        Self { state, timer }
    }
}

fn expire_at(state: Arc<Mutex<WatchedState>>, deadline: Instant) -> AbortHandle {
    let expiry = async move {
        sleep_until(deadline.into()).await;
        let (inner, waiting) = {
            let mut state = state.lock();
            (state.inner.take(), state.waiting.take())
        };
        drop(inner);
        let end = if waiting.is_some() {
            BodyEnd::DeadlinePassed
        } else {
            BodyEnd::Unread
        };
        finish(&state, end);
        if let Some(receiver) = waiting {
            receiver.wake();
        }
    };
    tokio::spawn(expiry).abort_handle()
}

/// Calls the watcher outside of the lock.
fn finish(state: &Mutex<WatchedState>, end: BodyEnd) {
    let watcher = state.lock().watcher.take();
    if let Some(watcher) = watcher {
        watcher(end);
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<FrameResult> {
        let (polled, ended) = {
            let mut state = self.state.lock();
            let Some(inner) = state.inner.as_mut() else {
                return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
            };
            let polled = Pin::new(&mut *inner).poll_frame(context);
            let ended = inner.is_end_stream();
            state.waiting = polled.is_pending().then(|| context.waker().clone());
            (ready!(polled), ended)
        };
        match &polled {
            None => finish(&self.state, BodyEnd::Whole),
            Some(Err(_)) => finish(&self.state, BodyEnd::Broken),
            // A body of known length is not polled again after its last byte.
            Some(Ok(_)) if ended => finish(&self.state, BodyEnd::Whole),
            Some(Ok(_)) => {}
        }
        Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        let state = self.state.lock();
        state.inner.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.state.lock();
        state
            .inner
            .as_ref()
            .map(Body::size_hint)
            .unwrap_or_default()
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        if let Some(timer) = self.timer.take() {
            timer.abort();
        }
        let ended = self.is_end_stream();
        let (inner, waiting) = {
            let mut state = self.state.lock();
            (state.inner.take(), state.waiting.is_some())
        };
        drop(inner);
        let end = match (ended, waiting) {
            (true, _) => BodyEnd::Whole,
            (false, true) => BodyEnd::Cancelled,
            (false, false) => BodyEnd::Unread,
        };
        finish(&self.state, end);
    }
}
