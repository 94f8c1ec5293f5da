//! Accepted configuration and its audit record.
