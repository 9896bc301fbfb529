//! The operators' side: HTTP server and command line.
