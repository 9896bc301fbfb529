//! Names and numbers as newtypes.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest accepted name, in bytes; a longer one is a mistake or hostile.
const NAME_MAX: usize = 128;

/// A name that is empty, too long or has characters that are not allowed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BadName {
    /// name is empty
    Empty,
    /// name has {0} bytes, at most 128 are allowed
    TooLong(usize),
    /// character {0:?} is not allowed in a name (letters, digits, '-', '_', '.')
    Character(char),
}

/// A number that does not parse: {0:?}
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) struct BadNumber(pub(crate) String);

fn check_name(text: &str) -> Result<(), BadName> {
    if text.is_empty() {
        return Err(BadName::Empty);
    }
    if text.len() > NAME_MAX {
        return Err(BadName::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(BadName::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub(crate) struct $name(std::sync::Arc<str>);

        impl $name {
            pub(crate) fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = BadName;

            fn from_str(text: &str) -> Result<Self, BadName> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = BadName;

            fn try_from(text: String) -> Result<Self, BadName> {
                text.parse()
            }
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), fmt::Error> {
                EncodeLabelValue::encode(&self.as_str(), encoder)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    )+};
}

name! {
    /// Name of a host: an entry host, or a machine on which upstreams run.
    HostName;
    /// Name of an availability zone.
    Zone;
    /// Name of a pool of upstreams.
    PoolName;
    /// Name of a route.
    RouteName;
    /// Name of an upstream, unique over all pools.
    UpstreamName;
}

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub(crate) struct $name(pub(crate) u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = BadNumber;

            fn from_str(text: &str) -> Result<Self, BadNumber> {
                text.parse().map(Self).map_err(|_| BadNumber(text.to_owned()))
            }
        }
    )+};
}

number! {
    /// Position of a record in a topic of the store; the first record has offset 0.
    Offset;
}
