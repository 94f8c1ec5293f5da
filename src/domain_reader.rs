//! Reader of the store for a failure domain.
