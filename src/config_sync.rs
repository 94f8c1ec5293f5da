//! Dissemination of configuration between nodes.
