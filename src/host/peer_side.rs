//! Answers the calls of peers.

use std::sync::Arc;

use super::Shared;
use super::agreement::answer_heartbeat;
use super::credits::{answer_report, take_lends};
use super::suspicion::take_news;
use crate::peer::{CreditReport, Heartbeat, HeartbeatAnswer, Lends, PeerHandler, SuspectNews};

/// The peers' view of this host.
#[derive(Debug)]
pub(super) struct PeerSide(pub(super) Arc<Shared>);

impl PeerHandler for PeerSide {
    fn exchange_heartbeat(&self, message: Heartbeat) -> HeartbeatAnswer {
        answer_heartbeat(&self.0, message)
    }

    fn report_credits(&self, message: CreditReport) -> Lends {
        Lends {
            lends: answer_report(&self.0, message),
        }
    }

    fn lend_credits(&self, message: Lends) {
        take_lends(&self.0, message.lends);
    }

    fn share_suspects(&self, message: SuspectNews) {
        take_news(&self.0, &message);
    }
}
