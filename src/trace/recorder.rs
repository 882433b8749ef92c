//! Writes the recording of a running process on a thread of its own.
//!
//! A bounded queue connects the trace writer to the thread. When the queue is full, or the disk fails, records are
//! dropped and counted; serving never waits for a disk.

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

/// The capacity of the queue, in jobs: a few seconds of a busy aggregator, a few MB at most.
pub const QUEUE_CAPACITY: usize = 64;
/// A file that was written to within this time may belong to a running process.
const ACTIVE_FILE_AGE: Duration = Duration::from_secs(60);

/// Where segments are stored, and how much space they may take up.
#[derive(Debug, Clone, PartialEq)]
pub struct Retention {
    /// The folder.
    pub dir: PathBuf,
    /// The limits of one segment.
    pub limits: Limits,
    /// The maximum total size of the aggregator's segments, in bytes.
    pub max_bytes: u64,
}

/// The state that the thread shares with its [`Recorder`].
#[derive(Default)]
struct WriterStatus {
    /// The size of the segment, in bytes.
    size: AtomicU64,
    /// The number of segments begun.
    segments_begun: AtomicU64,
    /// True if the beginning of the last segment was written.
    segment_ok: AtomicBool,
    /// The number of records lost to failed writes.
    lost: AtomicU64,
    /// True if a write failed, so that a new segment is needed.
    failed: AtomicBool,
    /// The number of records that are on the disk.
    kept: AtomicU64,
    /// The number of segments that were removed to free space.
    removed: AtomicU64,
    /// The name of the segment.
    name: Mutex<String>,
}

/// A handle to the thread that writes segments.
pub struct Recorder {
    jobs: Option<SyncSender<Job>>,
    writer_status: Arc<WriterStatus>,
    ended: Arc<AtomicBool>,
    warned: bool,
    /// The number of segments that the thread was asked to begin.
    segments_requested: u64,
}

/// The status of a recording, as the operator interface reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct RecordingStatus {
    /// True if the recording is on.
    pub recording: bool,
    /// The name of the current or last segment.
    pub segment: String,
    /// The size of that segment, in bytes.
    pub bytes: u64,
    /// The number of records that are on the disk.
    pub kept: u64,
    /// The number of records that were lost.
    pub lost: u64,
    /// The number of segments that were removed to free space.
    pub removed: u64,
}

impl Recorder {
    /// Starts the thread, which writes to files in the folder of `retention`.
    ///
    /// # Errors
    /// If the folder cannot be created or the thread cannot be started.
    pub fn start(retention: &Retention) -> io::Result<Self> {
        fs::create_dir_all(&retention.dir)?;
        Recorder::with_storage(Folder(retention.dir.clone()), retention.max_bytes)
    }

    /// Starts the thread, which writes to `storage`; the segments may take up `max_bytes` bytes in total.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn with_storage<S: Storage + Send + 'static>(storage: S, max_bytes: u64) -> io::Result<Self> {
        let (jobs, queue) = sync_channel(QUEUE_CAPACITY);
        let (writer_status, ended) = (Arc::new(WriterStatus::default()), Arc::new(AtomicBool::new(false)));
        let (shared, done) = (writer_status.clone(), ended.clone());
        std::thread::Builder::new().name("trace".into()).spawn(move || {
            run_writer(Keeper::new(storage, max_bytes), &queue, &shared);
            done.store(true, Ordering::Release);
        })?;
        Ok(Recorder { jobs: Some(jobs), writer_status, ended, warned: false, segments_requested: 0 })
    }

    /// Queues a job for the thread. Returns the number of records that are lost because the queue does not accept it.
    pub fn submit(&mut self, job: Job) -> u64 {
        let (records, opens) = (records_of(&job), matches!(job, Job::Open(..)));
        let Some(jobs) = &self.jobs else { return records };
        match jobs.try_send(job) {
            Ok(()) => {
                self.segments_requested += u64::from(opens);
                0
            }
            Err(TrySendError::Full(_)) => {
                self.warn_once("the disk is too slow; records are dropped until it has caught up");
                records
            }
            Err(TrySendError::Disconnected(_)) => records,
        }
    }

    /// Logs a warning the first time that it is called.
    fn warn_once(&mut self, why: &str) {
        if !std::mem::replace(&mut self.warned, true) {
            log::line(&format!("trace: {why}"));
        }
    }

    /// Returns the number of records lost to failed writes since the last call, or `None` if no write has failed.
    pub fn take_failure(&mut self) -> Option<u64> {
        let failed = self.writer_status.failed.swap(false, Ordering::AcqRel);
        failed.then(|| self.writer_status.lost.swap(0, Ordering::AcqRel))
    }

    /// Returns the current size of the segment, in bytes; 0 while a queued new segment has not been begun.
    pub fn size(&self) -> u64 {
        if self.writer_status.segments_begun.load(Ordering::Acquire) < self.segments_requested {
            return 0;
        }
        self.writer_status.size.load(Ordering::Acquire)
    }

    /// Returns true if the beginning of the last requested segment is on the disk.
    pub fn is_segment_begun(&self) -> bool {
        self.writer_status.segments_begun.load(Ordering::Acquire) == self.segments_requested
            && self.writer_status.segment_ok.load(Ordering::Acquire)
    }

    /// Closes the queue. The thread ends once it has done the queued jobs.
    pub fn finish(&mut self) {
        self.jobs = None;
    }

    /// Returns true if the thread has ended.
    pub fn is_done(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Returns the status of the recording. The losses are counted elsewhere, so `lost` is 0.
    pub fn status(&self) -> RecordingStatus {
        RecordingStatus {
            recording: self.jobs.is_some(),
            segment: self.writer_status.name.lock().map(|name| name.clone()).unwrap_or_default(),
            bytes: self.size(),
            kept: self.writer_status.kept.load(Ordering::Acquire),
            lost: 0,
            removed: self.writer_status.removed.load(Ordering::Acquire),
        }
    }
}

/// The body of the thread: does jobs until the queue is closed and empty.
fn run_writer<S: Storage>(mut keeper: Keeper<S>, queue: &Receiver<Job>, status: &WriterStatus) {
    let mut warned = false;
    while let Ok(job) = queue.recv() {
        let records = records_of(&job);
        let opens = matches!(job, Job::Open(..));
        let done = keeper.take(job);
        if opens {
            status.segment_ok.store(matches!(done, Done::Kept { .. }), Ordering::Release);
        }
        match done {
            Done::Kept { removed } => {
                status.kept.fetch_add(records, Ordering::AcqRel);
                status.removed.fetch_add(removed.len() as u64, Ordering::AcqRel);
                if opens {
                    if let Ok(mut name) = status.name.lock() {
                        *name = keeper.name().to_string();
                    }
                }
                warned = false;
            }
            Done::Lost { records, why } => {
                status.lost.fetch_add(records, Ordering::AcqRel);
                status.failed.store(true, Ordering::Release);
                if !std::mem::replace(&mut warned, true) {
                    log::line(&format!("trace: {why}; records are dropped until writing succeeds again"));
                }
            }
        }
        status.size.store(keeper.size().unwrap_or(0), Ordering::Release);
        status.segments_begun.fetch_add(u64::from(opens), Ordering::AcqRel);
    }
}

/// Stores segments as files in a folder.
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
            let metadata = entry.metadata()?;
            let recent = metadata.modified()?.elapsed().is_ok_and(|age| age < ACTIVE_FILE_AGE);
            if let Ok(name) = entry.file_name().into_string() {
                files.push((name, metadata.len(), recent));
            }
        }
        Ok(files)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}
