//! A request router for servers that own keys exclusively.
//!
//! A gateway forwards the requests of callers to upstreams; each gateway runs on its own host. All
//! gateways of a deployment read the same topics of the platform's store and so know the same
//! configuration, upstreams and owners of keys. One of them, the grantor, grants the keys to upstreams.
//! The modules are:
//!
//! - [`types`], [`settings`], [`catalog`]: names, settings, and the operators' configuration;
//! - [`platform`]: wire formats of the platform on which a deployment runs, and the client of its
//!   store;
//! - [`fleet`], [`keys`], [`budget`]: decisions without I/O: which upstream receives a request, which
//!   upstream owns which keys, and limits that hold for all hosts together;
//! - [`memory`]: limits on what this process holds for callers and upstreams;
//! - [`tenants`]: who sends a request, and what each tenant may send to all hosts together;
//! - [`relay`]: which hosts read the store on behalf of all;
//! - [`counts`]: monthly totals of the requests that partners are billed for;
//! - [`gateway`]: the process that supplies the input of the decisions and executes them;
//! - [`telemetry`], [`command`]: logs, metrics and the command line.
//!
//! `docs/design.md` explains the design.

mod types;

mod catalog;
mod settings;

mod platform;

mod budget;
mod counts;
mod fleet;
mod keys;
mod memory;
mod relay;
mod tenants;

mod gateway;

mod command;
mod telemetry;

pub use command::run_command;
