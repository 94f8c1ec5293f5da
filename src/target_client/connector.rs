//! TCP connector that bounds the number of open connections to a target.

use {
    crate::slot_gate::{PermitPool, PoolPermit},
    futures::future::BoxFuture,
    http::Uri,
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::{
        client::legacy::connect::{Connected, Connection},
        rt::TokioIo,
    },
    std::{
        io::{Error, ErrorKind, IoSlice},
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{io::ReadBuf, net::TcpStream, time::timeout},
    tower_service::Service,
};

/// Opens connections to one target; further connects wait while as many are open as the target accepts.
#[derive(Clone, Debug)]
pub struct BoundedConnector {
    address: SocketAddr,
    connections: PermitPool,
    connect_timeout: Duration,
}

impl BoundedConnector {
    /// Returns a connector for one address; each open connection takes a permit of `connections`.
    pub fn new(address: SocketAddr, connections: PermitPool, connect_timeout: Duration) -> Self {
        Self {
            address,
            connections,
            connect_timeout,
        }
    }

    async fn connect(self) -> Result<BoundedStream, Error> {
        let permit = self.connections.take().await;
        let permit = permit.ok_or_else(|| Error::other("the connection pool is closed"))?;
        let connected = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(|_| Error::from(ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(BoundedStream {
            inner: TokioIo::new(stream),
            permit: Some(permit),
            write_blocked: false,
            ended_early: false,
        })
    }
}

impl Service<Uri> for BoundedConnector {
    type Response = BoundedStream;
    type Error = Error;
    type Future = BoxFuture<'static, Result<BoundedStream, Error>>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _uri: Uri) -> Self::Future {
        Box::pin(self.clone().connect())
    }
}

/// A TCP connection with its permit, which is released some time after the connection was closed.
///
/// A target that ends its side before the request has been written fails the connection. A response that ends with
/// its connection would otherwise look complete, and the connection would hold the rest of the request until the target
/// closes the other side too.
#[derive(Debug)]
pub struct BoundedStream {
    inner: TokioIo<TcpStream>,
    permit: Option<PoolPermit>,
    /// Whether the last write is still waiting for the target to read.
    write_blocked: bool,
    /// Whether the target ended its side meanwhile; all further writes fail, so that the rest of the request is dropped.
    ended_early: bool,
}

impl BoundedStream {
    /// Waits until bytes can be read; fails at the end of the stream.
    fn poll_readable(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        let mut next = [0];
        let stream = self.inner.inner();
        let length = ready!(stream.poll_peek(context, &mut ReadBuf::new(&mut next)))?;
        self.ended_early = length == 0;
        Poll::Ready(self.check_not_ended())
    }

    fn check_not_ended(&self) -> Result<(), Error> {
        match self.ended_early {
            true => Err(Error::new(
                ErrorKind::ConnectionAborted,
                "the target ended its side before the request was written",
            )),
            false => Ok(()),
        }
    }
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.release_after_delay();
        }
    }
}

impl Connection for BoundedStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Read for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<(), Error>> {
        if self.write_blocked {
            ready!(self.poll_readable(context))?;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl Write for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        self.check_not_ended()?;
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.write_blocked = written.is_pending();
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        self.check_not_ended()?;
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.write_blocked = written.is_pending();
        written
    }
}
