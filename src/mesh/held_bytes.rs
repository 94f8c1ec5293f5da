//! Bound of the memory that the bodies of requests and responses take on a node as a whole.
//!
//! A target in trouble may send bytes without end on several connections at once; a bound for each body alone would
//! not keep the node within its memory.

use {
    super::client_connections::ClientConnections,
    bytes::Bytes,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Bytes of a body that are not counted; most bodies are shorter. For the body of a client's request they are part of
/// what its connection is charged.
const FREE_BYTES: usize = 32 * 1024;

/// Counter of the bytes held, shared by all bodies of a node.
///
/// Invariant: the bytes held never exceed the limit. A growing body is counted with the capacity of its buffer.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    held: Arc<AtomicUsize>,
    limit: usize,
    /// Connections whose slowest request is closed if a body finds no room.
    clients: Option<ClientConnections>,
}

/// Part of the bytes that one body holds; dropping it returns them.
#[derive(Debug)]
pub struct BodyShare {
    bytes: HeldBytes,
    taken: usize,
}

/// Content of a body together with its share.
struct HeldContent {
    content: Bytes,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl HeldBytes {
    /// Returns a counter with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            held: Arc::default(),
            limit,
            clients: None,
        }
    }

    /// Closes the slowest requests of these clients if a body finds no room.
    pub fn with_clients(self, clients: ClientConnections) -> Self {
        Self {
            clients: Some(clients),
            ..self
        }
    }

    /// Closes the slowest request that holds bytes; returns false if there is none.
    pub fn make_room(&self) -> bool {
        let clients = self.clients.as_ref();
        clients.is_some_and(|clients| clients.shed_slowest_body(FREE_BYTES))
    }

    /// Returns the longest body that is held, so that one body leaves room for others.
    pub fn longest_body(&self) -> usize {
        (self.limit / 2).max(FREE_BYTES)
    }

    /// Returns the bytes held at present.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the share of a body that has no content yet.
    pub fn begin(&self) -> BodyShare {
        BodyShare {
            bytes: self.clone(),
            taken: 0,
        }
    }
}

impl BodyShare {
    /// Grows the share to a body of `length` bytes; returns false if the node holds too much.
    pub fn grow_to(&mut self, length: usize) -> bool {
        let wanted = length.saturating_sub(FREE_BYTES);
        let Some(more) = wanted.checked_sub(self.taken).filter(|more| *more > 0) else {
            return true;
        };
        let limit = self.bytes.limit;
        let grow = |held: usize| held.checked_add(more).filter(|total| *total <= limit);
        let grown = self
            .bytes
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        if grown.is_ok() {
            self.taken += more;
        }
        grown.is_ok()
    }

    /// Ties the share to the content of the body: the bytes are returned once the last copy is dropped.
    pub fn hold(self, content: Bytes) -> Bytes {
        match self.taken {
            0 => content,
            _ => Bytes::from_owner(HeldContent {
                content,
                _share: self,
            }),
        }
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.bytes.held.fetch_sub(self.taken, Ordering::Relaxed);
    }
}
