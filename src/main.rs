//! The `ragworthub` binary.
fn main() {}
