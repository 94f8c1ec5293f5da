//! HTTP server for callers.
