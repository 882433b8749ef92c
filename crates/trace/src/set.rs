//! Sets of segments that are read as one trace. The segments may come from one process, from several processes of an
//! aggregator, or from several aggregators.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use crate::block::Block;
use crate::file::{Reader, Source};
use crate::keep::EXTENSION;
use crate::record::Entry;
use crate::Error;

/// A segment of a set.
pub struct Segment {
    /// The path of its file.
    pub path: PathBuf,
    /// The reader of its file.
    pub reader: Reader<BufReader<File>>,
    /// For each of its sources, the index in [`Set::sources`].
    sources: Vec<usize>,
}

/// A set of segments that is read as one trace.
pub struct Set {
    /// The segments, sorted by the time of their first block.
    pub segments: Vec<Segment>,
    /// The processes whose entries they hold, without duplicates.
    pub sources: Vec<Source>,
    /// Problems met in opening and reading, each with the path of the file.
    pub troubles: Vec<(PathBuf, String)>,
    /// The progress callback, if any.
    pub progress: Option<Progress>,
}

/// A progress callback. Its arguments are the number of blocks read so far and the total number of blocks.
pub type Progress = Box<dyn FnMut(usize, usize)>;

/// The location of a block in a set.
#[derive(Debug, Clone, Copy, PartialEq)]
struct BlockRef {
    segment: usize,
    block: usize,
    first: f64,
}

/// An item that [`Set::each`] and [`Set::blockwise`] pass to their callback.
pub enum Item<'a> {
    /// An entry, with the index of its source and its block.
    Entry(usize, &'a Block, &'a Entry),
    /// A block of a source that could not be read, so that entries of this source are missing here.
    Gap(usize),
}

impl Set {
    /// Opens the given files, and all segments in the given directories.
    ///
    /// # Errors
    /// If a given file cannot be opened as a segment, or no segment is found. A file in a directory that cannot be
    /// opened is only added to [`Set::troubles`].
    pub fn open(paths: &[PathBuf]) -> Result<Self, Error> {
        let mut set = Set { segments: Vec::new(), sources: Vec::new(), troubles: Vec::new(), progress: None };
        for path in paths {
            if path.is_dir() {
                let mut files: Vec<PathBuf> =
                    std::fs::read_dir(path)?.filter_map(|entry| Some(entry.ok()?.path())).collect();
                files.retain(|file| file.to_string_lossy().ends_with(EXTENSION));
                files.sort();
                for file in files {
                    if let Err(error) = set.add(&file) {
                        set.troubles.push((file, error.to_string()));
                    }
                }
            } else {
                set.add(path).map_err(|error| Error::Other(format!("{}: {error}", path.display())))?;
            }
        }
        if set.segments.is_empty() {
            let why = set
                .troubles
                .first()
                .map_or(String::new(), |(path, why)| format!(" ({}: {why})", path.display()));
            return Err(Error::Other(format!("no trace segment was found{why}")));
        }
        let first = |segment: &Segment| segment.reader.blocks().first().map_or(0.0, |block| block.first);
        set.segments.sort_by(|a, b| first(a).total_cmp(&first(b)));
        Ok(set)
    }

    fn add(&mut self, path: &Path) -> Result<(), Error> {
        let reader = Reader::open(BufReader::new(File::open(path)?))?;
        for damage in reader.damage() {
            let why = format!("{} bytes at offset {} contain no intact block", damage.length, damage.at);
            self.troubles.push((path.into(), why));
        }
        if !reader.is_complete() {
            self.troubles.push((path.into(), "it has no index: the recording was not closed".into()));
        }
        // The sources of a file without a readable header are unknown; it is treated as a process of its own.
        let unknown =
            || vec![Source { aggregator: format!("unknown: {}", path.display()), ..Source::default() }];
        let known = reader.header().map_or_else(unknown, |header| header.sources.clone());
        let sources = known.into_iter().map(|source| self.add_source(source)).collect();
        self.segments.push(Segment { path: path.into(), reader, sources });
        Ok(())
    }

    fn add_source(&mut self, source: Source) -> usize {
        if let Some(at) = self.sources.iter().position(|known| known.is_same_process(&source)) {
            return at;
        }
        self.sources.push(source);
        self.sources.len() - 1
    }

    /// Returns the index in [`Set::sources`] of a source of a segment.
    fn source_index(&self, segment: usize, source: u16) -> usize {
        self.segments[segment].sources.get(usize::from(source)).copied().unwrap_or(0)
    }

    /// Returns the earliest and the latest time of any entry, or `None` if there are no entries.
    pub fn span(&self) -> Option<(f64, f64)> {
        let blocks = || self.segments.iter().flat_map(|segment| segment.reader.blocks());
        let first = blocks().map(|block| block.first).reduce(f64::min)?;
        Some((first, blocks().map(|block| block.last).fold(first, f64::max)))
    }

    fn report_progress(&mut self, read: usize, all: usize) {
        if let Some(progress) = &mut self.progress {
            progress(read, all);
        }
    }

