//! The signals that the program handles. None is missed, even if system calls fail when it arrives.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

/// How often the marks are checked, in case a wake-up was lost. The shutdown has this much time to spare.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// All handled signals. Those that end the program are last, so that signals that came before are handled
/// first.
const HANDLED_SIGNALS: [Signal; 4] = [Signal::Usr1, Signal::Hup, Signal::Term, Signal::Int];

/// Receives signals.
///
/// The signal handler sets a mark, which cannot fail, and sends a wake-up message, which the system may
/// refuse.
pub struct SignalReceiver {
    wake_ups: Signals,
    marks: [(Signal, Arc<AtomicBool>); HANDLED_SIGNALS.len()],
}

impl SignalReceiver {
    /// Starts to catch signals: one that is not caught would end the process.
    ///
    /// # Errors
    /// Returns an error if they cannot be caught.
    pub fn new() -> io::Result<Self> {
        let marks = HANDLED_SIGNALS.map(|signal| (signal, Arc::new(AtomicBool::new(false))));
        for (signal, mark) in &marks {
            signal_hook::flag::register(*signal as i32, mark.clone())?;
        }
        Ok(SignalReceiver { wake_ups: Signals::new(HANDLED_SIGNALS)?, marks })
    }

    /// Waits for the next signal. Several deliveries of one signal since the last check count as one.
    pub async fn next(&mut self) -> Signal {
        loop {
            let marked = self.marks.iter().find(|(_, mark)| mark.swap(false, Ordering::AcqRel));
            if let Some((signal, _)) = marked {
                return *signal;
            }
            let woken = async {
                // A wake-up that cannot be read has still set its mark, which the next check finds.
                if !matches!(self.wake_ups.next().await, Some(Ok(_))) {
                    future::pending().await
                }
            };
            let poll = async {
                Timer::after(POLL_INTERVAL).await;
            };
            future::or(woken, poll).await;
        }
    }
}
