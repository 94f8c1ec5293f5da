//! Client of the admin API.
