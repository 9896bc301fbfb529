//! Counts the requests that have ended at this process, and saves the counts in the store.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use slog::warn;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::state::Gateway;
use crate::counts::Month;
use crate::platform::COUNT_TOPIC;
use crate::types::{RouteName, Verdict};

/// Time between two saves, and so the time whose counts a crash may lose.
const SAVE_PERIOD: Duration = Duration::from_secs(15);

/// Returns the time since the Unix epoch, or zero if the clock is set to a time before it.
pub(super) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the time since the start of the machine, which counts the time of suspensions.
pub(super) fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Counts a request that has ended.
pub(crate) fn count_request(gateway: &Gateway, route: &RouteName, verdict: Verdict) {
    let month = Month::of(unix_time());
    gateway.counts.borrow_mut().count(month, route, verdict);
    gateway.counts_changed.set(true);
}

/// Starts the task that saves the counts.
pub(crate) fn start_saving(gateway: &Rc<Gateway>) {
    let key = format!("{}/{}", gateway.settings.host, gateway.incarnation_id().incarnation);
    *gateway.counts_key.borrow_mut() = key;
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        loop {
            sleep(SAVE_PERIOD).await;
            if gateway.counts_changed.replace(false) {
                save_counts(&gateway).await;
            }
        }
    });
}

/// Saves the counts. If this fails, the next periodic save tries again.
pub(crate) async fn save_counts(gateway: &Gateway) {
    let key = gateway.counts_key.borrow().clone();
    let text = serde_json::to_vec(&*gateway.counts.borrow()).expect("names and numbers serialize to JSON");
    if let Err(error) = gateway.store.append(COUNT_TOPIC, None, &[(&key, &text)]).await {
        gateway.counts_changed.set(true);
        warn!(gateway.log, "counts not saved"; "error" => %error);
    }
}
