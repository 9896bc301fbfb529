//! At-most-once execution by idempotency key.
//!
//! Every member keeps a [`Register`] in memory. The host that received a request coordinates its
//! [`Claim`]: it asks all members and runs the request only after a majority has accepted.
//!
//! Why two attempts of one key can't both win: a register accepts only claims of its own
//! membership version, and only while it holds no other attempt of the key. An attempt that won
//! under a version with n members is missing in fewer than half of them, rounded up. A register
//! votes after it has copied from that many members that had already left the older versions, so
//! it holds every attempt that won before. Each vote names its electorate, the largest membership
//! since that copy, and a claim needs a majority of the largest electorate named. Evictions
//! therefore don't shrink a majority until the survivors have copied from one another.

use std::sync::Arc;

use crate::types::{Caller, Offset, RequestId, RouteName, Verdict, value};

mod claim;
mod copy;
mod register;

#[cfg(test)]
mod tests;

pub(crate) use crate::types::Instance;

pub(crate) use claim::{Claim, ClaimAction, ClaimMessage, ClaimOutcome, ClaimSpec};
pub(crate) use copy::{CopyAsk, CopyPage};
pub(crate) use register::{Register, RegisterLimits, instances};

/// Longest idempotency key, in bytes; it bounds the memory of an entry.
pub(crate) const KEY_MAX: usize = 255;

/// Largest answer that is stored with a settled key, in bytes.
pub(crate) const ANSWER_MAX: usize = 16 << 10;

value! {
    /// What identifies "the same request" of a caller.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct RequestKey {
        pub(crate) caller: Caller,
        pub(crate) route: RouteName,
        /// The idempotency key, at most [`KEY_MAX`] bytes; the entry checks the length.
        pub(crate) key: Arc<str>,
    }

    /// Hash of a request's content, by which a key that is reused for another request is found.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) struct Fingerprint {
        pub(crate) hash: u64,
    }

    /// A coordinator's question whether its attempt may have a key.
    #[derive(Eq)]
    pub(crate) struct ClaimKey {
        pub(crate) version: Offset,
        pub(crate) key: RequestKey,
        pub(crate) fingerprint: Fingerprint,
        pub(crate) attempt: RequestId,
        pub(crate) coordinator: Instance,
    }

    /// A register's answer to [`ClaimKey`].
    #[derive(Eq)]
    pub(crate) struct ClaimAnswer {
        /// Membership version of the register.
        pub(crate) version: Offset,
        pub(crate) vote: Vote,
    }

    /// What a register says to a claim.
    #[derive(Eq)]
    pub(crate) enum Vote {
        /// The key was free and is now held by the attempt, or it already was.
        Accepted { electorate: usize },
        /// The key is free, but the register has no room.
        Full { electorate: usize },
        /// Another attempt holds the key, and its result is not known.
        Open,
        /// The key was used for a different request.
        Mismatch,
        /// An earlier attempt has ended.
        Settled { verdict: Verdict, answer: Option<Arc<StoredAnswer>> },
        /// The register can't vote: wrong version, copy not complete, coordinator no member, or
        /// the attempt was withdrawn.
        Abstains,
    }

    /// The end of an attempt that ran, or may have run.
    #[derive(Eq)]
    pub(crate) struct SettleKey {
        pub(crate) key: RequestKey,
        pub(crate) fingerprint: Fingerprint,
        pub(crate) attempt: RequestId,
        pub(crate) coordinator: Instance,
        pub(crate) verdict: Verdict,
        pub(crate) answer: Option<Arc<StoredAnswer>>,
    }

    /// The end of an attempt that is proved not to have run and never will.
    #[derive(Eq)]
    pub(crate) struct WithdrawKey {
        pub(crate) key: RequestKey,
        pub(crate) attempt: RequestId,
    }

    /// An answer that is given again to a resend.
    #[derive(Eq)]
    pub(crate) struct StoredAnswer {
        pub(crate) status: u16,
        pub(crate) headers: Vec<(String, String)>,
        pub(crate) body: Arc<[u8]>,
    }
}

impl StoredAnswer {
    /// Bytes that count towards [`ANSWER_MAX`] and the memory bound of a register.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.len()
    }
}

/// Smallest number of members that is more than half of `n`.
fn majority(n: usize) -> usize {
    n / 2 + 1
}

/// Number of members of which at least one belongs to any majority of `n`.
fn overlap(n: usize) -> usize {
    n.div_ceil(2)
}
