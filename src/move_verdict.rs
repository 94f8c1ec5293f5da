//! Sequential test of a candidate version.
