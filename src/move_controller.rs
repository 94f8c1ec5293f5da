//! Control of moves between versions.
