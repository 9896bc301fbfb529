//! A router for servers that own keys exclusively.
//!
//! A gateway stands between callers and upstreams. All gateways of a deployment follow the same
//! topics of the platform's store and so know the same configuration, upstreams and owners of keys;
//! one of them grants the keys. The modules follow the way of what they know and of a request:
//!
//! - [`types`], [`settings`], [`catalog`]: names, settings, and the operators' configuration;
//! - [`platform`]: names, formats and calls of the users' platform;
//! - [`fleet`], [`keys`], [`budget`]: the decisions, without input or output: which upstream, who
//!   owns which keys, and limits over all hosts;
//! - [`relay`]: which hosts read the store for all;
//! - [`counts`]: the requests that partners are billed for;
//! - [`gateway`]: the process that feeds the decisions and carries them out;
//! - [`telemetry`], [`command`]: logs, metrics and the command line.
//!
//! `docs/design.md` gives the reasons.

mod types;

mod catalog;
mod settings;

mod platform;

mod budget;
mod counts;
mod fleet;
mod keys;
mod relay;

mod gateway;

mod command;
mod telemetry;

pub use command::run_command;
