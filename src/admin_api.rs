//! HTTP API for operators.
