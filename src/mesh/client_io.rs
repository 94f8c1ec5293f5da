//! Stream of a client whose bytes are read ahead, so that its departure is seen while it has requests waiting.
//!
//! The HTTP server reads only when it wants bytes. With further requests in its buffer it would not notice that the
//! client has left, and would send these requests on.

use {
    bytes::{Buf, BytesMut},
    futures::ready,
    parking_lot::Mutex,
    std::{
        future::poll_fn,
        io::Error,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, Waker},
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Bytes that are read ahead at most.
const AHEAD_BYTES: usize = 64 * 1024;

/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;

#[derive(Debug, Default)]
struct AheadState {
    buffer: BytesMut,
    ended: bool,
    discards: bool,
    /// Task of the server that waits for bytes.
    server: Option<Waker>,
    /// Task that waits for room in the buffer.
    filler: Option<Waker>,
}

/// Bytes of a client that have been read and not been taken by the server.
#[derive(Clone, Debug, Default)]
pub struct ReadAhead {
    state: Arc<Mutex<AheadState>>,
}

impl ReadAhead {
    /// Reads until the client closes its side or the connection breaks.
    pub async fn fill_from(&self, mut reader: OwnedReadHalf) {
        let mut part = [0; READ_BYTES];
        loop {
            poll_fn(|context| self.poll_room(context)).await;
            match reader.read(&mut part).await {
                Ok(length) if length > 0 => self.add(&part[..length]),
                _ => break,
            }
        }
        let mut state = self.state.lock();
        state.ended = true;
        state.server.take().into_iter().for_each(Waker::wake);
    }

    /// Drops what is buffered and what still comes.
    pub fn discard(&self) {
        let mut state = self.state.lock();
        state.discards = true;
        state.buffer.clear();
        state.filler.take().into_iter().for_each(Waker::wake);
    }

    fn poll_room(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if state.buffer.len() < AHEAD_BYTES {
            return Poll::Ready(());
        }
        state.filler = Some(context.waker().clone());
        Poll::Pending
    }

    fn add(&self, part: &[u8]) {
        let mut state = self.state.lock();
        if !state.discards {
            state.buffer.extend_from_slice(part);
            state.server.take().into_iter().for_each(Waker::wake);
        }
    }

    fn poll_take(&self, context: &mut Context<'_>, target: &mut ReadBuf<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if state.buffer.is_empty() && !state.ended {
            state.server = Some(context.waker().clone());
            return Poll::Pending;
        }
        let length = state.buffer.len().min(target.remaining());
        target.put_slice(&state.buffer[..length]);
        state.buffer.advance(length);
        state.filler.take().into_iter().for_each(Waker::wake);
        Poll::Ready(())
    }
}

/// Stream of a client: its bytes come from the buffer, answers go to the socket.
#[derive(Debug)]
pub struct ClientIo {
    ahead: ReadAhead,
    writer: OwnedWriteHalf,
}

impl ClientIo {
    /// Returns the stream of a client.
    pub fn new(ahead: ReadAhead, writer: OwnedWriteHalf) -> Self {
        Self { ahead, writer }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        ready!(self.ahead.poll_take(context, target));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.writer).poll_write(context, content)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
