//! A run store as a model: cores, a queue, stalls, a cold start. Told when a part arrives, it says when and how the part
//! ends; it reads no clock.

/// What a run store is like. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Parts in work at once.
    pub slots: usize,
    /// Parts that may wait beside them; one more is turned away.
    pub queue: usize,
    /// The usual work of a part.
    pub work_ms: f64,
    /// The share of its speed at which it starts, and the time in which that rises to all of it, evenly.
    pub cold_from: f64,
    /// See `cold_from`.
    pub warm_ms: f64,
    /// Each so often it stands still for so long.
    pub stall_every_ms: f64,
    /// See `stall_every_ms`.
    pub stall_ms: f64,
}

/// What becomes of a part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// It is turned away at once and has not run.
    TurnedAway,
    /// It is done at that time.
    Done(f64),
    /// Its time is over before it can begin: it never runs, and no word comes.
    Never,
}

/// The state of a run store's process.
#[derive(Debug, Clone)]
pub struct Model {
    kind: Kind,
    started: f64,
    /// When each slot is free.
    free: Vec<f64>,
    /// When parts that wait begin, oldest first.
    begins: Vec<f64>,
    /// Its speed against the usual, as troubles make it.
    pub speed: f64,
    offset: f64,
    random: fastrand::Rng,
    busy: f64,
}

impl Model {
    /// A process that starts at some time, warm if that was long ago.
    pub fn new(kind: Kind, started: f64, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let offset = random.f64() * kind.stall_every_ms;
        Model {
            kind,
            started,
            free: vec![0.0; kind.slots],
            begins: Vec::new(),
            speed: 1.0,
            offset,
            random,
            busy: 0.0,
        }
    }

    /// The share of its full speed that it has.
    pub fn warmth(&self, now: f64) -> f64 {
        let Kind { cold_from, warm_ms, .. } = self.kind;
        (cold_from + (1.0 - cold_from) * (now - self.started) / warm_ms.max(1.0)).clamp(cold_from, 1.0)
    }

    /// The time at which work of some length is done that begins at another, with stalls in between.
    fn through_stalls(&self, begin: f64, work: f64) -> f64 {
        let Kind { stall_every_ms: every, stall_ms: stall, .. } = self.kind;
        if every <= stall || stall <= 0.0 {
            return begin + work;
        }
        let (mut at, mut left) = (begin, work);
        loop {
            let phase = (at + self.offset).rem_euclid(every);
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

    /// A part arrives, of whose answer somebody waits until some time.
    pub fn offer(&mut self, now: f64, until: f64) -> Fate {
        self.begins.retain(|begin| *begin > now);
        if self.begins.len() >= self.kind.queue {
            return Fate::TurnedAway;
        }
        let slot = (0..self.free.len()).min_by(|a, b| self.free[*a].total_cmp(&self.free[*b])).unwrap_or(0);
        let begin = self.free[slot].max(now);
        if begin >= until {
            return Fate::Never;
        }
        if begin > now {
            self.begins.push(begin);
        }
        // A skewed spread about the usual work: from a half of it to some three times it.
        let spread = 0.5 + 0.5 * -(1.0 - self.random.f64()).max(1e-3).ln();
        let work = self.kind.work_ms * spread / (self.warmth(begin) * self.speed);
        let done = self.through_stalls(begin, work);
        self.free[slot] = done;
        self.busy += done - begin;
        Fate::Done(done)
    }

    /// The busy share of its slots.
    pub fn utilization(&self, now: f64) -> f64 {
        let busy = self.free.iter().filter(|free| **free > now).count();
        ((busy + self.begins.iter().filter(|begin| **begin > now).count().min(1)) as f64
            / self.free.len() as f64)
            .min(1.0)
    }
}

#[cfg(test)]
mod tests;
