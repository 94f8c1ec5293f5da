//! Request and response bodies that are streamed through a node.

use {
    super::ExchangeBody,
    crate::call_events::BodyEnd,
    bytes::Bytes,
    derive_more::Debug,
    http_body::{Body, Frame, SizeHint},
    parking_lot::Mutex,
    std::{
        future::Future,
        mem::take,
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

/// Length of the request body prefix that is buffered so that a refused call can be sent to another target.
pub const REPLAY_PREFIX_BYTES: usize = 64 * 1024;

/// Why a body ended before its last byte.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection to the body's sender failed.
    #[error("read body from its sender: {0}")]
    Source(#[from] hyper::Error),
    /// The body is longer than its route allows.
    #[error("read request body: longer than {limit} bytes")]
    OverLimit {
        /// Longest body allowed, in bytes.
        limit: u64,
    },
    /// A later attempt has taken over the request body.
    #[error("send request body: a later attempt has taken over the body")]
    Superseded,
    /// The exchange that this body belongs to was cancelled.
    #[error("stream body: the exchange was cancelled")]
    Cancelled,
    /// The deadline of the call passed.
    #[error("stream body: the deadline passed")]
    DeadlinePassed,
}

/// A caller's request body with the buffered prefix that further attempts send again.
///
/// Invariants: `prefix` holds everything released so far while `prefix_complete` and `replay_enabled` are true; only
/// the body of the latest attempt reads; nothing beyond the buffered prefix is released before the latest attempt is
/// admitted.
#[derive(Debug)]
struct BodySource<B> {
    #[debug(skip)]
    incoming: B,
    /// Data received from the caller but not yet passed to an attempt.
    unreleased: Bytes,
    prefix: Vec<Bytes>,
    prefix_bytes: usize,
    replay_enabled: bool,
    prefix_complete: bool,
    attempt: u32,
    admitted: bool,
    waker: Option<Waker>,
    received: u64,
    limit: u64,
    over_limit: bool,
    source_failed: bool,
}

/// A caller's request body that can be sent again while its buffered prefix is complete.
#[derive(Debug)]
pub struct ReplayBuffer<B> {
    source: Arc<Mutex<BodySource<B>>>,
    declared_length: Option<u64>,
}

impl<B> ReplayBuffer<B>
where
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<BodyError>,
{
    /// Wraps a request body; reading more than `limit` bytes of it fails.
    pub fn new(incoming: B, limit: u64) -> Self {
        let declared_length = incoming.size_hint().exact();
        let source = BodySource {
            incoming,
            unreleased: Bytes::new(),
            prefix: Vec::new(),
            prefix_bytes: 0,
            replay_enabled: true,
            prefix_complete: true,
            attempt: 0,
            admitted: false,
            waker: None,
            received: 0,
            limit,
            over_limit: false,
            source_failed: false,
        };
        Self {
            source: Arc::new(Mutex::new(source)),
            declared_length,
        }
    }

    /// Returns the body for the next attempt; none if it can no longer be sent from its beginning.
    ///
    /// The previous attempt's body fails from now on, so that two attempts never split the unread data.
    pub fn next_attempt(&self) -> Option<ReplayBody<B>> {
        let mut source = self.source.lock();
        let is_replayable = source.is_replayable();
        source.start_attempt();
        let body = ReplayBody {
            source: self.source.clone(),
            attempt: source.attempt,
            next_chunk: 0,
            sent: 0,
            declared_length: self.declared_length,
        };
        is_replayable.then_some(body)
    }

    /// Returns whether the body can still be sent from its beginning.
    pub fn can_replay(&self) -> bool {
        self.source.lock().is_replayable()
    }

    /// Stops buffering the prefix, because no further attempt will follow.
    pub fn disable_replay(&self) {
        self.source.lock().replay_enabled = false;
    }

    /// Returns whether more bytes were received than the route allows.
    pub fn is_over_limit(&self) -> bool {
        self.source.lock().over_limit
    }

    /// Returns whether reading the body from the caller failed.
    pub fn has_source_failed(&self) -> bool {
        self.source.lock().source_failed
    }
}

/// The request body of one attempt.
#[derive(Debug)]
pub struct ReplayBody<B> {
    source: Arc<Mutex<BodySource<B>>>,
    attempt: u32,
    next_chunk: usize,
    sent: u64,
    declared_length: Option<u64>,
}

impl<B: Send + 'static> ReplayBody<B> {
    /// Returns whether the body may be longer than the buffered prefix, as one of unknown length may.
    pub fn exceeds_prefix(&self) -> bool {
        let length = self
            .declared_length
            .and_then(|length| usize::try_from(length).ok());
        length.is_none_or(|length| length > REPLAY_PREFIX_BYTES)
    }

    /// Returns a callback that admits the attempt, which may then send more than the buffered prefix.
    pub fn admit_callback(&self) -> impl Fn() + Send + Sync + use<B> {
        let (source, attempt) = (self.source.clone(), self.attempt);
        move || {
            let mut source = source.lock();
            if source.attempt == attempt {
                source.admitted = true;
                source.waker.take().into_iter().for_each(Waker::wake);
            }
        }
    }
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
        if let Some(chunk) = source.prefix.get(self.next_chunk).cloned() {
            self.next_chunk += 1;
            self.sent += chunk.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let frame = ready!(source.poll_source(context));
        if let Some(Ok(frame)) = &frame {
            self.sent += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        self.next_chunk = source.prefix.len();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        let source = self.source.lock();
        source.attempt == self.attempt
            && self.next_chunk >= source.prefix.len()
            && source.unreleased.is_empty()
            && source.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.declared_length {
            Some(length) => SizeHint::with_exact(length.saturating_sub(self.sent)),
            None => SizeHint::default(),
        }
    }
}

impl<B> BodySource<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    fn is_replayable(&self) -> bool {
        self.prefix_complete && self.replay_enabled && !self.over_limit && !self.source_failed
    }

    fn start_attempt(&mut self) {
        self.attempt += 1;
        self.admitted = false;
        // Wakes the previous attempt's body, whose next poll fails as superseded.
        self.waker.take().into_iter().for_each(Waker::wake);
    }

    /// Polls for data beyond the buffered prefix; called only after the latest attempt has sent the prefix.
    fn poll_source(&mut self, context: &mut Context<'_>) -> Poll<FrameResult> {
        if !self.replay_enabled {
            self.prefix = Vec::new();
        }
        if !self.admitted && self.prefix_bytes >= REPLAY_PREFIX_BYTES {
            self.waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        if !self.unreleased.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(self.release()))));
        }
        let polled = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        Poll::Ready(match polled {
            None => None,
            Some(Err(cause)) => {
                self.source_failed = true;
                Some(Err(cause.into()))
            }
            Some(Ok(frame)) => Some(self.receive_frame(frame)),
        })
    }

    fn receive_frame(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(trailers) => {
                // Trailers are not buffered, so a body whose trailers were read cannot be sent again.
                self.prefix_complete = false;
                return Ok(trailers);
            }
        };
        self.received += data.len() as u64;
        if self.received > self.limit {
            self.over_limit = true;
            return Err(BodyError::OverLimit { limit: self.limit });
        }
        self.unreleased = data;
        Ok(Frame::data(self.release()))
    }

    /// Releases received data; before admission at most up to the end of the buffered prefix.
    fn release(&mut self) -> Bytes {
        let remaining = REPLAY_PREFIX_BYTES.saturating_sub(self.prefix_bytes);
        let released = match self.admitted {
            true => take(&mut self.unreleased),
            false => self
                .unreleased
                .split_to(remaining.min(self.unreleased.len())),
        };
        self.extend_prefix(released.clone());
        released
    }

    fn extend_prefix(&mut self, data: Bytes) {
        if !self.replay_enabled || !self.prefix_complete {
            return;
        }
        if self.prefix_bytes + data.len() > REPLAY_PREFIX_BYTES {
            self.prefix_complete = false;
            self.prefix = Vec::new();
            return;
        }
        self.prefix_bytes += data.len();
        self.prefix.push(data);
    }
}

