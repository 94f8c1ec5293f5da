//! Connection of a client that is read ahead of the HTTP server, so that a disconnect is noticed while requests are
//! waiting.
//!
//! The HTTP server reads only when it needs bytes. With pipelined requests in its buffer it would not notice that the
//! client has disconnected, and would still forward these requests.

use {
    super::client_connections::ClientConnection,
    bytes::{Buf, BytesMut},
    futures::ready,
    parking_lot::Mutex,
    std::{
        future::poll_fn,
        io::{Error, IoSlice},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, Waker},
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Largest number of bytes that are read ahead.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// Number of bytes that a limited connection may always read ahead; more are charged to it.
const FREE_AHEAD_BYTES: usize = 16 * 1024;

/// Largest number of bytes per read.
const MAX_READ_BYTES: usize = 8 * 1024;

#[derive(Debug, Default)]
struct AheadState {
    buffer: BytesMut,
    ended: bool,
    discarding: bool,
    /// Whether bytes of the client were dropped.
    has_discarded: bool,
    /// Task of the HTTP server, waiting for bytes.
    server: Option<Waker>,
    /// Task of `fill_from`, waiting for room in the buffer.
    filler: Option<Waker>,
}

/// Buffer of bytes that were read from a client and not yet taken by the HTTP server.
#[derive(Clone, Debug, Default)]
pub struct ReadAhead {
    state: Arc<Mutex<AheadState>>,
    /// Connection that is charged for the buffer; none if it is not limited.
    limited: Option<ClientConnection>,
}

impl ReadAhead {
    /// Returns an empty buffer; `limited` is charged for it.
    pub fn new(limited: Option<ClientConnection>) -> Self {
        Self {
            state: Arc::default(),
            limited,
        }
    }

    /// Fills the buffer until the client closes its side or the connection breaks.
    pub async fn fill_from(&self, mut reader: OwnedReadHalf) {
        let mut chunk = [0; MAX_READ_BYTES];
        loop {
            poll_fn(|context| self.poll_room(context)).await;
            match reader.read(&mut chunk).await {
                Ok(length) if length > 0 => self.add(&chunk[..length]),
                _ => break,
            }
        }
        let mut state = self.state.lock();
        state.ended = true;
        state.server.take().into_iter().for_each(Waker::wake);
    }

    /// Drops the buffered bytes and all bytes read from now on.
    pub fn discard(&self) {
        let mut state = self.state.lock();
        state.discarding = true;
        state.has_discarded |= !state.buffer.is_empty();
        state.buffer.clear();
        state.filler.take().into_iter().for_each(Waker::wake);
    }

    /// Returns whether bytes of the client were dropped after `discard`.
    pub fn has_discarded(&self) -> bool {
        self.state.lock().has_discarded
    }

    fn poll_room(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if self.has_room(state.buffer.len()) {
            return Poll::Ready(());
        }
        state.filler = Some(context.waker().clone());
        Poll::Pending
    }

    fn has_room(&self, length: usize) -> bool {
        match &self.limited {
            Some(limited) if length >= FREE_AHEAD_BYTES => {
                length < MAX_AHEAD_BYTES && limited.charge_pipeline()
            }
            _ => length < MAX_AHEAD_BYTES,
        }
    }

    fn add(&self, chunk: &[u8]) {
        let mut state = self.state.lock();
        state.has_discarded |= state.discarding;
        if !state.discarding {
            if let Some(limited) = &self.limited {
                limited.receive(chunk);
            }
            state.buffer.extend_from_slice(chunk);
            state.server.take().into_iter().for_each(Waker::wake);
        }
    }

    fn poll_take(&self, context: &mut Context<'_>, output: &mut ReadBuf<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if state.buffer.is_empty() && !state.ended {
            state.server = Some(context.waker().clone());
            if let Some(limited) = &self.limited {
                limited.await_request();
            }
            return Poll::Pending;
        }
        let length = state.buffer.len().min(output.remaining());
        output.put_slice(&state.buffer[..length]);
        state.buffer.advance(length);
        if let Some(limited) = self.limited.as_ref().filter(|_| length > 0) {
            limited.take_ahead(length);
            if state.buffer.is_empty() && state.buffer.capacity() > MAX_READ_BYTES {
                state.buffer = BytesMut::new();
                limited.release_pipeline();
            }
        }
        state.filler.take().into_iter().for_each(Waker::wake);
        Poll::Ready(())
    }
}

/// Connection of a client: reads take from the buffer, writes go to the socket.
#[derive(Debug)]
pub struct ClientIo {
    ahead: ReadAhead,
    writer: OwnedWriteHalf,
}

impl ClientIo {
    /// Returns a connection that reads from `ahead` and writes to `writer`.
    pub fn new(ahead: ReadAhead, writer: OwnedWriteHalf) -> Self {
        Self { ahead, writer }
    }

    fn record_write(&self, written: &Poll<Result<usize, Error>>) {
        let Some(limited) = &self.ahead.limited else {
            return;
        };
        match written {
            Poll::Ready(Ok(length)) => limited.record_write(Some(*length)),
            Poll::Pending => limited.record_write(None),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        ready!(self.ahead.poll_take(context, output));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.writer).poll_write(context, content);
        self.record_write(&written);
        written
    }

    // Without vectored writes, the HTTP server copies each answer into a buffer of its own, which nobody counts.
    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.writer).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        let flushed = Pin::new(&mut self.writer).poll_flush(context);
        // The HTTP server flushes only after it has written all bytes that it has.
        if let (Some(limited), Poll::Ready(Ok(()))) = (&self.ahead.limited, &flushed) {
            limited.record_flush();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
