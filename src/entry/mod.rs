//! The callers' side: HTTP server and request path.
