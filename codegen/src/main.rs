//! Generates the committed protobuf code in `src/peer/generated`.
fn main() {}
