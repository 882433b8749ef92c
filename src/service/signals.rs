//! The signals that the program attends to. None is missed, whatever calls fail while it comes.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

/// How soon a signal is seen whose wake-up was lost. The end of a process has as much time to spare.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// All that are attended to, the end last: what came before it is attended to first.
const KINDS: [Signal; 4] = [Signal::Usr1, Signal::Hup, Signal::Term, Signal::Int];

/// Signals as they come.
///
/// A wake-up is a message of the handler to the program, which the system may refuse; the mark that it leaves is not.
pub struct Told {
    wake_ups: Signals,
    marks: [(Signal, Arc<AtomicBool>); KINDS.len()],
}

impl Told {
    /// Catches signals from now on: one that is not caught would end the process.
    ///
    /// # Errors
    /// If they cannot be caught.
    pub fn new() -> io::Result<Self> {
        let marks = KINDS.map(|kind| (kind, Arc::new(AtomicBool::new(false))));
        for (kind, mark) in &marks {
            signal_hook::flag::register(*kind as i32, mark.clone())?;
        }
        Ok(Told { wake_ups: Signals::new(KINDS)?, marks })
    }

    /// The next signal. Several of a kind that came since the last look are one.
    pub async fn next(&mut self) -> Signal {
        loop {
            let came = self.marks.iter().find(|(_, mark)| mark.swap(false, Ordering::AcqRel));
            if let Some((kind, _)) = came {
                return *kind;
            }
            let woken = async {
                // One that cannot be read leaves its mark all the same, which is looked for in its time.
                if !matches!(self.wake_ups.next().await, Some(Ok(_))) {
                    future::pending().await
                }
            };
            let look = async {
                Timer::after(LOOK_EVERY).await;
            };
            future::or(woken, look).await;
        }
    }
}
