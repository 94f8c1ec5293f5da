//! Start-up of a node without state.
