//! One attempt of a request at an upstream.
