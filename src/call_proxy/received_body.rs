//! Request bodies received by a server, with lingering close for bodies that are not read to their end.

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

/// Limit on the bytes that are read and discarded of an abandoned request body.
const LINGER_BYTES: u64 = 1024 * 1024;

/// Time for which an abandoned request body is kept open.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// A request body that counts as an exchange in progress, and whose rest is read for a short time once it is abandoned.
///
/// A server that closes a connection with unread data resets it. The sender, still writing, would then lose the refusal
/// that is under way to it.
struct ReceivedBody {
    inner: Option<Incoming>,
    expects_continue: bool,
    _token: TaskTrackerToken,
}

/// Wraps the body of a request; `token` keeps a draining server running until the body has been read or discarded.
pub fn receive_request(
    request: Request<Incoming>,
    token: TaskTrackerToken,
) -> Request<ExchangeBody> {
    let expects_continue = request.headers().contains_key(EXPECT);
    request.map(|inner| {
        let received = ReceivedBody {
            inner: Some(inner),
            expects_continue,
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
        // Reading a body announced with `expect: 100-continue` would make hyper send `100 Continue`.
        match self.expects_continue {
            true => drop(runtime.spawn(keep_open(inner))),
            false => drop(runtime.spawn(timeout(LINGER_TIME, read_and_discard(inner)))),
        }
    }
}

async fn keep_open(inner: Incoming) {
    sleep(LINGER_TIME).await;
    drop(inner);
}

async fn read_and_discard(mut inner: Incoming) {
    let mut read = 0;
    while let Some(Ok(frame)) = inner.frame().await {
        read += frame.data_ref().map_or(0, |data| data.len() as u64);
        if read > LINGER_BYTES {
            return;
        }
    }
}
