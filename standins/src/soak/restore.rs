//! Lets the store come back from an older copy of itself, and checks that the newest configuration is used.

use std::time::Duration;

use rand::RngExt;
use serde_json::json;
use tokio::time::sleep;

use super::load::{connect, send};
use super::{Harness, Recovery, ScheduledRecovery, post};

/// Probability that the store is copied when a fault is injected, to come back from this copy later.
const COPY_PROBABILITY: f64 = 0.2;
/// Age of the copy from which the store comes back, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 500..9_000;
/// Longest time, in milliseconds, until operators and servers have written again what the store lost.
const REWRITE_MAX_MS: u64 = 2_000;
/// Time after which hosts are expected to keep their bounds again, the bound `stable_window`.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Time within which hosts use a configuration, the bound `config_apply`.
const APPLY_TIME: Duration = Duration::from_secs(2);

impl Harness {
    /// Takes a copy of the store at random, and schedules its return from it.
    pub(super) async fn draw_copy(&mut self) {
        let is_pending = |p: &ScheduledRecovery| matches!(p.recovery, Recovery::RestoreStore(_));
        if !self.restore_rng.random_bool(COPY_PROBABILITY) || self.pending.iter().any(is_pending) {
            return;
        }
        post(self.store.address, "/standin/copy", &json!({})).await;
        let age = Duration::from_millis(self.restore_rng.random_range(COPY_AGE_MS));
        let rewrite_ms = self.restore_rng.random_range(0..REWRITE_MAX_MS);
        self.record_action(&format!("store copied; back from the copy in {age:?}"));
        self.schedule(age, Recovery::RestoreStore(rewrite_ms));
    }

    pub(super) async fn restore_store(&self, rewrite_ms: u64) {
        let restoration = json!({ "rewrite_ms": rewrite_ms });
        post(self.store.address, "/standin/restore", &restoration).await;
    }

    /// Publishes a configuration after the last fault and checks that all gateways use it in time.
    pub(super) async fn check_newest_configuration(&mut self) -> Result<(), String> {
        sleep(STABLE_TIME).await;
        self.publish_configuration().await?;
        sleep(APPLY_TIME).await;
        for (index, gateway) in self.caller_addresses.iter().enumerate() {
            let mut status = None;
            if let Some(mut client) = connect(*gateway).await {
                let id = format!("check-version-{index}");
                let path = format!("/version-{}/1", self.version);
                status = send(&mut client, &id, "GET", &path, 0).await.map(|(status, ..)| status);
            }
            if status != Some(200) {
                let version = self.version;
                self.report.violations.push(format!(
                    "gateway {index} doesn't use configuration {version} {APPLY_TIME:?} after its publication: {status:?}"
                ));
            }
        }
        Ok(())
    }
}
