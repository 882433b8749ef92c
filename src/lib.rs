//! ironpaddle is a query aggregator in front of a sharded, replicated store of run records.
//!
//! The router in [`decide`] makes the decisions: which replica gets each part of a query, how long to wait,
//! when to retry, what to refuse and when to answer. Its interface is in [`api`], and it does no input or
//! output. [`core`] drives it and is independent of any wire protocol. The [`front`]s serve clients, the
//! [`transport`]s reach run stores, and the directories ([`directory`]) provide the list of run stores; all
//! three use the core through small types. [`service`] assembles them.
#![warn(missing_docs)]

/// Compiles the examples in the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;

pub mod advice;
pub mod api;
pub mod asking;
pub mod budget;
pub mod cli;
pub mod cold;
pub mod config;
pub mod core;
pub mod counters;
pub mod decaying_mean;
pub mod decide;
pub mod directory;
pub mod dns_pacing;
pub mod exact;
pub mod front;
pub mod handover;
pub mod hash;
pub mod http;
pub mod idle;
pub mod lag;
pub mod log;
pub mod memory;
pub mod net;
pub mod operator;
pub mod pace;
pub mod query_ids;
pub mod query_index;
pub mod quota;
pub mod record_order;
pub mod repeats;
pub mod replica_index;
pub mod service;
pub mod settings;
pub mod starts;
pub mod store;
pub mod trace;
pub mod transport;
pub mod trim;

pub use decide::Router;
