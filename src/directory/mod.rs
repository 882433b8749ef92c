//! Directories of run stores: who there is, in which state, and where they listen.

pub mod dns;
pub mod dns_sd;
pub mod list;
pub mod watch;
