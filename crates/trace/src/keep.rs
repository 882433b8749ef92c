//! Storage of a recording: creates and finishes segments, removes old ones, and continues after I/O errors.
//!
//! A [`Keeper`] executes jobs on a [`Storage`]. After an error it can always start a new segment. It reports the number
//! of lost records, so that a later segment can record the loss.

use std::io::{self, Write};

use crate::block::Batch;
use crate::file::{Header, Writer};
use crate::Error;

/// The file name extension of segments.
pub const EXTENSION: &str = ".iptrace";

/// The directory of segment files.
pub trait Storage {
    /// A file that is open for writing.
    type File: Write;

    /// Creates a file.
    ///
    /// # Errors
    /// If the file cannot be created.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Lists the files: name, length in bytes, and whether the file was written to recently.
    ///
    /// # Errors
    /// If the files cannot be listed.
    fn list(&mut self) -> io::Result<Vec<(String, u64, bool)>>;

    /// Removes a file.
    ///
    /// # Errors
    /// If the file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A job for a [`Keeper`].
pub enum Job {
    /// Finish the current segment, if any, and create a new one with this header and first batch.
    Open(Box<Header>, Batch),
    /// Append a batch to the current segment.
    Add(Batch),
    /// Finish the current segment.
    Close,
}

/// The result of a job.
#[derive(Debug, PartialEq, Eq)]
pub enum Done {
    /// The job succeeded.
    Kept {
        /// The names of the files that were removed to stay within the size limit.
        removed: Vec<String>,
    },
    /// The job failed. A new segment must be opened before anything else can be stored.
    Lost {
        /// The number of records that were lost.
        records: u64,
        /// The error message.
        why: String,
    },
}

/// Writes the segments of an aggregator and limits their total size.
pub struct Keeper<S: Storage> {
    storage: S,
    max_bytes: u64,
    writer: Option<Writer<S::File>>,
    file_name: String,
}

impl<S: Storage> Keeper<S> {
    /// Creates a keeper that limits the segments of one aggregator to `max_bytes` bytes in total.
    pub fn new(storage: S, max_bytes: u64) -> Self {
        Keeper { storage, max_bytes, writer: None, file_name: String::new() }
    }

    /// Returns the length of the open segment, in bytes, if there is one.
    pub fn size(&self) -> Option<u64> {
        self.writer.as_ref().map(Writer::size)
    }

    /// Returns the file name of the open segment, or else of the last one.
    pub fn name(&self) -> &str {
        &self.file_name
    }

    /// Executes a job.
    pub fn take(&mut self, job: Job) -> Done {
        let records = match &job {
            Job::Open(_, batch) | Job::Add(batch) => u64::from(batch.records()),
            Job::Close => 0,
        };
        let done = match job {
            Job::Open(header, batch) => self.open_segment(&header, batch),
            Job::Add(batch) => self.add(batch).map(|()| Vec::new()),
            Job::Close => self.finish_segment().map(|()| Vec::new()),
        };
        match done {
            Ok(removed) => Done::Kept { removed },
            Err(why) => {
                // The segment may now end in an incomplete block, so nothing may be appended to it.
                self.writer = None;
                Done::Lost { records, why: why.to_string() }
            }
        }
    }

    fn open_segment(&mut self, header: &Header, batch: Batch) -> Result<Vec<String>, Error> {
        // A failure to finish the previous segment is ignored: readers can read it without its index.
        let _ = self.finish_segment();
        let source = header.sources.first().ok_or(Error::Damaged)?;
        self.file_name = name(&source.aggregator, batch.first(), source.process, header.segment);
        let removed = self.make_room(&source.aggregator)?;
        let mut writer = Writer::new(self.storage.create(&self.file_name)?, header)?;
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

    fn finish_segment(&mut self) -> Result<(), Error> {
        self.writer.take().map_or(Ok(()), |writer| writer.finish().map(|_| ()))
    }

    /// Removes the oldest segments of the aggregator until their total size is within the limit. A segment that is
    /// still written to, by this or another process, is not removed.
    fn make_room(&mut self, aggregator: &str) -> Result<Vec<String>, Error> {
        let mut files: Vec<_> = self.storage.list()?;
        files.retain(|(name, _, _)| parse_name(name).is_some_and(|(of, _)| of == sanitize(aggregator)));
        files.sort_by_key(|(name, _, _)| parse_name(name).map(|(_, order)| order));
        let mut total: u64 = files.iter().map(|(_, length, _)| length).sum();
        let mut removed = Vec::new();
        for (name, length, is_recent) in files {
            if total <= self.max_bytes {
                break;
            }
            if !is_recent {
                self.storage.remove(&name)?;
                total -= length;
                removed.push(name);
            }
        }
        Ok(removed)
    }
}

/// Returns the file name of a segment: aggregator, start time, process id and segment number.
pub fn name(aggregator: &str, began: f64, process: u32, segment: u64) -> String {
    format!("{}~{:013}~{process}~{segment:06}{EXTENSION}", sanitize(aggregator), began.max(0.0) as u64)
}

fn sanitize(aggregator: &str) -> String {
    let replace = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') { c } else { '_' };
    aggregator.chars().map(replace).collect()
}

/// Parses the file name of a segment into the aggregator and the sort key (start time, process id, number).
fn parse_name(name: &str) -> Option<(&str, (u64, u64, u64))> {
    let mut words = name.strip_suffix(EXTENSION)?.rsplit('~');
    let mut number = || words.next()?.parse().ok();
    let (segment, process, began) = (number()?, number()?, number()?);
    Some((words.next()?, (began, process, segment)))
}
