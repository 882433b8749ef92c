//! Segments: files of blocks with a header before them and an index behind them.

use std::io::{Read, Seek, SeekFrom, Write};

use serde::{Deserialize, Serialize};
use zstd::bulk::Compressor;

use crate::block::{self, Batch, Block, Head};
use crate::index::{BlockAt, Building, Index};
use crate::{Error, VERSION};

/// The first bytes of a segment.
pub const MAGIC: [u8; 8] = *b"\x89IPTRC\r\n";
/// What stands before the header's body: magic, version, the body's length and checksum.
const HEAD: usize = 20;
/// The longest header that is believed, in bytes.
const MOST_HEADER: u32 = 16 << 20;

/// A process whose entries a segment holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Source {
    /// The aggregator's name.
    pub aggregator: String,
    /// When the process started, in Unix milliseconds: it tells processes of one name apart.
    pub started: u64,
    /// The process's number on its machine, which does the same where two start at once.
    pub process: u32,
    /// The source of chance it was given.
    pub seed: u64,
    /// The program's version.
    pub program: String,
    /// The settings object in force when the segment was begun, as JSON.
    pub settings: String,
}

impl Source {
    /// Whether both are one process.
    pub fn is(&self, other: &Source) -> bool {
        (&self.aggregator, self.started, self.process) == (&other.aggregator, other.started, other.process)
    }
}

/// What a segment says of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Its processes: one as recorded, more after a merge.
    pub sources: Vec<Source>,
    /// Its number among those of its process.
    pub segment: u64,
}

/// Writes a segment.
pub struct Writer<W> {
    out: W,
    at: u64,
    index: Building,
    zstd: Compressor<'static>,
}

impl<W: Write> Writer<W> {
    /// Begins a segment.
    ///
    /// # Errors
    /// If the writer fails.
    pub fn new(mut out: W, header: &Header) -> Result<Self, Error> {
        let body = postcard::to_stdvec(header)?;
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&u32::from(VERSION).to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        out.write_all(&bytes)?;
        let (at, index) = (bytes.len() as u64, Building::default());
        Ok(Writer { out, at, index, zstd: block::compressor()? })
    }

    /// Adds a block of a source, if there is anything in it.
    ///
    /// # Errors
    /// If the writer fails. What is in the file by then may end in half a block, which readers pass over.
    pub fn add(&mut self, source: u16, mut batch: Batch) -> Result<(), Error> {
        if batch.records() == 0 {
            return Ok(());
        }
        let (head, bytes) = batch.seal(source, &mut self.zstd)?;
        self.out.write_all(&bytes)?;
        let (queries, called) = batch.about();
        self.index.add(BlockAt::new(self.at, &head), &queries, &called);
        self.at += bytes.len() as u64;
        Ok(())
    }

    /// The file's length so far, in bytes.
    pub fn size(&self) -> u64 {
        self.at
    }

    /// Ends the segment by its index; gives the writer back.
    ///
    /// # Errors
    /// If the writer fails.
    pub fn finish(mut self) -> Result<W, Error> {
        self.at += self.index.write(self.at, &mut self.out)?;
        self.out.flush()?;
        Ok(self.out)
    }
}

/// A stretch of a file that holds no sound block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Damage {
    /// Where it begins, in bytes.
    pub at: u64,
    /// How long it is, in bytes.
    pub length: u64,
}

/// Reads a segment.
pub struct Reader<R> {
    file: R,
    header: Option<Header>,
    blocks: Vec<BlockAt>,
    index: Option<Index>,
    damage: Vec<Damage>,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a segment. By its index if it has one; else by looking through all of it, as after a crash.
    ///
    /// # Errors
    /// If the reader fails, or the file is no trace or of a version that is not known.
    pub fn open(mut file: R) -> Result<Self, Error> {
        let (header, body) = read_header(&mut file)?;
        let index = if header.is_some() { Index::read(&mut file)? } else { None };
        let mut reader = Reader { file, header, blocks: Vec::new(), index, damage: Vec::new() };
        match &mut reader.index {
            Some(index) => reader.blocks = std::mem::take(&mut index.blocks),
            None => reader.scan(body)?,
        }
        if reader.header.is_none() && reader.blocks.is_empty() {
            return Err(Error::NoTrace);
        }
        Ok(reader)
    }

