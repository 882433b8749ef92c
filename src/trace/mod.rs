//! Records what an aggregator sees and decides, and replays it.
//!
//! The package `ironpaddle-trace` defines the format and its tools; this module connects them to the aggregator.
//! [`writer`] collects records into blocks, [`recorder`] writes the blocks on a thread of its own, [`control`] switches
//! both on and off, [`convert`] translates between the decision module's interface and trace records, and [`replay`]
//! feeds a recording to the decision module again. See `docs/TRACE.md`.

pub mod control;
pub mod convert;
pub mod recorder;
pub mod replay;
pub mod writer;

use std::sync::LazyLock;

/// The hash of the source of the decision module and its state. A serialized state is valid only for the source that
/// wrote it.
pub static MODULE: LazyLock<u64> = LazyLock::new(|| {
    let text = [include_str!("../decide.rs"), include_str!("../decide/state.rs")].concat();
    ironpaddle_trace::index::hash(&text)
});
