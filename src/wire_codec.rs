//! Frames of a connection between nodes.
