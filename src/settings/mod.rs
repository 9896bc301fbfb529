//! Settings of a process, from a YAML file.

use std::net::SocketAddr;

use crate::platform::{Bounds, decode_bounds};
use crate::types::{HostName, Zone, value};

#[cfg(test)]
mod tests;

value! {
    /// Settings of a gateway.
    pub(crate) struct Settings {
        /// Name of this host.
        pub(crate) host: HostName,
        /// Availability zone of this host.
        pub(crate) zone: Zone,
        pub(crate) listen: Listen,
        /// Share of a core that the process may use; hosts with more take on more of the work for all.
        #[serde(default)]
        pub(crate) cores: Option<f64>,
        /// Address of the platform's store.
        pub(crate) store: SocketAddr,
        /// Bounds of the deployment, each as `name=value`.
        #[serde(default)]
        pub(crate) bounds: Vec<String>,
    }

    /// Addresses on which the gateway listens.
    pub(crate) struct Listen {
        pub(crate) callers: SocketAddr,
        /// Answers whether the host takes new connections of callers.
        pub(crate) ready: SocketAddr,
        /// Datagrams of other hosts.
        pub(crate) peers: SocketAddr,
        pub(crate) metrics: SocketAddr,
    }
}

/// Share of a core that counts where the settings don't say.
const CORES_DEFAULT: f64 = 1.0;
/// Most cores that a setting may name; more is a mistake.
const CORES_MAX: f64 = 1024.0;

impl Settings {
    /// Gives the processor time of this host in thousandths of a core.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked when settings are read"
    )]
    pub(crate) fn millicores(&self) -> u32 {
        (self.cores.unwrap_or(CORES_DEFAULT) * 1e3) as u32
    }

    /// Decodes the bounds.
    ///
    /// # Panics
    ///
    /// Never for settings of [`parse_settings`], which checks them.
    pub(crate) fn bounds(&self) -> Bounds {
        decode_bounds(self.bounds.iter().map(String::as_str)).expect("bounds are checked when settings are read")
    }
}

/// Parses and checks settings.
///
/// # Errors
///
/// Fails with the first fault and its place.
pub(crate) fn parse_settings(text: &str) -> Result<Settings, String> {
    let options = serde_saphyr::options! { with_snippet: false };
    let settings: Settings = serde_saphyr::from_str_with_options(text, options).map_err(|e| e.to_string())?;
    if let Some(cores) = settings.cores.filter(|cores| !(*cores > 0.0 && *cores <= CORES_MAX)) {
        return Err(format!("cores: {cores} is not above 0 and at most {CORES_MAX}"));
    }
    decode_bounds(settings.bounds.iter().map(String::as_str))?;
    Ok(settings)
}
