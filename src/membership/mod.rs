//! Routing lease, peer liveness and leadership.
