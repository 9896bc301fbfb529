//! Choice of upstream, ejection, retries, hedges, suspects and connection health.

mod eject;
mod hedge;
mod pick;
mod retry;
mod silence;
mod suspects;

#[cfg(test)]
mod tests;

pub(crate) use eject::{Ejection, Ejector};
pub(crate) use hedge::{HedgeBudget, HedgeQuestion};
pub(crate) use pick::{LatencyAverage, Load, pick_again, pick_upstream};
pub(crate) use retry::{Denial, Failure, RetryBudget};
pub(crate) use silence::{ConnectionId, Silence, SilenceStep};
pub(crate) use suspects::{Crash, Fingerprint, RunEnd, Standing, SuspectMessage, Suspects, Target};
#[cfg(test)]
pub(crate) use suspects::{CrashInfo, Suspect};
