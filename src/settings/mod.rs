//! Settings of a gateway, from a YAML file.

use std::net::SocketAddr;

use crate::platform::{Bounds, decode_bounds};
use crate::types::{HostName, Zone, value};

#[cfg(test)]
mod tests;

value! {
    /// Contents of a settings file.
    pub(crate) struct Settings {
        /// Name of this host.
        pub(crate) host: HostName,
        /// Availability zone of this host.
        pub(crate) zone: Zone,
        pub(crate) listen: Listen,
        /// Number of processor cores that the process may use, with fractions. Hosts with more take on
        /// more of the work done on behalf of all hosts.
        #[serde(default)]
        pub(crate) cores: Option<f64>,
        /// Memory of the machine that the process may use, in MB.
        #[serde(default)]
        pub(crate) memory_mb: Option<usize>,
        /// File descriptors that the process may open.
        #[serde(default)]
        pub(crate) descriptors: Option<usize>,
        /// Whether the gateway learns how much each upstream takes well, and places requests and keys by it.
        #[serde(default)]
        pub(crate) learned_capacity: Option<bool>,
        /// Address of the platform's store.
        pub(crate) store: SocketAddr,
        /// Bounds of the deployment, each as `name=value`.
        #[serde(default)]
        pub(crate) bounds: Vec<String>,
    }

    /// Addresses on which the gateway listens.
    pub(crate) struct Listen {
        pub(crate) callers: SocketAddr,
        /// Readiness check, which reports whether the host accepts new connections of callers.
        pub(crate) ready: SocketAddr,
        /// Datagrams of other hosts.
        pub(crate) peers: SocketAddr,
        pub(crate) metrics: SocketAddr,
    }
}

const DEFAULT_CORES: f64 = 1.0;
const DEFAULT_MEMORY_MB: usize = 256;
const DEFAULT_DESCRIPTORS: usize = 4096;
/// Least memory with which a gateway can serve requests.
const MEMORY_MIN_MB: usize = 32;
/// Least number of descriptors: those of the process itself and some for callers.
const DESCRIPTORS_MIN: usize = 64;
/// Largest accepted number of cores; a larger one is a mistake.
const CORES_MAX: f64 = 1024.0;

impl Settings {
    /// Returns the processor share of this host in thousandths of a core.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked when settings are parsed"
    )]
    pub(crate) fn millicores(&self) -> u32 {
        (self.cores.unwrap_or(DEFAULT_CORES) * 1e3) as u32
    }

    /// Returns the memory of the machine in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1_000_000)
    }

    /// Reports whether the gateway learns how much each upstream takes well.
    pub(crate) fn learns_capacity(&self) -> bool {
        self.learned_capacity.unwrap_or(true)
    }

    /// Returns the number of descriptors that the process may open.
    pub(crate) fn descriptor_limit(&self) -> usize {
        self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS)
    }

    /// Returns the decoded bounds.
    ///
    /// # Panics
    ///
    /// Never for settings from [`parse_settings`], which checks the bounds.
    pub(crate) fn bounds(&self) -> Bounds {
        decode_bounds(self.bounds.iter().map(String::as_str)).expect("bounds are checked when settings are parsed")
    }
}

/// Parses and checks settings.
///
/// # Errors
///
/// Returns a description of the first fault and where it is.
pub(crate) fn parse_settings(text: &str) -> Result<Settings, String> {
    let options = serde_saphyr::options! { with_snippet: false };
    let settings: Settings = serde_saphyr::from_str_with_options(text, options).map_err(|e| e.to_string())?;
    if let Some(cores) = settings.cores.filter(|cores| !(*cores > 0.0 && *cores <= CORES_MAX)) {
        return Err(format!(
            "cores: expected a number above 0 and at most {CORES_MAX}, found {cores}"
        ));
    }
    let least = [
        ("memory_mb", settings.memory_mb, MEMORY_MIN_MB),
        ("descriptors", settings.descriptors, DESCRIPTORS_MIN),
    ];
    for (name, value, min) in least {
        if let Some(value) = value.filter(|value| *value < min) {
            return Err(format!("{name}: expected at least {min}, found {value}"));
        }
    }
    decode_bounds(settings.bounds.iter().map(String::as_str))?;
    Ok(settings)
}
