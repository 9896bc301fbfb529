//! Moves of key ranges, grants and loss of owners.
