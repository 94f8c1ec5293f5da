//! The own target and the client towards it.
