//! LZ4 compression ("packing") of configurations that are sent between nodes.
//!
//! Resources of one kind are very similar, so a configuration compresses to a small part of its length. Uncompressed,
//! a change of 500 KB takes 0.4 s on a link of 10 Mbit/s, for each node that pulls it.

use {
    crate::wire::{MAX_FRAME_BYTES, PackedContent, SyncBody},
    lz4_flex::block::{DecompressError, compress, decompress},
    std::borrow::Cow,
    thiserror::Error,
};

/// Largest decompressed length that is accepted: the same limit as for content that is sent uncompressed.
const MAX_CONTENT_BYTES: u64 = MAX_FRAME_BYTES as u64;

/// Content shorter than this is sent uncompressed: it fits into one or two network packets anyway.
const MIN_CONTENT_BYTES: usize = 1024;

/// Reason why packed content cannot be decompressed.
#[derive(Debug, Error)]
pub enum PackingError {
    /// The length that the peer states exceeds the limit.
    #[error(
        "unpack content: its decompressed length is {0} bytes, at most {MAX_CONTENT_BYTES} are allowed"
    )]
    TooLong(u64),
    /// The LZ4 block is malformed.
    #[error("unpack content: invalid LZ4 block: {0}")]
    Invalid(#[from] DecompressError),
}

/// Compresses the content of a response to a pull, if it is long enough; other frames stay unchanged.
pub fn pack_response(response: SyncBody) -> SyncBody {
    match response {
        SyncBody::ConfigDelta(mut body) => {
            body.packed = pack(&mut body.json);
            SyncBody::ConfigDelta(body)
        }
        SyncBody::ConfigFull(mut body) => {
            body.packed = pack(&mut body.json);
            SyncBody::ConfigFull(body)
        }
        other => other,
    }
}

fn pack(json: &mut Vec<u8>) -> Option<PackedContent> {
    if json.len() < MIN_CONTENT_BYTES {
        return None;
    }
    let content = std::mem::take(json);
    Some(PackedContent {
        block: compress(&content),
        length: content.len() as u64,
    })
}

/// Returns the content of a body: `json` itself, or the decompressed content if there is packed content.
pub fn unpack_content<'a>(
    json: &'a [u8],
    packed: Option<&PackedContent>,
) -> Result<Cow<'a, [u8]>, PackingError> {
    let Some(packed) = packed else {
        return Ok(Cow::Borrowed(json));
    };
    if packed.length > MAX_CONTENT_BYTES {
        return Err(PackingError::TooLong(packed.length));
    }
    let content = decompress(&packed.block, packed.length as usize)?;
    Ok(Cow::Owned(content))
}
