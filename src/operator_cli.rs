//! Command line of the operator's program.
