//! Runs a drawn soak run: starts its clients, injects its faults and checks the rules.

use std::process::Child;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::draw::{Draw, SoakFault};
use super::guests::Client;
use super::{Options, Outcome};
use crate::check::ColdStart;
use crate::demo::{self, World, COLD_TOLERATED_MULTIPLE, PROFILE};
use crate::discovery::Mode;
use crate::scenario::{self, Fault};
use crate::{aggregators, Api};

/// Time for which an aggregator still accepts connections after the signal to end, in milliseconds.
const ACCEPTING_MS: f64 = 400.0;
/// Time from the signal to end until the platform kills a process: the longest deadline, capped at 3 s, and 0.7 s more.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// Time within which a restarted process must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time after discovery can be reached until aggregators must know of a change, in milliseconds.
const DISCOVERY_DELAY_MS: f64 = 6000.0;
/// Lateness from which an answer counts as lost, in milliseconds.
const LATE_LIMIT_MS: f64 = 500.0;
/// Memory limit of an aggregator, in megabytes.
const MEMORY_LIMIT_MB: f64 = 192.0;
/// Interval at which the end of a process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which descriptors and memory are checked.
const USAGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Carries out a run and returns its outcome.
///
/// # Errors
/// If the run cannot be set up or carried out.
pub fn run(draw: &Draw, api: Api, options: &Options) -> Result<Outcome, String> {
    let demo_options = demo::Options {
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
    let world = Arc::new(demo::build(&demo_options).map_err(|error| error.to_string())?);
    world.checker.set_late_limit(LATE_LIMIT_MS);
    let begin = world.clock.now();
    let results = thread::scope(|scope| {
        let watched = world.clone();
        scope.spawn(move || watch_usage(&watched, draw));
        let others = draw.client_kinds.iter().enumerate();
        for (no, kind) in others {
            let to = no % world.addresses.len();
            let client =
                Client { world: world.clone(), to: (to, world.addresses[to]), api, seed: draw.seed, no };
            scope.spawn(move || client.run(*kind));
        }
        let injector = FaultInjector { world: &world, begin, draw };
        let soak_faults: Vec<_> = draw
            .soak_faults
            .iter()
            .map(|(at, soak_fault)| scope.spawn(move || injector.inject(*at, soak_fault)))
            .collect();
        thread::scope(|clients| world.send_queries(clients, begin, &demo_options));
        let results: Vec<_> = soak_faults.into_iter().map(thread::ScopedJoinHandle::join).collect();
        world.over.store(true, Ordering::Release);
        results
    });
    for done in results {
        done.map_err(|_| "a thread failed")??;
    }
    shut_down_all(&world)?;
    let (classes, _) = world.counts.totals();
    Ok(Outcome {
        seed: draw.seed,
        api: match api {
            Api::Platform => "platform",
            Api::Opensearch => "opensearch",
        },
        draw: draw.to_string(),
        asked: classes.values().map(|ends| ends.asked).sum(),
        answered: classes.values().map(|ends| ends.answered).sum(),
        broken: world.checker.violations(),
    })
}

/// Shuts all aggregators down.
fn shut_down_all(world: &World) -> Result<(), String> {
    for (no, aggregator) in world.aggregators.lock().map_err(|_| "a thread failed")?.iter_mut().enumerate() {
        aggregator.signal("TERM").map_err(|error| error.to_string())?;
        if let Some(child) = aggregator.take_process() {
            wait_for_exit(world, no, child)?;
        }
    }
    Ok(())
}

/// Waits for the exit of a process that got a signal to end, and kills it after [`KILLED_AFTER`].
fn wait_for_exit(world: &World, no: usize, mut child: Child) -> Result<(), String> {
    let signalled = Instant::now();
    loop {
        if let Some(status) = child.try_wait().map_err(|error| error.to_string())? {
            aggregators::unregister(child.id());
            if !status.success() {
                world.checker.report_violation("crash", &format!("n-{no} exited with {status}"));
            }
            return Ok(());
        }
        if signalled.elapsed() >= KILLED_AFTER {
            // The checker reports queries that are still unanswered as lost.
            let ended = child.kill().and_then(|()| child.wait());
            aggregators::unregister(child.id());
            return ended.map(drop).map_err(|error| error.to_string());
        }
        thread::sleep(EXIT_POLL_INTERVAL);
    }
}

/// Checks descriptors and memory of aggregators against their limits until the run is over.
fn watch_usage(world: &World, draw: &Draw) {
    while !world.over.load(Ordering::Acquire) {
        let used: Vec<_> =
            world.aggregators.lock().map_or(Vec::new(), |all| all.iter().map(|one| one.usage()).collect());
        for (no, (descriptors, memory)) in used.into_iter().enumerate().filter_map(|(no, u)| Some((no, u?))) {
            if descriptors > draw.sockets {
                world
                    .checker
                    .report_violation("descriptors", &format!("n-{no} has {descriptors} descriptors open"));
            }
            if memory > MEMORY_LIMIT_MB {
                world.checker.report_violation("memory", &format!("n-{no} has used {memory:.0} MB"));
            }
        }
        thread::sleep(USAGE_CHECK_INTERVAL);
    }
}

/// Injects the faults of a run in progress.
#[derive(Clone, Copy)]
struct FaultInjector<'w> {
    world: &'w World,
    begin: f64,
    draw: &'w Draw,
}

