//! Records of idempotency keys.
