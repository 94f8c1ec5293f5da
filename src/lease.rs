//! Leases with fencing tokens.
