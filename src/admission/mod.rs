//! Limits per upstream that hold over all hosts together.
