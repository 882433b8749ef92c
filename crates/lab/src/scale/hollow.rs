//! Simulated aggregators, thousands in a process: the program's own control state and discovery watch, with real calls
//! to discovery and without clients.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use ironpaddle::api::{Millis, ReplicaId, ReplicaState};
use ironpaddle::core::drive::{Directory, Driver, RunStores};
use ironpaddle::core::{Call, CallNo, Core, DirectoryUpdate};
use ironpaddle::directory::watch::Watch;
use ironpaddle::settings::SiteSettings;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::events::{self, FIRST_INDEX};
use super::roles::{RoleCommand, RoleHandler, Setup};
use crate::clock::Clock;

/// The number of threads among which the aggregators are divided.
const THREADS: usize = 4;
/// The maximum number of aggregators of a thread that wait for their first list while another one starts.
const MAX_STARTING: usize = 8;

/// The state of the list at the simulated aggregators of a process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SimulatedStatus {
    /// The number of aggregators that have a list.
    pub listed: usize,
    /// By version, from the first on: how many aggregators have it in force, and the time at which the last one had.
    pub in_force: Vec<(usize, f64)>,
    /// At the end: the number of aggregators that hold each list, by the digest of the list.
    pub lists: BTreeMap<u64, usize>,
}

impl SimulatedStatus {
    /// Records that an aggregator has the versions from `from` to `to` in force since a time.
    fn record(&mut self, from: u64, to: u64, at: f64) {
        let place = |version: u64| (version - FIRST_INDEX) as usize;
        let end = place(to) + 1;
        self.in_force.resize(self.in_force.len().max(end), (0, 0.0));
        for (count, last) in &mut self.in_force[place(from)..end] {
            *count += 1;
            *last = at.max(*last);
        }
    }
}

type SharedStatus = Arc<Mutex<SimulatedStatus>>;

fn lock(status: &SharedStatus) -> MutexGuard<'_, SimulatedStatus> {
    status.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A transport without run store connections: as there are no queries, nothing is ever sent.
struct NoRunStores;

impl RunStores for NoRunStores {
    fn send(&self, _: Call) {}
    fn abandon(&self, _: &ReplicaId, _: CallNo, _: bool) {}
    fn probe(&self, _: &ReplicaId, _: CallNo) {}
    fn probe_timed_out(&self, _: &ReplicaId, _: CallNo) {}
    fn close_idle(&self, _: &ReplicaId) {}
    fn retire(&self, _: &ReplicaId) {}
    fn locate(&self, _: &ReplicaId, _: SocketAddr, _: Option<Millis>) {}
    fn tracked_run_stores(&self) -> usize {
        0
    }
    fn connections(&self) -> usize {
        0
    }
    fn set_max_connections(&self, _: usize) {}
    fn apply_settings(&self, _: &SiteSettings) {}
}

/// Drives an aggregator until its process ends, and records when versions of the list are in force.
async fn drive(driver: Rc<Driver>, watch: Rc<Watch>, clock: Clock, status: SharedStatus) {
    let known = Cell::new(None::<u64>);
    let mut running = pin!(driver.clone().run());
    poll_fn(|context| {
        let polled = running.as_mut().poll(context);
        // A version is in force once the step that follows its delivery is done.
        let version = Directory::version(&watch).filter(|_| !driver.needs_step());
        if let Some(version) = version.filter(|version| known.get().is_none_or(|known| known < *version)) {
            let mut status = lock(&status);
            let from = known.replace(Some(version)).map_or(FIRST_INDEX, |known| known + 1);
            status.listed += usize::from(from == FIRST_INDEX);
            status.record(from, version, clock.now());
        }
        polled
    })
    .await;
}

/// Returns the digest of the list that an aggregator holds.
fn list_digest(driver: &Driver) -> u64 {
    let lines = driver.directory();
    let line = |line: &ironpaddle::core::ListedRunStore| {
        let drains = line.replica.state != ReplicaState::Active;
        (line.replica.id.0.to_string(), line.replica.cell, drains, line.replica.started)
    };
    let lines: Vec<_> = lines.iter().map(line).collect();
    events::digest_list(lines.iter().map(|(name, cell, drains, started)| (&**name, *cell, *drains, *started)))
}

/// Starts the aggregators. A thread starts the next one only while few of its others wait for their first list.
pub fn start(setup: &Setup) -> io::Result<(Vec<SocketAddr>, RoleHandler)> {
    let site: SiteSettings = serde_json::from_value(setup.settings.clone())?;
    if setup.discovery.is_empty() {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    let clock = Clock::new();
    let mut threads = Vec::new();
    for thread in 0..THREADS {
        let status = SharedStatus::default();
        let (request, requests) = async_channel::bounded::<()>(1);
        let (answers, answer) = std::sync::mpsc::channel();
        let (site, thread_status) = (site.clone(), status.clone());
        let (seed, simulated, discovery) = (setup.seed, setup.simulated, setup.discovery.clone());
        thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let mut drivers = Vec::new();
            let all = async {
                for no in (thread..simulated).step_by(THREADS) {
                    let Ok(core) = Core::new(&site, seed + no as u64) else { return };
                    let driver = Driver::new(core, executor.clone());
                    let watch = Watch::new(driver.clone(), discovery[no % discovery.len()], None);
                    driver.connect(Rc::new(NoRunStores), Rc::new(watch.clone()));
                    driver.apply_directory_update(DirectoryUpdate::Cached(Vec::new()));
                    executor.spawn(drive(driver.clone(), watch, clock, thread_status.clone())).detach();
                    drivers.push(driver);
                    while lock(&thread_status).listed + MAX_STARTING < drivers.len() {
                        Timer::after(Duration::from_millis(2)).await;
                    }
                }
                while requests.recv().await.is_ok() {
                    let mut lists = BTreeMap::new();
                    drivers.iter().for_each(|driver| *lists.entry(list_digest(driver)).or_default() += 1);
                    if answers.send(lists).is_err() {
                        return;
                    }
                }
            };
            async_io::block_on(executor.run(all));
        });
        threads.push((status, request, answer));
    }
    let handler: RoleHandler = Box::new(move |command| {
        let mut all = SimulatedStatus::default();
        for (status, request, answer) in &threads {
            let mut part = lock(status).clone();
            if command == RoleCommand::End && request.send_blocking(()).is_ok() {
                part.lists = answer.recv().unwrap_or_default();
            }
            all.listed += part.listed;
            all.in_force.resize(all.in_force.len().max(part.in_force.len()), (0, 0.0));
            for ((count, last), (more, later)) in all.in_force.iter_mut().zip(part.in_force) {
                *count += more;
                *last = last.max(later);
            }
            part.lists.into_iter().for_each(|(list, count)| *all.lists.entry(list).or_default() += count);
        }
        json!(all)
    });
    Ok((Vec::new(), handler))
}
