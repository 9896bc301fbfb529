//! Measures of the decision modules, printed as a table and as JSON lines.

mod baselines;
mod placement;
mod policy;
pub(crate) mod pool;
mod slopes;

pub use placement::run_placement_measures;
pub use policy::run_policy_measures;
pub use slopes::run_slope_measures;
