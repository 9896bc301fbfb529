//! Follows the platform's list of hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use tokio::time::sleep;

use super::Shared;
use crate::log::{HostState, read_hosts};

/// Time between two readings; an upstream that leaves gets no new work 3 s later at the latest.
const READ_EVERY: Duration = Duration::from_secs(1);

/// Reads the list until the task is aborted.
///
/// A host that the list calls leaving is believed at once. During an outage of the list the last
/// reading stays.
pub(super) async fn follow_hosts(shared: Arc<Shared>, address: SocketAddr) {
    loop {
        match read_hosts(address).await {
            Ok(hosts) => {
                let leaving = hosts.into_iter().filter(|listed| listed.state == HostState::Leaving);
                let leaving: BTreeSet<_> = leaving.map(|listed| listed.host).collect();
                shared.agreement.set_leaving(leaving);
            }
            Err(error) => debug!(shared.log, "host list not read"; "error" => error.to_string()),
        }
        sleep(READ_EVERY).await;
    }
}