    fn read_block(&mut self, at: BlockRef) -> Option<Block> {
        match self.segments[at.segment].reader.block(at.block) {
            Ok(block) => Some(block),
            Err(error) => {
                let path = self.segments[at.segment].path.clone();
                self.troubles.push((path, format!("block {}: {error}", at.block)));
                None
            }
        }
    }

    fn blocks(&self, select: impl Fn(&crate::index::BlockLocation) -> bool) -> Vec<BlockRef> {
        let mut all = Vec::new();
        for (segment, opened) in self.segments.iter().enumerate() {
            for (block, at) in opened.reader.blocks().iter().enumerate().filter(|(_, at)| select(at)) {
                all.push(BlockRef { segment, block, first: at.first });
            }
        }
        all.sort_by(|a, b| a.first.total_cmp(&b.first));
        all
    }

    /// Visits the entries of all blocks that overlap a time span, block by block. Entries of one source are visited
    /// in order; those of different sources are not ordered relative to each other.
    pub fn blockwise(&mut self, span: (f64, f64), mut visit: impl FnMut(Item)) {
        let all = self.blocks(|block| block.last >= span.0 && block.first <= span.1);
        for (no, at) in all.iter().copied().enumerate() {
            self.report_progress(no + 1, all.len());
            let source =
                self.source_index(at.segment, self.segments[at.segment].reader.blocks()[at.block].source);
            match self.read_block(at) {
                Some(block) => {
                    block.entries.iter().for_each(|entry| visit(Item::Entry(source, &block, entry)))
                }
                None => visit(Item::Gap(source)),
            }
        }
    }

    /// Visits the entries of all blocks that overlap a time span in the order of their times, and those of one source
    /// in the order in which they were recorded.
    pub fn each(&mut self, span: (f64, f64), mut visit: impl FnMut(Item)) {
        let all = self.blocks(|block| block.last >= span.0 && block.first <= span.1);
        let (count, mut read) = (all.len(), 0);
        let mut upcoming = all.into_iter().peekable();
        // The open blocks, oldest first, each with the index of its source and of its next entry.
        let mut open: Vec<(Block, usize, usize)> = Vec::new();
        loop {
            // Only the oldest open block of each source is considered.
            let next = |open: &[(Block, usize, usize)]| {
                let mut best: Option<(usize, f64)> = None;
                for (place, (block, source, entry)) in open.iter().enumerate() {
                    let is_oldest = open[..place].iter().all(|(_, other, _)| other != source);
                    let at = block.entries[*entry].at;
                    if is_oldest && best.is_none_or(|(_, least)| at < least) {
                        best = Some((place, at));
                    }
                }
                best
            };
            let best = next(&open);
            if let Some(at) = upcoming.next_if(|at| best.is_none_or(|(_, time)| at.first <= time)) {
                read += 1;
                self.report_progress(read, count);
                let source =
                    self.source_index(at.segment, self.segments[at.segment].reader.blocks()[at.block].source);
                match self.read_block(at) {
                    Some(block) if !block.entries.is_empty() => open.push((block, source, 0)),
                    Some(_) => {}
                    None => visit(Item::Gap(source)),
                }
                continue;
            }
            let Some((place, _)) = best else { break };
            let (block, source, entry) = &mut open[place];
            visit(Item::Entry(*source, block, &block.entries[*entry]));
            *entry += 1;
            if *entry == block.entries.len() {
                open.remove(place);
            }
        }
    }

    /// Visits all entries of the blocks that may contain entries of a query, in the order in which they were recorded.
    ///
    /// # Errors
    /// If a reader fails.
    pub fn visit_query(
        &mut self,
        source: usize,
        query: u64,
        mut visit: impl FnMut(&Block, &Entry),
    ) -> Result<(), Error> {
        for segment in 0..self.segments.len() {
            let sources = self.segments[segment].sources.clone();
            for (local, _) in sources.iter().enumerate().filter(|(_, index)| **index == source) {
                let range = self.segments[segment].reader.blocks_of_query(local as u16, query)?;
                for block in range {
                    if usize::from(self.segments[segment].reader.blocks()[block].source) != local {
                        continue;
                    }
                    if let Some(block) = self.read_block(BlockRef { segment, block, first: 0.0 }) {
                        block.entries.iter().for_each(|entry| visit(&block, entry));
                    }
                }
            }
        }
        Ok(())
    }

    /// Finds queries by client id, or else by number, written `qN` or `N`. Returns them as source index and number.
    ///
    /// # Errors
    /// If a reader fails.
    pub fn find(&mut self, name: &str) -> Result<Vec<(usize, u64)>, Error> {
        let mut found = Vec::new();
        for segment in 0..self.segments.len() {
            for (source, query) in self.segments[segment].reader.queries_by_client_id(name)? {
                found.push((self.source_index(segment, source), query));
            }
        }
        if let Some(number) = name.strip_prefix('q').unwrap_or(name).parse().ok().filter(|_| found.is_empty())
        {
            for segment in 0..self.segments.len() {
                for source in 0..self.segments[segment].sources.len() {
                    if !self.segments[segment].reader.blocks_of_query(source as u16, number)?.is_empty() {
                        found.push((self.segments[segment].sources[source], number));
                    }
                }
            }
        }
        found.sort_unstable();
        found.dedup();
        Ok(found)
    }
}
