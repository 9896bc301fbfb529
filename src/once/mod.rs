//! At-most-once execution by idempotency key.
