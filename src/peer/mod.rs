//! Calls between entry hosts.
