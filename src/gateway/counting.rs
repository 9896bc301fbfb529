//! Saves this process's counts of requests.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use slog::warn;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::state::Gateway;
use crate::counts::Month;
use crate::platform::COUNT_TOPIC;
use crate::types::{RouteName, Verdict};

/// Time between two saves; what a crash may lose.
const SAVE_PERIOD: Duration = Duration::from_secs(15);

/// Gives the time since the Unix epoch; a clock before it counts as there.
pub(super) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Counts a request that has ended.
pub(crate) fn count_request(gateway: &Gateway, route: &RouteName, verdict: Verdict) {
    let month = Month::of(unix_time());
    gateway.counts.borrow_mut().count(month, route, verdict);
    gateway.counts_changed.set(true);
}

/// Starts to save the counts.
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

/// Saves the counts; the next save makes up for one that fails.
pub(crate) async fn save_counts(gateway: &Gateway) {
    let key = gateway.counts_key.borrow().clone();
    let text = serde_json::to_vec(&*gateway.counts.borrow()).expect("names and numbers have a JSON form");
    if let Err(error) = gateway.store.append(COUNT_TOPIC, None, &[(&key, &text)]).await {
        gateway.counts_changed.set(true);
        warn!(gateway.log, "counts not saved"; "error" => %error);
    }
}
