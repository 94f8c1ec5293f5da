//! HTTP server for calls forwarded by other nodes.
