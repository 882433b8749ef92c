//! Segment storage on a disk that fails, fills up, or exceeds the size limit.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Cursor, Write};
use std::rc::Rc;

use common::{checkpoint, query, source, BEGIN};
use ironpaddle_trace::block::Batch;
use ironpaddle_trace::file::{Header, Reader};
use ironpaddle_trace::keep::{name, Done, Job, Keeper, Storage};
use ironpaddle_trace::record::How;

/// An in-memory disk of limited capacity.
#[derive(Clone, Default)]
struct Disk(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    /// The names of the files that count as recently written.
    recent: Vec<String>,
    /// The free space, in bytes.
    free_space: usize,
    /// Whether creating a file fails.
    broken: bool,
}

struct Open(Disk, String);

impl Write for Open {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.0 .0.borrow_mut();
        // As much as fits is written, so a full disk leaves an incomplete block.
        let count = bytes.len().min(disk.free_space);
        disk.free_space -= count;
        disk.files.get_mut(&self.1).expect("the file exists").extend_from_slice(&bytes[..count]);
        if count == 0 && !bytes.is_empty() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Storage for Disk {
    type File = Open;

    fn create(&mut self, name: &str) -> io::Result<Open> {
        let mut disk = self.0.borrow_mut();
        if disk.broken {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        assert!(disk.files.insert(name.into(), Vec::new()).is_none(), "{name} already exists");
        Ok(Open(self.clone(), name.into()))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64, bool)>> {
        let disk = self.0.borrow();
        let row = |(name, bytes): (&String, &Vec<u8>)| {
            (name.clone(), bytes.len() as u64, disk.recent.contains(name))
        };
        Ok(disk.files.iter().map(row).collect())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let bytes = disk.files.remove(name).expect("the file exists");
        disk.free_space += bytes.len();
        Ok(())
    }
}

fn disk(free_space: usize) -> Disk {
    let disk = Disk::default();
    disk.0.borrow_mut().free_space = free_space;
    disk
}

fn open(segment: u64) -> Job {
    let mut batch = Batch::default();
    checkpoint(&mut batch, BEGIN + segment as f64 * 1000.0);
    Job::Open(Box::new(Header { sources: vec![source("n0")], segment }), batch)
}

fn add(at: f64, no: u64) -> Job {
    let mut batches = [Batch::default()];
    query(&mut batches, BEGIN + at, no, &format!("c{no}"), "vaal", How::Whole);
    let [batch] = batches;
    Job::Add(batch)
}

fn kept() -> Done {
    Done::Kept { removed: Vec::new() }
}

/// Returns the number of readable entries in each file, in the order of the file names.
fn entries(disk: &Disk) -> Vec<usize> {
    let count = |bytes: &Vec<u8>| {
        let Ok(mut reader) = Reader::open(Cursor::new(bytes.as_slice())) else { return 0 };
        (0..reader.blocks().len()).map(|no| reader.block(no).unwrap().entries.len()).sum()
    };
    disk.0.borrow().files.values().map(count).collect()
}

#[test]
fn a_full_disk_loses_only_what_did_not_fit() {
    for free_space in 1..1200 {
        let disk = disk(free_space);
        let mut keeper = Keeper::new(disk.clone(), u64::MAX);
        let (mut kept_records, mut lost) = (0, 0);
        for job in [open(0), add(10.0, 1), add(20.0, 2), Job::Close] {
            let records = match &job {
                Job::Open(_, batch) | Job::Add(batch) => u64::from(batch.records()),
                Job::Close => 0,
            };
            match keeper.take(job) {
                Done::Kept { .. } => kept_records += records,
                Done::Lost { records, .. } => lost += records,
            }
        }
        assert_eq!(
            (kept_records + lost, entries(&disk).iter().sum::<usize>() as u64),
            (11, kept_records),
            "{free_space}"
        );
        // Once there is free space again, the next segment is complete, whatever the state of the previous one.
        disk.0.borrow_mut().free_space = 1 << 20;
        assert_eq!(keeper.take(open(1)), kept());
        assert_eq!((keeper.take(add(1010.0, 3)), keeper.take(Job::Close)), (kept(), kept()));
        assert_eq!(entries(&disk).last(), Some(&6));
    }
}

#[test]
fn nothing_is_appended_after_an_incomplete_block() {
    let disk = disk(1 << 20);
    let mut keeper = Keeper::new(disk.clone(), u64::MAX);
    keeper.take(open(0));
    disk.0.borrow_mut().free_space = 40;
    assert!(matches!(keeper.take(add(10.0, 1)), Done::Lost { records: 5, .. }));
    disk.0.borrow_mut().free_space = 1 << 20;
    assert!(
        matches!(keeper.take(add(20.0, 2)), Done::Lost { records: 5, .. }),
        "a new segment must be opened first"
    );
    disk.0.borrow_mut().broken = true;
    assert!(matches!(keeper.take(open(1)), Done::Lost { records: 1, .. }));
    disk.0.borrow_mut().broken = false;
    assert_eq!(keeper.take(open(1)), kept());
    assert_eq!(entries(&disk), [1, 1]);
}

#[test]
fn only_own_segments_that_are_not_being_written_are_removed_oldest_first() {
    let disk = disk(1 << 20);
    // One file of another aggregator whose name has the same prefix, and one that another process of this aggregator
    // is writing.
    let other = name("n0.b", 1.0, 1, 0);
    let recent = name("n0", 2.0, 9, 0);
    for name in [&other, &recent, &"notes.txt".to_string()] {
        disk.0.borrow_mut().files.insert(name.clone(), vec![0; 4000]);
    }
    disk.0.borrow_mut().recent.push(recent.clone());
    let mut keeper = Keeper::new(disk.clone(), 6000);
    let mut removed = Vec::new();
    for segment in 0..12 {
        let Done::Kept { removed: names } = keeper.take(open(segment)) else { panic!("kept") };
        removed.extend(names);
        keeper.take(add(segment as f64 * 1000.0 + 10.0, segment));
    }
    assert!(
        !removed.is_empty() && removed.windows(2).all(|pair| pair[0] < pair[1]),
        "oldest first: {removed:?}"
    );
    let files = disk.0.borrow().files.clone();
    assert!(
        [&other, &recent].iter().all(|name| files.contains_key(*name)) && files.contains_key("notes.txt")
    );
    assert!(files.contains_key(keeper.name()));
    let own: usize =
        files.iter().filter(|(name, _)| name.starts_with("n0~")).map(|(_, bytes)| bytes.len()).sum();
    assert!(own < 6000 + 2000, "{own}");
}
