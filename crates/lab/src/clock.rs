//! One clock for all stand-ins: Unix time, only running forward.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix: f64,
    at: Instant,
}

impl Clock {
    /// A clock that tells the time of the machine.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { unix, at: Instant::now() }
    }

    /// Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.unix + self.at.elapsed().as_secs_f64() * 1000.0
    }

    /// The same in whole microseconds.
    pub fn micros(&self) -> u64 {
        (self.now() * 1000.0) as u64
    }

    /// Waits until a time.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left / 1000.0));
        }
    }
}
