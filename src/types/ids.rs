//! Newtypes for names and offsets.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Length limit of names; a longer name is a mistake or an attack.
const NAME_MAX_BYTES: usize = 128;

/// Why a text is not a valid name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ParseNameError {
    /// name is empty
    Empty,
    /// name has {0} bytes, at most 128 are allowed
    TooLong(usize),
    /// character {0:?} is not allowed in a name (letters, digits, '-', '_', '.')
    Character(char),
}

/// invalid value: {0:?}
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) struct ParseValueError(pub(crate) String);

fn is_name_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

fn check_name(text: &str) -> Result<(), ParseNameError> {
    if text.is_empty() {
        return Err(ParseNameError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(ParseNameError::TooLong(text.len()));
    }
    match text.chars().find(|&c| !is_name_character(c)) {
        Some(c) => Err(ParseNameError::Character(c)),
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
            type Err = ParseNameError;

            fn from_str(text: &str) -> Result<Self, ParseNameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseNameError;

            fn try_from(text: String) -> Result<Self, ParseNameError> {
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
    /// Name of a host that runs a gateway.
    HostName;
    /// Name of an availability zone.
    Zone;
    /// Name of a pool of upstreams.
    PoolName;
    /// Name of a route.
    RouteName;
    /// Name of a tenant, whose callers share a cap.
    TenantName;
    /// Name of an upstream, unique across pools.
    UpstreamName;
}

impl RouteName {
    /// Returns the name of a route that is named by any text. A text that isn't a valid name is changed and gets its hash
    /// appended: a route's name is a label, and its requests are served whatever it is.
    pub(crate) fn from_label(text: &str) -> Self {
        text.parse().unwrap_or_else(|_| {
            let hash = format!("{:016x}", xxh3_64(text.as_bytes()));
            let kept = text.chars().take(NAME_MAX_BYTES - hash.len() - 1);
            let kept: String = kept.map(|c| if is_name_character(c) { c } else { '_' }).collect();
            Self(format!("{kept}-{hash}").into())
        })
    }
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
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, ParseValueError> {
                text.parse().map(Self).map_err(|_| ParseValueError(text.to_owned()))
            }
        }
    )+};
}

number! {
    /// Position of a record in a topic of the store; the first record has offset 0.
    Offset;
    /// Number that rises each time the store comes back from an older copy of itself. Offsets and generations of different
    /// eras can't be compared.
    StoreEra;
}