impl FaultInjector<'_> {
    fn inject(self, at: f64, soak_fault: &SoakFault) -> Result<(), String> {
        self.world.clock.sleep_until(self.begin + at);
        match soak_fault {
            SoakFault::Stores(fault) => self.apply_to_run_stores(at, fault),
            SoakFault::End(no, signals) => self.end_and_restart(*no, signals),
            SoakFault::Reload(no, times) => {
                for _ in 0..*times {
                    self.world.aggregator(*no, |one| one.signal("HUP"))?;
                }
                Ok(())
            }
            SoakFault::Upgrade(no) => self.upgrade(*no),
            SoakFault::Discovery(mode, duration) => {
                self.set_discovery_mode(*mode);
                self.world.clock.sleep_until(self.begin + at + duration);
                self.set_discovery_mode(Mode::Sound);
                Ok(())
            }
        }
    }

    fn set_discovery_mode(&self, mode: Mode) {
        self.world.discoveries.iter().for_each(|(discovery, _)| discovery.set_mode(mode));
    }

    fn apply_to_run_stores(&self, at: f64, fault: &Fault) -> Result<(), String> {
        let (selection, duration) = fault.targets_and_duration();
        let mut random = fastrand::Rng::with_seed(self.draw.seed ^ at.to_bits());
        let chosen = selection
            .map_or(Vec::new(), |selection| scenario::select(selection, self.draw.stores, &mut random));
        let names: Vec<_> = chosen.iter().map(|store| format!("s-{store}")).collect();
        println!("  at {at:.0} ms {fault:?}: {}", names.join(" "));
        self.world.apply_fault(fault, &chosen, true, self.begin + at)?;
        if matches!(fault, Fault::Drain(..)) {
            // At worst, aggregators learn of the drain only when discovery can be reached again.
            let reached = self.discovery_reachable_from(at);
            let known_since = self.begin + reached + if reached > at { DISCOVERY_DELAY_MS } else { 0.0 };
            chosen.iter().for_each(|store| self.world.checker.set_draining(*store, Some(known_since)));
            return Ok(());
        }
        self.world.clock.sleep_until(self.begin + at + duration);
        if matches!(fault, Fault::Kill(..)) {
            let cold = ColdStart {
                since: self.world.clock.now(),
                capacity: PROFILE.slots as f64 * 1000.0 / demo::WORK_MS,
                initial_share: PROFILE.cold_from,
                warm_ms: PROFILE.warm_ms,
                tolerated_multiple: COLD_TOLERATED_MULTIPLE,
            };
            chosen.iter().for_each(|store| self.world.checker.record_cold_start(*store, cold));
        }
        self.world.apply_fault(fault, &chosen, false, self.begin + at)?;
        if matches!(fault, Fault::Kill(..)) {
            // The restart lists the run store as ready, even if it was draining before.
            chosen.iter().for_each(|store| self.world.checker.set_draining(*store, None));
        }
        Ok(())
    }

    /// Returns when discovery can be reached again after a change at `at`, counting every outage that begins before
    /// aggregators must know of the change: a watch may have broken before it, so that the change is not yet read when
    /// the outage begins.
    fn discovery_reachable_from(&self, at: f64) -> f64 {
        let soak_faults = self.draw.soak_faults.iter().filter_map(|(from, soak_fault)| match soak_fault {
            SoakFault::Discovery(_, duration) if *from < at + DISCOVERY_DELAY_MS => Some(from + duration),
            _ => None,
        });
        soak_faults.fold(at, f64::max)
    }

    fn end_and_restart(&self, no: usize, signals: &[&str]) -> Result<(), String> {
        let closed = self.world.clock.now() + ACCEPTING_MS;
        self.world.checker.set_not_accepting(no, closed, f64::INFINITY);
        let child = self.world.aggregator(no, |one| {
            signals.iter().try_for_each(|signal| one.signal(signal))?;
            Ok(one.take_process())
        })?;
        let Some(child) = child else { return Ok(()) };
        wait_for_exit(self.world, no, child)?;
        let started = Instant::now();
        self.world.aggregator(no, |one| one.start_again())?;
        if started.elapsed() > READY_WITHIN {
            self.world
                .checker
                .report_violation("ready", &format!("n-{no} was ready after {:?}", started.elapsed()));
        }
        self.world.checker.set_not_accepting(no, closed, self.world.clock.now());
        Ok(())
    }

    fn upgrade(&self, no: usize) -> Result<(), String> {
        let old = self.world.aggregator(no, |one| match one.id() {
            Some(_) => one.start_successor(),
            None => Ok(None),
        })?;
        let Some(old) = old else { return Ok(()) };
        let id = rustix::process::Pid::from_child(&old);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)
            .map_err(|error| error.to_string())?;
        wait_for_exit(self.world, no, old)
    }
}
