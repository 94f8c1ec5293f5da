//! Structured log.
