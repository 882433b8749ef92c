//! The fault plan, parsed from one line.
//!
//! Example: `seed=7 recv=EINTR@30 send=ENOBUFS@20 accept=ECONNABORTED@50 wall_ms=-5000 wall_step=1500:3600000`. A value
//! such as `EINTR@30` gives the error and the percentage of calls that fail with it; `wall_step` gives the time of the
//! step and its size, both in milliseconds.

use std::sync::atomic::{AtomicU64, Ordering};

/// The errors that a plan can name, with their numbers.
const ERRORS: &[(&str, i32)] = &[
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EINTR", libc::EINTR),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// The error with which calls of one kind fail, and how often.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// The error number.
    pub error: i32,
    /// The percentage of calls that fail.
    pub percent: u64,
}

/// The faults to inject.
#[derive(Debug, Default)]
pub struct Plan {
    /// The fault of `recv`.
    pub recv: Option<Fault>,
    /// The fault of `send`.
    pub send: Option<Fault>,
    /// The fault of `accept4`.
    pub accept: Option<Fault>,
    /// The constant offset of the wall clock, in milliseconds.
    pub constant_wall_offset_ms: i64,
    /// The step of the wall clock: milliseconds from the first read of the clock to the step, and its size in
    /// milliseconds.
    pub wall_step: Option<(i64, i64)>,
    random_state: AtomicU64,
}

impl Plan {
    /// Parses a plan. Returns `None` if any item is not valid.
    pub fn parse(text: &str) -> Option<Plan> {
        let mut plan = Plan::default();
        for item in text.split_whitespace() {
            let (name, value) = item.split_once('=')?;
            match name {
                "seed" => plan.random_state = AtomicU64::new(value.parse().ok()?),
                "wall_ms" => plan.constant_wall_offset_ms = value.parse().ok()?,
                "wall_step" => {
                    let (after, by) = value.split_once(':')?;
                    plan.wall_step = Some((after.parse().ok()?, by.parse().ok()?));
                }
                "recv" => plan.recv = Some(parse_fault(value)?),
                "send" => plan.send = Some(parse_fault(value)?),
                "accept" => plan.accept = Some(parse_fault(value)?),
                _ => return None,
            }
        }
        Some(plan)
    }

    /// Returns the offset of the wall clock in milliseconds, `since_ms` milliseconds after the first read of the clock.
    pub fn wall_offset_ms(&self, since_ms: i64) -> i64 {
        self.constant_wall_offset_ms
            + self.wall_step.filter(|(after, _)| since_ms >= *after).map_or(0, |(_, by)| by)
    }

    /// Decides whether the next call with this fault fails, and returns its error if so.
    pub fn injected_error(&self, fault: Option<Fault>) -> Option<i32> {
        let fault = fault?;
        (self.next_random() % 100 < fault.percent).then_some(fault.error)
    }

    /// Returns the next number of the seeded SplitMix64 sequence.
    fn next_random(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.random_state.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

fn parse_fault(text: &str) -> Option<Fault> {
    let (name, percent) = text.split_once('@')?;
    let (_, error) = ERRORS.iter().find(|(known, _)| *known == name)?;
    Some(Fault { error: *error, percent: percent.parse().ok().filter(|percent| *percent <= 100)? })
}

#[cfg(test)]
mod tests;
