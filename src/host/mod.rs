//! Wiring of an entry host.
