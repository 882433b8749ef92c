//! Tests the recording of a process with a slow disk: serving goes on, and the dropped records are counted.

#[path = "common/core.rs"]
mod fixture;

use std::io::{self, Cursor, Write};
use std::sync::{Arc, Condvar, Mutex};

use fixture::{ask, commands, listed};
use ironpaddle::api::ReplicaState;
use ironpaddle::core::{Core, DirectoryUpdate};
use ironpaddle::settings::SiteSettings;
use ironpaddle::trace::control::Control;
use ironpaddle::trace::recorder::{Recorder, Retention, QUEUE_CAPACITY};
use ironpaddle::trace::replay::Replay;
use ironpaddle::trace::writer::Limits;
use ironpaddle_trace::file::{Reader, Source};
use ironpaddle_trace::keep::Storage;
use ironpaddle_trace::record::Record;
use serde_json::json;

const BEGIN: f64 = 1_764_608_400_000.0;

/// A disk whose writes block while it is held.
#[derive(Clone, Default)]
struct Disk(Arc<(Mutex<State>, Condvar)>);

#[derive(Default)]
struct State {
    held: bool,
    files: Vec<Vec<u8>>,
}

struct Open(Disk, usize);

impl Disk {
    fn hold(&self, held: bool) {
        self.0 .0.lock().unwrap().held = held;
        self.0 .1.notify_all();
    }
}

impl Write for Open {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.0 .0 .0.lock().unwrap();
        let mut state = self.0 .0 .1.wait_while(state, |state| state.held).unwrap();
        state.files[self.1].extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Storage for Disk {
    type File = Open;

    fn create(&mut self, _: &str) -> io::Result<Open> {
        let mut state = self.0 .0.lock().unwrap();
        state.files.push(Vec::new());
        Ok(Open(self.clone(), state.files.len() - 1))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64, bool)>> {
        Ok(Vec::new())
    }

    fn remove(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
}

fn core() -> Core {
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3, "max_open": 1000, "may_cancel": true},
        "domain": {"cells": 1, "width": 1, "shards": 9},
        "request_classes": [{"name": "search", "aim_ms": 1000.0, "deadline_ms": 4000.0, "repeat": "read_like"}],
        "tick_ms": 5.0,
    }))
    .unwrap();
    let mut core = Core::new(&site, 7).unwrap();
    core.apply_directory_update(DirectoryUpdate::Cached(vec![listed("a", ReplicaState::Active, 0.0)]));
    core
}

#[test]
fn a_slow_disk_costs_records_that_are_counted_and_never_a_wait() {
    let (disk, mut core) = (Disk::default(), core());
    let limits = Limits { bytes: u64::MAX, age: f64::INFINITY };
    let retention = Retention { dir: "unused".into(), limits, max_bytes: u64::MAX };
    let control = Control::new(retention, Source { aggregator: "n0".into(), ..Source::default() });
    control.begin(Recorder::with_storage(disk.clone(), u64::MAX).unwrap(), &mut core, || BEGIN);
    let mut now = BEGIN;
    let mut pass = |core: &mut Core, steps: usize| {
        for _ in 0..steps {
            // A block is closed each 250 ms.
            now += 260.0;
            core.take_in(now, ask("c1", "search", 1, 2000.0)).unwrap();
            core.step(now);
            commands(core);
            control.pump(core, now);
        }
        now
    };
    disk.hold(true);
    // Far more blocks than the queue holds. If a step waited for the disk, this test would hang.
    pass(&mut core, QUEUE_CAPACITY * 4);
    let lost = control.status().lost;
    assert!(lost > 0, "{:?}", control.status());
    disk.hold(false);
    while control.status().kept == 0 {
        std::thread::yield_now();
    }
    let now = pass(&mut core, 20);
    control.stop(&mut core, now);
    while !control.is_done() {
        std::thread::yield_now();
    }
    let status = control.status();
    assert!(!status.recording && status.lost >= lost && status.kept > 0, "{status:?}");
    // The segments on the disk record every loss, and replay from each checkpoint.
    let files = disk.0 .0.lock().unwrap().files.clone();
    assert!(files.len() > 1, "a new segment follows a loss");
    let (mut recorded, mut replay) = (0, Replay::new(None));
    for file in &files {
        let mut reader = Reader::open(Cursor::new(file.as_slice())).unwrap();
        assert!(reader.is_complete(), "each segment has its index");
        for no in 0..reader.blocks().len() {
            let block = reader.block(no).unwrap();
            for entry in &block.entries {
                if let Record::Loss(loss) = entry.record {
                    recorded += loss.records;
                }
                replay.take(&block, entry);
            }
        }
    }
    assert!(recorded >= lost && recorded <= status.lost, "{recorded} of {lost} and then {}", status.lost);
    let report = replay.report();
    assert_eq!((report.difference, report.checkpoints as usize), (None, files.len()));
}
