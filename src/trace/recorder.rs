//! The recording of a running process: a tape, and a thread that writes what it hands out.
//!
//! Between both stands a bounded queue. When it is full, or the disk fails, records are dropped and counted; serving
//! never waits for a disk.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ironpaddle_trace::keep::{Done, Job, Keeper, Storage};

use super::writer::{records_of, Limits};
use crate::log;

/// Jobs that wait for the disk: some seconds of a busy aggregator, some MB at most.
pub const QUEUE: usize = 64;
/// A file that was written to within this time may belong to a process that runs.
const LATELY: Duration = Duration::from_secs(60);

/// Where and how much is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Keep {
    /// The folder.
    pub dir: PathBuf,
    /// When a segment is long enough.
    pub limits: Limits,
    /// What all segments of the aggregator may take up, in bytes.
    pub most: u64,
}

/// What the thread tells.
#[derive(Default)]
struct Told {
    /// The length of the segment, in bytes, and the number of segments begun.
    size: AtomicU64,
    begun: AtomicU64,
    /// Whether the last of them is there.
    sound: AtomicBool,
    /// Records that the disk did not take.
    lost: AtomicU64,
    /// Whether it wants another segment, as the disk failed.
    failed: AtomicBool,
    /// Records that are on the disk.
    kept: AtomicU64,
    /// Segments that were removed for room.
    removed: AtomicU64,
    /// The name of the segment.
    name: Mutex<String>,
}

/// A thread that writes.
pub struct Recorder {
    jobs: Option<SyncSender<Job>>,
    told: Arc<Told>,
    ended: Arc<AtomicBool>,
    said: bool,
    /// Segments that the thread was asked to begin.
    asked: u64,
}

/// How a recording stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct Standing {
    /// Whether anything is being recorded.
    pub recording: bool,
    /// The segment that is written, or was last.
    pub segment: String,
    /// Its length, in bytes.
    pub bytes: u64,
    /// Records that are on the disk.
    pub kept: u64,
    /// Records that were lost.
    pub lost: u64,
    /// Segments that were removed for room.
    pub removed: u64,
}

impl Recorder {
    /// Starts the thread.
    ///
    /// # Errors
    /// If the folder cannot be made or the thread cannot be started.
    pub fn start(keep: &Keep) -> io::Result<Self> {
        fs::create_dir_all(&keep.dir)?;
        Recorder::over(Folder(keep.dir.clone()), keep.most)
    }

    /// Starts the thread over some storage, of which the segments may take up so many bytes.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn over<S: Storage + Send + 'static>(storage: S, most: u64) -> io::Result<Self> {
        let (jobs, queue) = sync_channel(QUEUE);
        let (told, ended) = (Arc::new(Told::default()), Arc::new(AtomicBool::new(false)));
        let (tell, done) = (told.clone(), ended.clone());
        std::thread::Builder::new().name("trace".into()).spawn(move || {
            write(Keeper::new(storage, most), &queue, &tell);
            done.store(true, Ordering::Release);
        })?;
        Ok(Recorder { jobs: Some(jobs), told, ended, said: false, asked: 0 })
    }

    /// Hands a job to the thread; gives back the number of records that are lost by that.
    pub fn take(&mut self, job: Job) -> u64 {
        let (records, opens) = (records_of(&job), matches!(job, Job::Open(..)));
        let Some(jobs) = &self.jobs else { return records };
        match jobs.try_send(job) {
            Ok(()) => {
                self.asked += u64::from(opens);
                0
            }
            Err(TrySendError::Full(_)) => {
                self.say("the disk is too slow; records are dropped until it has caught up");
                records
            }
            Err(TrySendError::Disconnected(_)) => records,
        }
    }

    fn say(&mut self, why: &str) {
        if !std::mem::replace(&mut self.said, true) {
            log::line(&format!("trace: {why}"));
        }
    }

    /// Records that the disk has failed to take since this was asked last, if it has failed.
    pub fn failed(&mut self) -> Option<u64> {
        let failed = self.told.failed.swap(false, Ordering::AcqRel);
        failed.then(|| self.told.lost.swap(0, Ordering::AcqRel))
    }

    /// The length of the segment so far, in bytes; 0 while a new one waits for being begun.
    pub fn size(&self) -> u64 {
        if self.told.begun.load(Ordering::Acquire) < self.asked {
            return 0;
        }
        self.told.size.load(Ordering::Acquire)
    }

    /// Whether the segment that was asked for last is on the disk, as far as it goes.
    pub fn is_begun(&self) -> bool {
        self.told.begun.load(Ordering::Acquire) == self.asked && self.told.sound.load(Ordering::Acquire)
    }

    /// No more jobs: the thread ends once it has done what it has.
    pub fn finish(&mut self) {
        self.jobs = None;
    }

    /// Whether the thread is done.
    pub fn is_done(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        Standing {
            recording: self.jobs.is_some(),
            segment: self.told.name.lock().map(|name| name.clone()).unwrap_or_default(),
            bytes: self.size(),
            kept: self.told.kept.load(Ordering::Acquire),
            lost: 0,
            removed: self.told.removed.load(Ordering::Acquire),
        }
    }
}

/// The thread: it does jobs until no more can come.
fn write<S: Storage>(mut keeper: Keeper<S>, queue: &Receiver<Job>, told: &Told) {
    let mut said = false;
    while let Ok(job) = queue.recv() {
        let records = records_of(&job);
        let opens = matches!(job, Job::Open(..));
        let done = keeper.take(job);
        if opens {
            told.sound.store(matches!(done, Done::Kept { .. }), Ordering::Release);
        }
        match done {
            Done::Kept { removed } => {
                told.kept.fetch_add(records, Ordering::AcqRel);
                told.removed.fetch_add(removed.len() as u64, Ordering::AcqRel);
                if opens {
                    if let Ok(mut name) = told.name.lock() {
                        *name = keeper.name().to_string();
                    }
                }
                said = false;
            }
            Done::Lost { records, why } => {
                told.lost.fetch_add(records, Ordering::AcqRel);
                told.failed.store(true, Ordering::Release);
                if !std::mem::replace(&mut said, true) {
                    log::line(&format!("trace: {why}; records are dropped until that has ended"));
                }
            }
        }
        told.size.store(keeper.size().unwrap_or(0), Ordering::Release);
        told.begun.fetch_add(u64::from(opens), Ordering::AcqRel);
    }
}

/// Files in a folder.
struct Folder(PathBuf);

impl Storage for Folder {
    type File = File;

    fn create(&mut self, name: &str) -> io::Result<File> {
        fs::create_dir_all(&self.0)?;
        OpenOptions::new().write(true).create_new(true).open(self.0.join(name))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64, bool)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            let entry = entry?;
            let told = entry.metadata()?;
            let lately = told.modified()?.elapsed().is_ok_and(|age| age < LATELY);
            if let Ok(name) = entry.file_name().into_string() {
                files.push((name, told.len(), lately));
            }
        }
        Ok(files)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}
