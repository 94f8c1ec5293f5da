//! Request bodies as a server receives them.

use {
    super::{ExchangeBody, body::BodyError},
    bytes::Bytes,
    http::{Request, header::EXPECT},
    http_body::{Body, Frame, SizeHint},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        runtime::Handle,
        time::{sleep, timeout},
    },
    tokio_util::task::task_tracker::TaskTrackerToken,
};

/// Bytes of a body that nobody reads any more that are read and dropped.
const LINGER_BYTES: u64 = 1024 * 1024;

/// Time for which a body that nobody reads any more is kept open.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// A body that counts as an exchange in progress and outlives its exchange for a short time.
///
/// A server that closes a connection with unread data resets it, and the sender, which then cannot write,
/// would lose the refusal that is on its way to it.
struct ReceivedBody {
    inner: Option<Incoming>,
    asks_first: bool,
    _token: TaskTrackerToken,
}

/// Takes over a request; `token` keeps a draining server up until the body has been read or given up.
pub fn receive_request(
    request: Request<Incoming>,
    token: TaskTrackerToken,
) -> Request<ExchangeBody> {
    let asks_first = request.headers().contains_key(EXPECT);
    request.map(|inner| {
        let received = ReceivedBody {
            inner: Some(inner),
            asks_first,
            _token: token,
        };
        received.boxed_unsync()
    })
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(inner) = self.inner.as_mut() else {
            return Poll::Ready(None);
        };
        let polled = ready!(Pin::new(inner).poll_frame(context));
        if !matches!(polled, Some(Ok(_))) {
            self.inner = None;
        }
        Poll::Ready(polled.map(|frame| frame.map_err(BodyError::Source)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}

impl Drop for ReceivedBody {
    fn drop(&mut self) {
        let inner = self.inner.take().filter(|inner| !inner.is_end_stream());
        let (Some(inner), Ok(runtime)) = (inner, Handle::try_current()) else {
            return;
        };
        // Reading a body whose sender asks first would tell the sender to go on.
        match self.asks_first {
            true => drop(runtime.spawn(hold(inner))),
            false => drop(runtime.spawn(timeout(LINGER_TIME, read_and_drop(inner)))),
        }
    }
}

async fn hold(inner: Incoming) {
    sleep(LINGER_TIME).await;
    drop(inner);
}

async fn read_and_drop(mut inner: Incoming) {
    let mut read = 0;
    while let Some(Ok(frame)) = inner.frame().await {
        read += frame.data_ref().map_or(0, |data| data.len() as u64);
        if read > LINGER_BYTES {
            return;
        }
    }
}
