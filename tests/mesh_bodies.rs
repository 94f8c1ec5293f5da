//! Memory that bodies take on a node.

use {
    bytes::Bytes,
    http_body::{Body, Frame},
    poplarwing::mesh::{
        held_bytes::HeldBytes,
        http::{WholeBodyError, read_whole},
    },
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

const MIB: usize = 1024 * 1024;

/// A body in frames of 16 KiB; counts what has been read of it.
struct LongBody {
    left: usize,
    read: usize,
}

impl LongBody {
    fn new(length: usize) -> Self {
        Self {
            left: length,
            read: 0,
        }
    }
}

impl Body for LongBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let length = self.left.min(16 * 1024);
        self.left -= length;
        self.read += length;
        let frame = (length > 0).then(|| Ok(Frame::data(Bytes::from(vec![b'x'; length]))));
        Poll::Ready(frame)
    }
}

/// Guards against several long bodies at once that together take more memory than the node has.
#[tokio::test]
async fn bodies_held_at_once_stay_within_the_memory_for_them() {
    let bytes = HeldBytes::new(20 * MIB);
    let mut held = Vec::new();
    for _ in 0..6 {
        if let Ok(content) = read_whole(LongBody::new(8 * MIB), 32 * MIB, &bytes).await {
            held.push(content);
        }
        assert!(bytes.held() <= 20 * MIB);
    }

    assert_eq!(held.len(), 2, "20 MiB have room for two bodies of 8 MiB");
    let refused = read_whole(LongBody::new(8 * MIB), 32 * MIB, &bytes).await;
    assert!(matches!(refused, Err(WholeBodyError::NoMemory)));
    let short = read_whole(LongBody::new(32 * 1024), 32 * MIB, &bytes).await;
    assert_eq!(short.expect("a short body is always held").len(), 32 * 1024);
    drop(held);
    assert_eq!(bytes.held(), 0, "dropped bodies return their bytes");
}

/// Guards against a single body without end that takes all the memory for bodies.
#[tokio::test]
async fn one_body_takes_half_of_the_memory_at_most() {
    let bytes = HeldBytes::new(20 * MIB);
    let mut body = LongBody::new(usize::MAX);

    let result = read_whole(Pin::new(&mut body), 32 * MIB, &bytes).await;

    assert!(matches!(result, Err(WholeBodyError::OverLimit { limit }) if limit == 10 * MIB));
    assert!(body.read <= 10 * MIB + 16 * 1024);
    assert_eq!(bytes.held(), 0);
}
