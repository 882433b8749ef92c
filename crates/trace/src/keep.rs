//! Keeping a recording: segments begun and ended, old ones removed, failures of the disk borne.
//!
//! A [`Keeper`] is told jobs and does them on some [`Storage`]; it never gives up for good. What it could not keep it
//! says, so that a later segment can tell of the loss.

use std::io::{self, Write};

use crate::block::Batch;
use crate::file::{Header, Writer};
use crate::Error;

/// The ending of segments' names.
pub const ENDING: &str = ".iptrace";

/// A place for files.
pub trait Storage {
    /// A file that is being written.
    type File: Write;

    /// Makes a file of a name.
    ///
    /// # Errors
    /// If it cannot be made.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// The files that are there: name, length in bytes, and whether one was written to lately.
    ///
    /// # Errors
    /// If they cannot be listed.
    fn list(&mut self) -> io::Result<Vec<(String, u64, bool)>>;

    /// Removes a file.
    ///
    /// # Errors
    /// If it cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Something to do.
pub enum Job {
    /// Begin a segment, which starts with this.
    Open(Box<Header>, Batch),
    /// Add this to the segment.
    Add(Batch),
    /// End the segment.
    Close,
}

/// What became of a job.
#[derive(Debug, PartialEq, Eq)]
pub enum Done {
    /// It is done; files were removed to make room.
    Kept {
        /// Their names.
        removed: Vec<String>,
    },
    /// It is not, and a segment has to be begun anew before anything more is kept.
    Lost {
        /// Records that were not kept.
        records: u64,
        /// Why.
        why: String,
    },
}

/// Keeps segments.
pub struct Keeper<S: Storage> {
    storage: S,
    most: u64,
    writer: Option<Writer<S::File>>,
    open: String,
}

impl<S: Storage> Keeper<S> {
    /// A keeper that lets the segments of one aggregator take up so many bytes.
    pub fn new(storage: S, most: u64) -> Self {
        Keeper { storage, most, writer: None, open: String::new() }
    }

    /// The length of the segment that is being written, in bytes, if one is.
    pub fn size(&self) -> Option<u64> {
        self.writer.as_ref().map(Writer::size)
    }

    /// The name of the segment that is being written, or was last.
    pub fn name(&self) -> &str {
        &self.open
    }

    /// Does something.
    pub fn take(&mut self, job: Job) -> Done {
        let records = match &job {
            Job::Open(_, batch) | Job::Add(batch) => u64::from(batch.records()),
            Job::Close => 0,
        };
        let done = match job {
            Job::Open(header, batch) => self.begin(&header, batch),
            Job::Add(batch) => self.add(batch).map(|()| Vec::new()),
            Job::Close => self.end().map(|()| Vec::new()),
        };
        match done {
            Ok(removed) => Done::Kept { removed },
            Err(why) => {
                // Half a block may stand at its end by now: nothing more goes behind it.
                self.writer = None;
                Done::Lost { records, why: why.to_string() }
            }
        }
    }

    fn begin(&mut self, header: &Header, batch: Batch) -> Result<Vec<String>, Error> {
        // That the last one cannot be ended is no reason to begin no other: readers do without its index.
        let _ = self.end();
        let source = header.sources.first().ok_or(Error::Damaged)?;
        self.open = name(&source.aggregator, batch.first(), source.process, header.segment);
        let removed = self.make_room(&source.aggregator)?;
        let mut writer = Writer::new(self.storage.create(&self.open)?, header)?;
        writer.add(0, batch)?;
        self.writer = Some(writer);
        Ok(removed)
    }

    fn add(&mut self, batch: Batch) -> Result<(), Error> {
        match &mut self.writer {
            Some(writer) => writer.add(0, batch),
            None => Err(Error::Other("no segment is open".into())),
        }
    }

    fn end(&mut self) -> Result<(), Error> {
        self.writer.take().map_or(Ok(()), |writer| writer.finish().map(|_| ()))
    }

    /// Removes the oldest segments of the aggregator while all together are too long. One that is written to, by
    /// this or another process, stays.
    fn make_room(&mut self, aggregator: &str) -> Result<Vec<String>, Error> {
        let mut files: Vec<_> = self.storage.list()?;
        files.retain(|(name, _, _)| parts(name).is_some_and(|(of, _)| of == plain(aggregator)));
        files.sort_by_key(|(name, _, _)| parts(name).map(|(_, order)| order));
        let mut total: u64 = files.iter().map(|(_, length, _)| length).sum();
        let mut removed = Vec::new();
        for (name, length, lately) in files {
            if total <= self.most {
                break;
            }
            if !lately {
                self.storage.remove(&name)?;
                total -= length;
                removed.push(name);
            }
        }
        Ok(removed)
    }
}

/// The name of a segment's file: aggregator, time of its beginning, process, number.
pub fn name(aggregator: &str, began: f64, process: u32, segment: u64) -> String {
    format!("{}~{:013}~{process}~{segment:06}{ENDING}", plain(aggregator), began.max(0.0) as u64)
}

fn plain(aggregator: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') { c } else { '_' };
    aggregator.chars().map(plain).collect()
}

/// The aggregator and the order of a segment's file, by its name.
fn parts(name: &str) -> Option<(&str, (u64, u64, u64))> {
    let mut words = name.strip_suffix(ENDING)?.rsplit('~');
    let mut number = || words.next()?.parse().ok();
    let (segment, process, began) = (number()?, number()?, number()?);
    Some((words.next()?, (began, process, segment)))
}
