//! Request counts that agree with those of partners.
//!
//! Each instance counts in its [`Ledger`], sends changes to a [`Holder`] in another availability
//! zone before the end of an answer is released, and appends them to the counts stream. All
//! counters only grow, so the highest value is the newest and a repeat has no effect.
//! [`CountsState`] folds the stream into a report per caller and period.

use crate::types::{Caller, RouteName, Verdict, value};

mod fold;
mod holder;
mod ledger;
mod period;
mod records;
mod sheet;

#[cfg(test)]
mod tests;

pub(crate) use crate::types::Instance;
#[cfg(test)]
pub(crate) use fold::{CountsOutcome, Uncertain, Why};
pub(crate) use fold::{CountsState, Report};
pub(crate) use holder::{HoldAnswer, Holder};
pub(crate) use ledger::{Ledger, Release, Ticket};
pub(crate) use period::Period;
pub(crate) use records::{CountsBody, CountsChunk, CountsEnvelope, decode_counts, encode_counts};
pub(crate) use sheet::Batch;

value! {
    /// What a counter row is for.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct CountKey {
        pub(crate) caller: Caller,
        pub(crate) route: RouteName,
        /// Month of the admission.
        pub(crate) period: Period,
    }

    /// Cumulative counters of requests.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct Counters {
        pub(crate) admitted: u64,
        pub(crate) not_run: u64,
        pub(crate) ran: u64,
        pub(crate) may_have_run: u64,
        /// Complete answers released to the caller.
        pub(crate) answered: u64,
        /// Answers among `answered` whose caller may not have received the end, because its
        /// connection failed after the release.
        pub(crate) unconfirmed: u64,
        /// Answers that were released without a durable copy of their count.
        pub(crate) exposed: u64,
    }
}

impl Counters {
    /// Requests that were admitted and have no verdict yet.
    pub(crate) fn open(&self) -> u64 {
        let ended = self.not_run + self.ran + self.may_have_run;
        self.admitted.saturating_sub(ended)
    }

    /// Takes over the higher value of each counter.
    fn raise(&mut self, other: &Self) {
        self.admitted = self.admitted.max(other.admitted);
        self.not_run = self.not_run.max(other.not_run);
        self.ran = self.ran.max(other.ran);
        self.may_have_run = self.may_have_run.max(other.may_have_run);
        self.answered = self.answered.max(other.answered);
        self.unconfirmed = self.unconfirmed.max(other.unconfirmed);
        self.exposed = self.exposed.max(other.exposed);
    }

    fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        self.not_run += other.not_run;
        self.ran += other.ran;
        self.may_have_run += other.may_have_run;
        self.answered += other.answered;
        self.unconfirmed += other.unconfirmed;
        self.exposed += other.exposed;
    }

    /// Counts the open requests of an instance that has ended as `may_have_run`.
    fn end_open(mut self) -> Self {
        self.may_have_run += self.open();
        self
    }

    fn count_verdict(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::NotRun => self.not_run += 1,
            Verdict::MayHaveRun => self.may_have_run += 1,
            Verdict::Ran => self.ran += 1,
        }
    }
}