    /// Finds the sound blocks behind some place.
    fn scan(&mut self, from: u64) -> Result<(), Error> {
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(from))?;
        self.file.read_to_end(&mut bytes)?;
        // All before `at` is told of.
        let (mut at, mut look) = (0, 0);
        while let Some(found) = find(&bytes, look) {
            let head = Head::read(&bytes[found..]);
            let payload =
                |head: &Head| bytes.get(found + block::HEAD..found + block::HEAD + head.stored as usize);
            match head.as_ref().and_then(payload).zip(head) {
                Some((stored, head)) if Block::is_sound(&head, stored) => {
                    self.gap(from, at, found);
                    let block = BlockAt::new(from + found as u64, &head);
                    at = found + block.length as usize;
                    look = at;
                    self.blocks.push(block);
                }
                _ => look = found + 1,
            }
        }
        self.gap(from, at, bytes.len());
        Ok(())
    }

    fn gap(&mut self, from: u64, at: usize, end: usize) {
        if at < end {
            self.damage.push(Damage { at: from + at as u64, length: (end - at) as u64 });
        }
    }

    /// What the segment says of itself, if that can be read.
    pub fn header(&self) -> Option<&Header> {
        self.header.as_ref()
    }

    /// Its sound blocks, as far as their heads tell.
    pub fn blocks(&self) -> &[BlockAt] {
        &self.blocks
    }

    /// Whether it was ended in order and its index is there.
    pub fn is_complete(&self) -> bool {
        self.index.is_some()
    }

    /// What could not be read. Where there is an index, damage shows only as blocks are read.
    pub fn damage(&self) -> &[Damage] {
        &self.damage
    }

    /// Whether the index is the one that was written; `None` if there is none.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn index_is_sound(&mut self) -> Result<Option<bool>, Error> {
        self.index.as_ref().map(|index| index.is_sound(&mut self.file)).transpose()
    }

    /// Reads a block by its place among [`Reader::blocks`].
    ///
    /// # Errors
    /// If the reader fails or the block is damaged.
    pub fn block(&mut self, no: usize) -> Result<Block, Error> {
        let at = *self.blocks.get(no).ok_or(Error::Damaged)?;
        let mut bytes = vec![0; at.length as usize];
        self.file.seek(SeekFrom::Start(at.offset))?;
        self.file.read_exact(&mut bytes)?;
        let head = Head::read(&bytes).ok_or(Error::Damaged)?;
        Block::open(&head, bytes.get(block::HEAD..).unwrap_or_default())
    }

    /// The blocks among which all entries about a query are, by its source and number; all blocks where there is
    /// no index.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn about(&mut self, source: u16, query: u64) -> Result<std::ops::Range<usize>, Error> {
        match &self.index {
            Some(index) => {
                let found = index.query(&mut self.file, crate::index::key(source, query))?;
                Ok(found.map_or(0..0, |(first, last)| first as usize..last as usize + 1))
            }
            None => Ok(0..self.blocks.len()),
        }
    }

    /// The queries, by source and number, that are called so by their clients.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn called(&mut self, name: &str) -> Result<Vec<(u16, u64)>, Error> {
        let Some(index) = &self.index else { return self.look_for(name) };
        let found = index.called(&mut self.file, name)?;
        Ok(found.into_iter().map(|key| ((key >> 48) as u16, key & ((1 << 48) - 1))).collect())
    }

    /// The same without an index: through all blocks.
    fn look_for(&mut self, name: &str) -> Result<Vec<(u16, u64)>, Error> {
        let mut found = Vec::new();
        for no in 0..self.blocks.len() {
            let Ok(block) = self.block(no) else { continue };
            for entry in &block.entries {
                if let crate::record::Record::Taken(taken) = &entry.record {
                    if block.text(taken.name) == name {
                        found.push((block.source, taken.query));
                    }
                }
            }
        }
        Ok(found)
    }
}

fn find(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(block::MAGIC.len()).position(|window| window == block::MAGIC).map(|at| from + at)
}

/// The header, if it is sound, and where what follows it begins.
fn read_header(file: &mut (impl Read + Seek)) -> Result<(Option<Header>, u64), Error> {
    let length = file.seek(SeekFrom::End(0))?;
    file.seek(SeekFrom::Start(0))?;
    let mut head = [0; HEAD];
    if length < HEAD as u64 {
        return Err(Error::NoTrace);
    }
    file.read_exact(&mut head)?;
    let word = |at: usize| head[at..at + 4].try_into().map(u32::from_le_bytes).unwrap_or(0);
    let (version, size, crc) = (word(8), word(12), word(16));
    if head[..8] != MAGIC || size > MOST_HEADER || u64::from(size) + HEAD as u64 > length {
        // Damaged, or cut short within the header; blocks speak for themselves.
        return Ok((None, 0));
    }
    let mut body = vec![0; size as usize];
    file.read_exact(&mut body)?;
    if crc32fast::hash(&body) != crc {
        return Ok((None, 0));
    }
    match u8::try_from(version) {
        Ok(1..=VERSION) => Ok((Some(postcard::from_bytes(&body)?), (HEAD + body.len()) as u64)),
        Ok(other) => Err(Error::Version(other)),
        Err(_) => Ok((None, 0)),
    }
}
