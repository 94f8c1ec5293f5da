//! Contracts of customers.
