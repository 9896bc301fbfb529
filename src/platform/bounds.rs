//! Bounds of a deployment, each written as `name=value`.

use std::time::Duration;

use super::units::parse_time;

/// Limits that the deployment sets for the gateway.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// Longest time for which an upstream may be used after the store has recorded that it leaves.
    pub(crate) drain: Duration,
    /// Time between the stop signal and the forced termination of a process.
    pub(crate) stop: Duration,
    /// Longest lease that a grant may give.
    pub(crate) grant: Duration,
    /// Share of a pool's requests that may be retried.
    pub(crate) retry_ratio: f64,
    /// Window over which retries are counted.
    pub(crate) retry_window: Duration,
    /// Retries allowed within a window in addition to the ratio.
    pub(crate) retry_extra: f64,
    /// Factor applied to the request rate that a cold upstream tolerates.
    pub(crate) cold_factor: f64,
    /// Requests per second allowed in addition to that rate.
    pub(crate) cold_extra: f64,
    /// Time after which the upstreams of an evacuated availability zone receive no more requests.
    pub(crate) evacuation: Duration,
    /// Time within which a configuration has to be in force at all hosts.
    pub(crate) configuration: Duration,
    /// Time after which no host accepts a credential that operators have removed; `None` without such a bound.
    pub(crate) revocation: Option<Duration>,
    /// Window over which the requests of a tenant are counted.
    pub(crate) cap_window: Duration,
    /// Share of a tenant's cap by which it may be exceeded in a window.
    pub(crate) cap_overage: f64,
    /// Requests by which a tenant's cap may be exceeded in a window in addition.
    pub(crate) cap_extra: f64,
}

impl Default for Bounds {
    /// Returns bounds that are at least as strict as those of every known deployment.
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
            configuration: Duration::from_secs(2),
            revocation: None,
            cap_window: Duration::from_secs(5),
            cap_overage: 0.0,
            cap_extra: 0.0,
        }
    }
}

/// Parses the bounds; unknown names are ignored.
///
/// # Errors
///
/// Returns a description of the first bound that doesn't parse.
pub(crate) fn decode_bounds<'a>(texts: impl IntoIterator<Item = &'a str>) -> Result<Bounds, String> {
    let mut bounds = Bounds::default();
    let (mut is_strict, mut revocation) = (false, None);
    for text in texts {
        let (name, value) = text
            .split_once('=')
            .ok_or_else(|| format!("bound {text:?}: expected name=value"))?;
        let time = || {
            parse_time(value).ok_or_else(|| format!("bound {name}: expected a duration like 1500ms, found {value:?}"))
        };
        let number = || {
            let number = value.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
            number.ok_or_else(|| format!("bound {name}: expected a finite number of 0 or more, found {value:?}"))
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
            "config_apply" => bounds.configuration = time()?,
            "evacuate" => bounds.evacuation = time()?,
            "strict_revoke" => is_strict = value == "true",
            "revoke" => revocation = Some(time()?),
            "quota_window" => bounds.cap_window = time()?,
            "quota_overage" => bounds.cap_overage = number()?,
            "quota_slack" => bounds.cap_extra = number()?,
            _ => {}
        }
    }
    bounds.revocation = revocation.filter(|_| is_strict);
    Ok(bounds)
}
