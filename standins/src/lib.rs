//! Development stand-ins for the platform and for upstreams.
