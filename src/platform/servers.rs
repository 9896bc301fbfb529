//! Wire format of the upstreams' announcements.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::units::read_time;
use crate::catalog::{Announcement, Phase};
use crate::types::{PoolName, UpstreamName, Zone};

#[derive(Deserialize)]
struct WireServer {
    service: PoolName,
    address: SocketAddr,
    zone: Zone,
    slots: u32,
    state: WireState,
    #[serde(deserialize_with = "read_time")]
    cold_left: Duration,
    seq: u64,
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Decodes an announcement, whose record has the upstream's name as its key.
///
/// # Errors
///
/// Returns a description of the fault if the name or the record doesn't parse, or the upstream has
/// no slots or no port.
pub(crate) fn decode_server(key: &str, text: &[u8]) -> Result<Announcement, String> {
    let upstream: UpstreamName = key.parse().map_err(|e| format!("upstream name: {e}"))?;
    let wire = serde_json::from_slice::<WireServer>(text).map_err(|e| e.to_string())?;
    if wire.slots == 0 {
        return Err("slots: expected at least 1, found 0".to_owned());
    }
    if wire.address.port() == 0 {
        return Err("address: expected a port from 1 to 65535, found 0".to_owned());
    }
    Ok(Announcement {
        upstream,
        pool: wire.service,
        address: wire.address,
        zone: wire.zone,
        slots: wire.slots,
        phase: match wire.state {
            WireState::Ready => Phase::Ready,
            WireState::Draining => Phase::Draining,
        },
        cold_left: wire.cold_left,
        incarnation: wire.born,
        sequence: wire.seq,
    })
}
