//! Runs a drawn soak run: starts its clients, injects its faults and checks the rules.

use std::process::Child;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::draw::{Draw, Trouble};
use super::guests::Client;
use super::{Options, Outcome};
use crate::check::Cold;
use crate::demo::{self, World, BEARS, KIND};
use crate::discovery::Mode;
use crate::scenario::{self, Act};
use crate::{aggregators, Api};

/// Time after the signal to end in which an aggregator still accepts connections, in milliseconds.
const FRONT_MS: f64 = 400.0;
/// Time from the signal to end until the platform kills a process: the longest deadline, capped at 3 s, and 0.7 s more.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// Time within which a restarted process must be ready.
const READY: Duration = Duration::from_secs(10);
/// Time after discovery can be reached until aggregators must know of a change, in milliseconds.
const TOLD_MS: f64 = 6000.0;
/// Lateness from which an answer counts as lost, in milliseconds.
const LOST_MS: f64 = 500.0;
/// Memory limit of an aggregator, in megabytes.
const MEMORY_MB: f64 = 192.0;
/// Interval at which the end of a process is polled.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Interval at which descriptors and memory are checked.
const USAGE_EVERY: Duration = Duration::from_millis(250);

/// Carries out a run and returns its outcome.
///
/// # Errors
/// If the run cannot be set up or carried out.
pub fn play(draw: &Draw, api: Api, options: &Options) -> Result<Outcome, String> {
    let load = demo::Options {
        seconds: options.seconds,
        seed: draw.seed,
        api,
        aggregators: draw.aggregators,
        stores: draw.stores,
        rate: draw.rate,
        work: demo::WORK_MS,
        scenario: None,
        calm: true,
        trace: None,
        json: None,
        report: None,
        kill_aggregator: false,
        program: options.program.clone(),
        slack: options.slack,
        links: false,
        sockets: draw.sockets,
        faults: draw.faults.clone(),
    };
    let world = Arc::new(demo::build(&load).map_err(|error| error.to_string())?);
    world.checker.lost_after(LOST_MS);
    let begin = world.clock.now();
    let troubled = thread::scope(|scope| {
        let watched = world.clone();
        scope.spawn(move || watch_usage(&watched, draw));
        let others = draw.guests.iter().enumerate();
        for (no, guest) in others {
            let to = no % world.addresses.len();
            let client =
                Client { world: world.clone(), to: (to, world.addresses[to]), api, seed: draw.seed, no };
            scope.spawn(move || client.behave(*guest));
        }
        let spell = Spell { world: &world, begin, draw };
        let troubles: Vec<_> = draw
            .troubles
            .iter()
            .map(|(at, trouble)| scope.spawn(move || spell.carry_out(*at, trouble)))
            .collect();
        thread::scope(|clients| world.load(clients, begin, &load));
        let troubled: Vec<_> = troubles.into_iter().map(thread::ScopedJoinHandle::join).collect();
        world.over.store(true, Ordering::Release);
        troubled
    });
    for done in troubled {
        done.map_err(|_| "a thread failed")??;
    }
    end(&world)?;
    let (classes, _) = world.board.counts();
    Ok(Outcome {
        seed: draw.seed,
        api: match api {
            Api::Platform => "platform",
            Api::Opensearch => "opensearch",
        },
        draw: draw.to_string(),
        asked: classes.values().map(|ends| ends.asked).sum(),
        answered: classes.values().map(|ends| ends.answered).sum(),
        broken: world.checker.broken(),
    })
}

/// Shuts all aggregators down.
fn end(world: &World) -> Result<(), String> {
    for (no, aggregator) in world.aggregators.lock().map_err(|_| "a thread failed")?.iter_mut().enumerate() {
        aggregator.signal("TERM").map_err(|error| error.to_string())?;
        if let Some(child) = aggregator.take_process() {
            outlive(world, no, child)?;
        }
    }
    Ok(())
}

/// Waits for the exit of a process that got a signal to end, and kills it as early as the platform may.
fn outlive(world: &World, no: usize, mut child: Child) -> Result<(), String> {
    let told = Instant::now();
    loop {
        if let Some(status) = child.try_wait().map_err(|error| error.to_string())? {
            aggregators::has_ended(child.id());
            if !status.success() {
                world.checker.breaks("crash", &format!("n-{no} exited with {status}"));
            }
            return Ok(());
        }
        if told.elapsed() >= KILLED_AFTER {
            // The checker reports queries that are still unanswered as lost.
            let ended = child.kill().and_then(|()| child.wait());
            aggregators::has_ended(child.id());
            return ended.map(drop).map_err(|error| error.to_string());
        }
        thread::sleep(LOOK_EVERY);
    }
}

