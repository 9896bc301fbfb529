//! Tenants: who sends a request, what each tenant may send, and whether a removed credential is still accepted.
//!
//! The decisions in this module do no I/O. `docs/design/tenants.md` explains them.

mod caps;
mod directory;
mod freshness;
#[cfg(test)]
mod tests;

pub(crate) use caps::{Allowance, CapDecision, CapKeeper, CapLimits, Issue, SPARE_SHARE};
pub(crate) use directory::{AuthError, Tenant, TenantDirectory};
pub(crate) use freshness::{Freshness, VERIFY_PERIOD};
