//! Bounds of a deployment, given as texts `name=value`.

use std::time::Duration;

use super::units::parse_time;

/// Bounds that decisions keep to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// Longest use of an upstream after the store knows that it leaves.
    pub(crate) drain: Duration,
    /// Time between the signal to stop and the forced end of a process.
    pub(crate) stop: Duration,
    /// Longest time for which a grant may be given.
    pub(crate) grant: Duration,
    /// Share of a pool's requests that may be sent a second time.
    pub(crate) retry_ratio: f64,
    /// Span over which second sends are counted.
    pub(crate) retry_window: Duration,
    /// Second sends in a span beyond the ratio.
    pub(crate) retry_extra: f64,
    /// Factor on the rate that a cold upstream tolerates.
    pub(crate) cold_factor: f64,
    /// Requests in one second beyond that rate.
    pub(crate) cold_extra: f64,
    /// Time until the servers of a zone out of service get nothing more.
    pub(crate) evacuation: Duration,
}

impl Default for Bounds {
    /// Gives bounds that are at least as strict as those of any known deployment.
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            stop: Duration::from_secs(6),
            grant: Duration::from_secs(10),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_extra: 10.0,
            cold_factor: 1.0,
            cold_extra: 1.0,
            evacuation: Duration::from_secs(5),
        }
    }
}

/// Reads the bounds; names that are not used here are passed over.
///
/// # Errors
///
/// Fails with a description of the first bound whose value can't be read.
pub(crate) fn decode_bounds<'a>(texts: impl IntoIterator<Item = &'a str>) -> Result<Bounds, String> {
    let mut bounds = Bounds::default();
    for text in texts {
        let (name, value) = text
            .split_once('=')
            .ok_or_else(|| format!("bound {text:?}: expected name=value"))?;
        let time = || parse_time(value).ok_or_else(|| format!("bound {name}: expected a time, found {value:?}"));
        let number = || {
            let number = value.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
            number.ok_or_else(|| format!("bound {name}: expected a number, found {value:?}"))
        };
        match name {
            "drain" => bounds.drain = time()?,
            "grace" => bounds.stop = time()?,
            "max_hold" => bounds.grant = time()?,
            "retry_budget_ratio" => bounds.retry_ratio = number()?,
            "budget_window" => bounds.retry_window = time()?,
            "budget_extra" => bounds.retry_extra = number()?,
            "cold_burst_factor" => bounds.cold_factor = number()?,
            "cold_slack" => bounds.cold_extra = number()?,
            "evacuate" => bounds.evacuation = time()?,
            _ => {}
        }
    }
    Ok(bounds)
}
