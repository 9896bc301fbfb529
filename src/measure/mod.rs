//! Measures of the decision code, which print a table and JSON lines.

mod policy;

pub use policy::run_policy_measures;
