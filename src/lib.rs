//! A router for servers that own keys exclusively.
//!
//! An entry host stands between callers and upstreams. Every host folds the same records of the
//! platform's append-only log and so knows the same routes, pools and owners of keys. The modules
//! follow the way of a request and of the records that decide it:
//!
//! - [`types`], [`settings`], [`tables`]: names and checked input;
//! - [`records`], [`log`], [`fold`]: what is agreed, and how every host comes to the same state;
//! - [`membership`], [`ownership`], [`placement`]: who may route, who owns which keys, what moves;
//! - [`admission`], [`choice`], [`once`], [`counts`]: limits, upstream choice, at-most-once, counts;
//! - [`exchange`], [`peer`], [`entry`], [`control`], [`host`], [`telemetry`]: the process around
//!   these decisions.
//!
//! `docs/design.md` gives the reasons.

mod types;

mod settings;
mod tables;

mod budget;
mod catalog;
mod fleet;
mod gateway;
mod keys;
mod platform;

mod fold;
mod log;
mod records;

mod membership;
mod ownership;
mod placement;

mod admission;
mod choice;
mod counts;
mod once;

mod control;
mod entry;
mod exchange;
mod host;
mod peer;
mod telemetry;

pub mod measure;

pub use control::run_command;
pub use ownership::{CheckError, GrantCheck};
