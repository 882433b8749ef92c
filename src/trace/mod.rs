//! Recording what an aggregator sees and decides, and playing it again.
//!
//! The format and its tools are the package `ironpaddle-trace`; here is what ties them to this program. [`writer`]
//! collects, [`recorder`] writes, [`control`] ties both together, [`replay`] feeds a recording to the decision module again. See `docs/TRACE.md`.

pub mod control;
pub mod convert;
pub mod recorder;
pub mod replay;
pub mod writer;

use std::sync::LazyLock;

/// The decision module's text and that of its state, hashed: the states of one text are no states of another.
pub static MODULE: LazyLock<u64> = LazyLock::new(|| {
    let text = [include_str!("../decide.rs"), include_str!("../decide/state.rs")].concat();
    ironpaddle_trace::index::hash(&text)
});
