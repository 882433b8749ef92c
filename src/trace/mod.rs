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

/// A change of the decision module's text in comments and names only, which leaves decisions and state as they were.
#[derive(Debug, Clone, Copy)]
pub struct Rewording {
    /// The hash of the reworded text.
    pub text: u64,
    /// The hash of the text before the rewording.
    pub before: u64,
}

/// The rewording across which recordings can be replayed.
pub const REWORDING: Rewording = Rewording { text: 0x47210a1719c17c8d, before: 0x27a6fa8014d1ebb7 };

/// Returns whether the decision module whose text has the hash `present` can read a checkpoint written by the module
/// whose text has the hash `recorded`: if both texts are the same, or if the present one was reworded from the recorded
/// one.
///
/// A rewording no longer counts once the text changes again, as the present text is then not the reworded one.
pub fn is_replayable(recorded: u64, present: u64, rewording: Rewording) -> bool {
    recorded == present || (present == rewording.text && recorded == rewording.before)
}
