//! Plans which key ranges move to which upstreams.