/// A request body that fails once its exchange is cancelled or its deadline passes.
///
/// A failed body makes the HTTP client close the connection, so that it is not reused.
pub struct AbortableBody<H> {
    inner: ExchangeBody,
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
    deadline: Pin<Box<Sleep>>,
    _guard: H,
}

impl<H> AbortableBody<H> {
    /// Wraps a body; `guard` is dropped with it.
    pub fn new(
        inner: ExchangeBody,
        cancel: &CancellationToken,
        deadline: Instant,
        guard: H,
    ) -> Self {
        Self {
            inner,
            cancelled: Box::pin(cancel.clone().cancelled_owned()),
            deadline: Box::pin(sleep_until(deadline.into())),
            _guard: guard,
        }
    }
}

impl<H: Unpin> Body for AbortableBody<H> {
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

/// Called once with how a response body ended.
pub type EndCallback = Box<dyn FnOnce(BodyEnd) + Send>;

/// State of a response body, shared with the timer that ends the body at its deadline.
struct WatchedState {
    inner: Option<ExchangeBody>,
    on_end: Option<EndCallback>,
    /// Waker of a receiver that has read all available data and waits for more.
    waker: Option<Waker>,
}

impl WatchedState {
    /// Detaches the body from its receiver.
    fn detach(&mut self) -> DetachedBody {
        DetachedBody {
            inner: self.inner.take(),
            on_end: self.on_end.take(),
            waker: self.waker.take(),
        }
    }
}

/// A body detached from its receiver.
struct DetachedBody {
    inner: Option<ExchangeBody>,
    on_end: Option<EndCallback>,
    waker: Option<Waker>,
}

impl DetachedBody {
    /// Drops the body, which ends the exchange, reports the end, then wakes the receiver, whose next poll fails.
    fn end(self, end: BodyEnd) {
        drop(self.inner);
        if let Some(on_end) = self.on_end {
            on_end(end);
        }
        self.waker.into_iter().for_each(Waker::wake);
    }
}

/// A response body that fails at its deadline and reports how it ended.
///
/// A timer drops the wrapped body at the deadline even while the receiver does not read, because a server that cannot
/// write does not poll the body either.
pub struct DeadlineBody {
    state: Arc<Mutex<WatchedState>>,
    timer: Option<AbortHandle>,
}

impl DeadlineBody {
    /// Wraps a response body; must be called within a Tokio runtime, which runs the timer.
    pub fn new(inner: ExchangeBody, deadline: Instant, on_end: EndCallback) -> Self {
        let ended = inner.is_end_stream();
        let state = Arc::new(Mutex::new(WatchedState {
            inner: Some(inner),
            on_end: Some(on_end),
            waker: None,
        }));
        let timer = (!ended).then(|| expire_at(state.clone(), deadline));
        Self { state, timer }
    }
}

fn expire_at(state: Arc<Mutex<WatchedState>>, deadline: Instant) -> AbortHandle {
    let expiry = async move {
        sleep_until(deadline.into()).await;
        let detached = state.lock().detach();
        let end = match detached.waker.is_some() {
            true => BodyEnd::DeadlinePassed,
            false => BodyEnd::Unread,
        };
        detached.end(end);
    };
    tokio::spawn(expiry).abort_handle()
}

/// Reports the end of a body, without holding the lock during the callback.
fn report_end(state: &Mutex<WatchedState>, end: BodyEnd) {
    let on_end = state.lock().on_end.take();
    if let Some(on_end) = on_end {
        on_end(end);
    }
}

impl Body for DeadlineBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<FrameResult> {
        let (polled, ended) = {
            let mut state = self.state.lock();
            let state = &mut *state;
            let Some(inner) = state.inner.as_mut() else {
                return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
            };
            let polled = Pin::new(&mut *inner).poll_frame(context);
            let ended = inner.is_end_stream();
            state.waker = polled.is_pending().then(|| context.waker().clone());
            (ready!(polled), ended)
        };
        match &polled {
            None => report_end(&self.state, BodyEnd::Whole),
            Some(Err(_)) => report_end(&self.state, BodyEnd::Broken),
            // The server does not poll a body of known length again after its last byte.
            Some(Ok(_)) if ended => report_end(&self.state, BodyEnd::Whole),
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

impl Drop for DeadlineBody {
    fn drop(&mut self) {
        if let Some(timer) = self.timer.take() {
            timer.abort();
        }
        let ended = self.is_end_stream();
        let detached = self.state.lock().detach();
        let end = match (ended, detached.waker.is_some()) {
            (true, _) => BodyEnd::Whole,
            (false, true) => BodyEnd::Cancelled,
            (false, false) => BodyEnd::Unread,
        };
        detached.end(end);
    }
}
