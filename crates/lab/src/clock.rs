//! Monotonic clock that all simulated peers share; it shows Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time at creation, advanced by a monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix: f64,
    at: Instant,
}

impl Clock {
    /// Creates a clock set to the machine's current time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { unix, at: Instant::now() }
    }

    /// Returns the Unix time in milliseconds.
    pub fn now(&self) -> f64 {
        self.unix + self.at.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns the Unix time in whole microseconds.
    pub fn micros(&self) -> u64 {
        (self.now() * 1000.0) as u64
    }

    /// Sleeps until the given Unix time in milliseconds.
    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left / 1000.0));
        }
    }
}
