//! Queueing model of a run store: parallel slots, a bounded queue, periodic stalls and a cold start. It computes when
//! and how each arriving part ends; times are passed in, and no clock is read.

/// Parameters of a simulated run store. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Profile {
    /// Parts that run in parallel.
    pub slots: usize,
    /// Parts that may wait in the queue; further parts are rejected.
    pub queue: usize,
    /// Typical work of a part, at full speed.
    pub work_ms: f64,
    /// Share of full speed of a process that has just started; it rises linearly to 1 within `warm_ms`.
    pub cold_from: f64,
    /// Time after a start in which the speed rises from `cold_from` to 1.
    pub warm_ms: f64,
    /// Period of stalls, in which no work is done.
    pub stall_every_ms: f64,
    /// Length of each stall.
    pub stall_ms: f64,
}

/// How a part ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PartOutcome {
    /// The queue is full: the part is rejected at once and does not run.
    Rejected,
    /// The part is done at the given time.
    Done(f64),
    /// The timeout passes before the part can begin: it does not run and is not answered.
    Expired,
}

/// State of a simulated run store process.
#[derive(Debug, Clone)]
pub struct Model {
    profile: Profile,
    started: f64,
    /// Time at which each slot becomes free.
    slot_free_at: Vec<f64>,
    /// Start times of the waiting parts, oldest first.
    waiting_starts: Vec<f64>,
    /// Speed relative to the usual speed, lowered by scenarios.
    pub speed: f64,
    stall_offset_ms: f64,
    random: fastrand::Rng,
    busy: f64,
}

impl Model {
    /// Creates a process that started at the given time; it is warm if that was at least `warm_ms` ago.
    pub fn new(profile: Profile, started: f64, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let stall_offset_ms = random.f64() * profile.stall_every_ms;
        Model {
            profile,
            started,
            slot_free_at: vec![0.0; profile.slots],
            waiting_starts: Vec::new(),
            speed: 1.0,
            stall_offset_ms,
            random,
            busy: 0.0,
        }
    }

    /// Returns the share of full speed at the given time.
    pub fn warmth(&self, now: f64) -> f64 {
        let Profile { cold_from, warm_ms, .. } = self.profile;
        (cold_from + (1.0 - cold_from) * (now - self.started) / warm_ms.max(1.0)).clamp(cold_from, 1.0)
    }

    /// Returns the time at which work that begins at `begin` is done, with the stalls in between.
    fn through_stalls(&self, begin: f64, work: f64) -> f64 {
        let Profile { stall_every_ms: every, stall_ms: stall, .. } = self.profile;
        if every <= stall || stall <= 0.0 {
            return begin + work;
        }
        let (mut at, mut left) = (begin, work);
        loop {
            let phase = (at + self.stall_offset_ms).rem_euclid(every);
            if phase < stall {
                at += stall - phase;
                continue;
            }
            let run = every - phase;
            if left <= run {
                return at + left;
            }
            (at, left) = (at + run, left - run);
        }
    }

    /// Accepts or rejects a part that arrives at `now` and whose timeout ends at `until`.
    pub fn offer(&mut self, now: f64, until: f64) -> PartOutcome {
        self.waiting_starts.retain(|begin| *begin > now);
        if self.waiting_starts.len() >= self.profile.queue {
            return PartOutcome::Rejected;
        }
        let slot = (0..self.slot_free_at.len())
            .min_by(|a, b| self.slot_free_at[*a].total_cmp(&self.slot_free_at[*b]))
            .unwrap_or(0);
        let begin = self.slot_free_at[slot].max(now);
        if begin >= until {
            return PartOutcome::Expired;
        }
        if begin > now {
            self.waiting_starts.push(begin);
        }
        // Work is drawn from a shifted exponential distribution, from half to about four times the usual work.
        let spread = 0.5 + 0.5 * -(1.0 - self.random.f64()).max(1e-3).ln();
        let work = self.profile.work_ms * spread / (self.warmth(begin) * self.speed);
        let done = self.through_stalls(begin, work);
        self.slot_free_at[slot] = done;
        self.busy += done - begin;
        PartOutcome::Done(done)
    }

    /// Returns the share of busy slots, where a non-empty queue counts as one more slot.
    pub fn utilization(&self, now: f64) -> f64 {
        let busy = self.slot_free_at.iter().filter(|free_at| **free_at > now).count();
        ((busy + self.waiting_starts.iter().filter(|begin| **begin > now).count().min(1)) as f64
            / self.slot_free_at.len() as f64)
            .min(1.0)
    }
}

#[cfg(test)]
mod tests;
