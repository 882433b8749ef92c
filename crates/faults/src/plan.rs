//! What is to fail, read from one line: `seed=7 recv=EINTR@30 send=ENOBUFS@20 accept=ECONNABORTED@50 wall_ms=-5000
//! wall_step=1500:3600000`.

use std::sync::atomic::{AtomicU64, Ordering};

/// Errors that may be named.
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

/// How often one kind of call fails, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// The error number.
    pub error: i32,
    /// Calls out of a hundred.
    pub percent: u64,
}

/// All that is to fail.
#[derive(Debug, Default)]
pub struct Plan {
    /// Reads of sockets.
    pub recv: Option<Fault>,
    /// Writes to sockets.
    pub send: Option<Fault>,
    /// Accepted connections.
    pub accept: Option<Fault>,
    /// How far the wall clock is ahead, in milliseconds.
    pub wall_ms: i64,
    /// So many milliseconds after the first look at a clock the wall clock is stepped by so many.
    pub wall_step: Option<(i64, i64)>,
    chance: AtomicU64,
}

impl Plan {
    /// Reads a plan; `None` if a word of it is not understood.
    pub fn read(text: &str) -> Option<Plan> {
        let mut plan = Plan::default();
        for word in text.split_whitespace() {
            let (name, value) = word.split_once('=')?;
            match name {
                "seed" => plan.chance = AtomicU64::new(value.parse().ok()?),
                "wall_ms" => plan.wall_ms = value.parse().ok()?,
                "wall_step" => {
                    let (after, by) = value.split_once(':')?;
                    plan.wall_step = Some((after.parse().ok()?, by.parse().ok()?));
                }
                "recv" => plan.recv = Some(fault(value)?),
                "send" => plan.send = Some(fault(value)?),
                "accept" => plan.accept = Some(fault(value)?),
                _ => return None,
            }
        }
        Some(plan)
    }

    /// How far the wall clock is ahead so long after the first look at a clock, in milliseconds.
    pub fn wall_ahead(&self, since_ms: i64) -> i64 {
        self.wall_ms + self.wall_step.filter(|(after, _)| since_ms >= *after).map_or(0, |(_, by)| by)
    }

    /// The error with which the next call of a kind fails, if it does.
    pub fn strikes(&self, fault: Option<Fault>) -> Option<i32> {
        let fault = fault?;
        (self.draw() % 100 < fault.percent).then_some(fault.error)
    }

    /// The next number of a fixed sequence (SplitMix64).
    fn draw(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.chance.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

fn fault(text: &str) -> Option<Fault> {
    let (name, percent) = text.split_once('@')?;
    let (_, error) = ERRORS.iter().find(|(known, _)| *known == name)?;
    Some(Fault { error: *error, percent: percent.parse().ok().filter(|percent| *percent <= 100)? })
}

#[cfg(test)]
mod tests;