/// Checks descriptors and memory of aggregators against their limits until the run is over.
fn watch_usage(world: &World, draw: &Draw) {
    while !world.over.load(Ordering::Acquire) {
        let used: Vec<_> =
            world.aggregators.lock().map_or(Vec::new(), |all| all.iter().map(|one| one.usage()).collect());
        for (no, (descriptors, memory)) in used.into_iter().enumerate().filter_map(|(no, u)| Some((no, u?))) {
            if descriptors > draw.sockets {
                world.checker.breaks("descriptors", &format!("n-{no} has {descriptors} descriptors open"));
            }
            if memory > MEMORY_MB {
                world.checker.breaks("memory", &format!("n-{no} has used {memory:.0} MB"));
            }
        }
        thread::sleep(USAGE_EVERY);
    }
}

/// A run in progress.
#[derive(Clone, Copy)]
struct Spell<'w> {
    world: &'w World,
    begin: f64,
    draw: &'w Draw,
}

impl Spell<'_> {
    fn carry_out(self, at: f64, trouble: &Trouble) -> Result<(), String> {
        self.world.clock.sleep_until(self.begin + at);
        match trouble {
            Trouble::Stores(act) => self.trouble_stores(at, act),
            Trouble::End(no, signals) => self.end(*no, signals),
            Trouble::Reload(no, times) => {
                for _ in 0..*times {
                    self.world.aggregator(*no, |one| one.signal("HUP"))?;
                }
                Ok(())
            }
            Trouble::Upgrade(no) => self.upgrade(*no),
            Trouble::Discovery(mode, spell) => {
                self.turn_discovery(*mode);
                self.world.clock.sleep_until(self.begin + at + spell);
                self.turn_discovery(Mode::Sound);
                Ok(())
            }
        }
    }

    fn turn_discovery(&self, mode: Mode) {
        self.world.told.iter().for_each(|(discovery, _)| discovery.turn(mode));
    }

    fn trouble_stores(&self, at: f64, act: &Act) -> Result<(), String> {
        let (which, spell) = act.about();
        let mut random = fastrand::Rng::with_seed(self.draw.seed ^ at.to_bits());
        let chosen = which.map_or(Vec::new(), |which| scenario::pick(which, self.draw.stores, &mut random));
        let names: Vec<_> = chosen.iter().map(|store| format!("s-{store}")).collect();
        println!("  at {at:.0} ms {act:?}: {}", names.join(" "));
        self.world.act(act, &chosen, true, self.begin + at)?;
        if matches!(act, Act::Drain(..)) {
            // At worst, aggregators learn of the drain only when discovery can be reached again.
            let reached = self.discovery_is_reached_from(at);
            let told = self.begin + reached + if reached > at { TOLD_MS } else { 0.0 };
            chosen.iter().for_each(|store| self.world.checker.drains(*store, Some(told)));
            return Ok(());
        }
        self.world.clock.sleep_until(self.begin + at + spell);
        if matches!(act, Act::Kill(..)) {
            let cold = Cold {
                since: self.world.clock.now(),
                capacity: KIND.slots as f64 * 1000.0 / demo::WORK_MS,
                from: KIND.cold_from,
                warm_ms: KIND.warm_ms,
                multiple: BEARS,
            };
            chosen.iter().for_each(|store| self.world.checker.started(*store, cold));
        }
        self.world.act(act, &chosen, false, self.begin + at)?;
        if matches!(act, Act::Kill(..)) {
            // The restart lists the run store as ready, even if it was draining before.
            chosen.iter().for_each(|store| self.world.checker.drains(*store, None));
        }
        Ok(())
    }

    /// Returns the time from which discovery answers after a change at `at`; a watch may have broken before the change.
    fn discovery_is_reached_from(&self, at: f64) -> f64 {
        let troubles = self.draw.troubles.iter().filter_map(|(from, trouble)| match trouble {
            Trouble::Discovery(_, spell) if *from < at + TOLD_MS => Some(from + spell),
            _ => None,
        });
        troubles.fold(at, f64::max)
    }

    fn end(&self, no: usize, signals: &[&str]) -> Result<(), String> {
        let closed = self.world.clock.now() + FRONT_MS;
        self.world.checker.closed(no, closed, f64::INFINITY);
        let child = self.world.aggregator(no, |one| {
            signals.iter().try_for_each(|signal| one.signal(signal))?;
            Ok(one.take_process())
        })?;
        let Some(child) = child else { return Ok(()) };
        outlive(self.world, no, child)?;
        let started = Instant::now();
        self.world.aggregator(no, |one| one.start_again())?;
        if started.elapsed() > READY {
            self.world.checker.breaks("ready", &format!("n-{no} was ready after {:?}", started.elapsed()));
        }
        self.world.checker.closed(no, closed, self.world.clock.now());
        Ok(())
    }

    fn upgrade(&self, no: usize) -> Result<(), String> {
        let old = self.world.aggregator(no, |one| match one.id() {
            Some(_) => one.succeed(),
            None => Ok(None),
        })?;
        let Some(old) = old else { return Ok(()) };
        let id = rustix::process::Pid::from_child(&old);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)
            .map_err(|error| error.to_string())?;
        outlive(self.world, no, old)
    }
}
