//! Answers the calls of peers.

use std::sync::Arc;

use super::Shared;
use super::agreement::answer_heartbeat;
use super::credits::{answer_report, take_lends};
use super::registry::{answer_claim, answer_copy};
use super::suspicion::take_news;
use crate::peer::{
    Batch, ClaimMessage, CopyPage, CopyQuestion, CreditReport, Heartbeat, HeartbeatAnswer, HoldAnswer, Lends,
    PeerHandler, RegisterAnswer, SuspectNews,
};

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

    fn claim_key(&self, message: ClaimMessage) -> RegisterAnswer {
        answer_claim(&self.0, &message)
    }

    fn copy_register(&self, message: CopyQuestion) -> CopyPage {
        answer_copy(&self.0, &message)
    }

    fn hold_counts(&self, message: Batch) -> HoldAnswer {
        self.0.counting.hold(&message)
    }

    fn share_suspects(&self, message: SuspectNews) {
        take_news(&self.0, &message);
    }
}
