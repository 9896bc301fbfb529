//! Whether a request ran, and why a request was refused or an attempt failed.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::ParseValueError;

/// Whether an upstream ran a request, as far as the gateway knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Verdict {
    /// It is proved that no upstream ran the request. Only this verdict permits a retry of a
    /// non-idempotent request.
    NotRun,
    /// An upstream received at least a part of the request, and its response is unknown.
    MayHaveRun,
    /// An upstream responded to the request.
    Ran,
}

impl Verdict {
    pub(crate) const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// Text of the header `ragworthub-verdict`.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        Self::ALL
            .into_iter()
            .find(|v| v.as_str() == text)
            .ok_or_else(|| ParseValueError(text.to_owned()))
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)+) => {
        /// Why a request was refused or an attempt failed.
        ///
        /// Each reason has a counter, a value of the header `ragworthub-reason` and a line in
        /// `docs/OPERATIONS.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) enum Reason {
            $($(#[$doc])* $name,)+
        }

        impl Reason {
            pub(crate) const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Text of the header `ragworthub-reason` and of the metric label.
            pub(crate) fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                }
            }

            /// HTTP status of a refusal for this reason.
            pub(crate) fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }
        }
    };
}

reasons! {
    /// No route matches the request.
    NoRoute = "no-route", 404;
    /// The request's route exists, but its entry in the configuration can't be used.
    RouteUnusable = "route-unusable", 503;
    /// No known route matches the request, but the host may not know all routes.
    RouteUnsure = "route-unsure", 503;
    /// The pool is sharded by key and the request has no key.
    KeyMissing = "key-missing", 400;
    /// The request has no key, and its route splits requests between pools with and without keys.
    SplitMixed = "split-mixed", 503;
    /// A header of the request doesn't parse, or its framing is ambiguous.
    BadHeader = "bad-header", 400;
    /// The HTTP library can't parse the head of a request, and answered it.
    BadHead = "bad-head", 400;
    /// The head of a request exceeds a limit of the HTTP library, which answered it.
    HeadTooLarge = "head-too-large", 431;
    /// The path has an invalid percent escape.
    BadPath = "bad-path", 400;
    /// The body is larger than the configuration allows.
    BodyTooLarge = "body-too-large", 413;
    /// The memory that the host may hold for callers is used up.
    MemoryFull = "memory-full", 503;
    /// The caller's body ended early, or its framing is invalid.
    BodyIncomplete = "body-incomplete", 400;
    /// The body hadn't arrived completely when its time passed.
    BodyLate = "body-late", 408;
    /// The request has no credential, or one that no tenant holds.
    UnknownCredential = "unknown-credential", 401;
    /// The request has several credentials, or one that can't be valid.
    BadCredential = "bad-credential", 400;
    /// The tenant has used up its cap.
    TenantCapped = "tenant-capped", 429;
    /// Whether the tenant has used up its cap isn't known in time.
    CapUnknown = "cap-unknown", 503;
    /// The host doesn't know whether the credential has been removed, or whether a tenant holds it.
    CredentialUnsure = "credential-unsure", 503;
    /// The host has no configuration or list of upstreams yet.
    NotReady = "not-ready", 503;
    /// The host is shutting down, and no response is expected before its process ends.
    HostStopping = "host-stopping", 503;
    /// No upstream of the pool is in service.
    NoUpstream = "no-upstream", 503;
    /// No connection to an upstream that may run the request could be opened; nothing was sent.
    UpstreamUnreachable = "upstream-unreachable", 503;
    /// The key currently has no owner.
    NoOwner = "no-owner", 503;
    /// No upstream has capacity, or none would respond in time.
    QueueFull = "queue-full", 503;
    /// The key's owner is overloaded, and only a share of the requests for it is admitted.
    OwnerOverloaded = "owner-overloaded", 503;
    /// The upstream has refused a request and wants no further ones for a time.
    UpstreamPaused = "upstream-paused", 503;
    /// The upstream has named a limit on requests, and this host's share of it is used up.
    UpstreamLimited = "upstream-limited", 503;
    /// The deadline passed after the request was sent.
    DeadlineExceeded = "deadline-exceeded", 504;
    /// The connection broke before the response head arrived.
    ConnectionLost = "connection-lost", 502;
    /// The response doesn't parse, belongs to another request, is incomplete, or lacks the signature that its status needs.
    BadResponse = "bad-answer", 502;
    /// The upstream responded with a failure of its own.
    UpstreamFailed = "upstream-failed", 502;
    /// The upstream refused because it is overloaded.
    UpstreamShed = "upstream-shed", 503;
    /// The upstream has no lease on the key.
    GrantRefused = "grant-refused", 503;
    /// The request crashed upstreams and is blocked.
    SuspectBlocked = "suspect-blocked", 502;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Reason {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        Self::ALL
            .iter()
            .copied()
            .find(|r| r.as_str() == text)
            .ok_or_else(|| ParseValueError(text.to_owned()))
    }
}
