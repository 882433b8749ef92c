//! Recording what an aggregator sees and decides, and playing it again.
//!
//! The format and its tools are the package `ironpaddle-trace`; here is what ties them to this program. [`tape`]
//! collects, [`recorder`] writes, [`control`] ties both together, [`replay`] feeds a recording to the decision module again. See `docs/TRACE.md`.

pub mod control;
pub mod convert;
pub mod recorder;
pub mod replay;
pub mod tape;

use std::sync::LazyLock;

/// The decision module's text, hashed: the states of one text are no states of another.
pub static MODULE: LazyLock<u64> =
    LazyLock::new(|| ironpaddle_trace::index::hash(include_str!("../decide.rs")));
