//! Reads and checks the files that operators write.

use std::path::Path;

use super::output::Failure;
use crate::gateway::{GatewaySettings, parse_gateway_settings};
use crate::settings::{Settings, parse_settings};
use crate::tables::{Tables, parse_tables};
use crate::types::Fault;

/// Reads a text file.
///
/// # Errors
///
/// Fails with the name of the file if it can't be read.
pub(super) fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::Failed(format!("{}: {e}", path.display())))
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Gives all faults of the file.
pub(super) fn read_settings(path: &Path) -> Result<Settings, Failure> {
    let text = read_file(path)?;
    parse_settings(&path.display().to_string(), &text).map_err(Failure::Input)
}

/// Reads and checks a settings file of a gateway.
///
/// # Errors
///
/// Gives the first fault of the file.
pub(super) fn read_gateway_settings(path: &Path) -> Result<GatewaySettings, Failure> {
    let text = read_file(path)?;
    parse_gateway_settings(&text).map_err(|e| Failure::Failed(format!("{}: {e}", path.display())))
}

/// Reads and checks the files of both tables.
///
/// # Errors
///
/// Gives all faults of both files.
pub(super) fn read_tables(routes: &Path, pools: &Path) -> Result<Tables, Failure> {
    let (routes_text, pools_text) = (read_file(routes)?, read_file(pools)?);
    let (routes, pools) = (routes.display().to_string(), pools.display().to_string());
    parse_tables(&routes, &routes_text, &pools, &pools_text).map_err(Failure::Input)
}

/// Checks tables that came as JSON with the same rules as files.
///
/// The command line checks its files itself; another client of the operator API may not.
///
/// # Errors
///
/// Gives the messages of all faults.
pub(super) fn check_published(tables: &Tables) -> Result<(), String> {
    let routes = tables.routes.iter().map(|route| {
        let mut route = serde_json::to_value(route).unwrap_or_default();
        // A file leaves out a key that a route doesn't have.
        if let Some(fields) = route.as_object_mut().filter(|fields| fields["key"].is_null()) {
            fields.remove("key");
        }
        route
    });
    let routes = serde_json::json!({ "routes": routes.collect::<Vec<_>>() });
    let pools = serde_json::json!({ "pools": tables.pools });
    // JSON is YAML, so the reader of the files takes it as it is.
    let result = parse_tables("routes", &routes.to_string(), "pools", &pools.to_string());
    let join = |faults: Vec<Fault>| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
    result.map(drop).map_err(join)
}
