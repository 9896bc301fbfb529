//! Cuts single gateways off from all servers, while callers, the store and the other gateways still reach them.

use std::time::Duration;

use rand::RngExt;

use super::{GATEWAY_COUNT, Harness, Recovery, ScheduledRecovery};
use crate::proxy::LinkFault;

/// Probability that a gateway is cut off when a fault is injected.
const CUT_PROBABILITY: f64 = 0.12;
/// Time for which a gateway is cut off, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 1_000..8_000;
/// What becomes of the connections of a gateway that is cut off.
const CUT_FAULTS: [LinkFault; 3] = [LinkFault::Reset, LinkFault::Refuse, LinkFault::StallBoth];

impl Harness {
    /// Cuts a gateway off from all servers at random, unless one is.
    pub(super) fn draw_cut(&mut self) {
        let is_pending = |p: &ScheduledRecovery| matches!(p.recovery, Recovery::RestoreServerLinks);
        if !self.cut_rng.random_bool(CUT_PROBABILITY) || self.pending.iter().any(is_pending) {
            return;
        }
        let gateway = self.cut_rng.random_range(0..GATEWAY_COUNT);
        let fault = CUT_FAULTS[self.cut_rng.random_range(0..CUT_FAULTS.len())];
        let duration = Duration::from_millis(self.cut_rng.random_range(CUT_MS));
        let Some(process) = &self.gateways[gateway] else {
            return;
        };
        let cut = Some((process.child.id(), fault));
        self.set_cut(cut);
        self.record_action(&format!(
            "gateway {gateway} cut off from all servers ({fault:?}) for {duration:?}"
        ));
        self.schedule(duration, Recovery::RestoreServerLinks);
    }

    /// Sets the process that is cut off, and the fault of its connections.
    pub(super) fn set_cut(&self, cut: Option<(u32, LinkFault)>) {
        for proxy in &self.server_proxies {
            proxy.set_cut(cut);
        }
    }
}
