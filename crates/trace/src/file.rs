//! Segment files: a header, a sequence of blocks, and an index.

use std::io::{Read, Seek, SeekFrom, Write};

use serde::{Deserialize, Serialize};
use zstd::bulk::Compressor;

use crate::block::{self, Batch, Block, BlockHeader};
use crate::index::{BlockLocation, Index, IndexBuilder};
use crate::{Error, VERSION};

/// The first bytes of a segment.
pub const MAGIC: [u8; 8] = *b"\x89IPTRC\r\n";
/// The length of the fixed part before the header's body, in bytes: magic, version, length and checksum of the body.
const FIXED_HEADER_BYTES: usize = 20;
/// The maximum accepted length of a header's body, in bytes. A greater length is treated as damage.
const MAX_HEADER_BYTES: u32 = 16 << 20;

/// A process whose entries are in a segment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Source {
    /// The aggregator's name.
    pub aggregator: String,
    /// The start time of the process, in Unix milliseconds. It distinguishes processes of the same aggregator.
    pub started: u64,
    /// The process id. It distinguishes processes that started at the same time.
    pub process: u32,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The program version.
    pub program: String,
    /// The settings object in force when the segment was created, as JSON.
    pub settings: String,
}

impl Source {
    /// Returns whether both are the same process.
    pub fn is_same_process(&self, other: &Source) -> bool {
        (&self.aggregator, self.started, self.process) == (&other.aggregator, other.started, other.process)
    }
}

/// The header of a segment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The processes whose entries it holds: one in a recording, several after a merge.
    pub sources: Vec<Source>,
    /// The sequence number of the segment within its process.
    pub segment: u64,
}

/// A writer of a segment.
pub struct Writer<W> {
    out: W,
    at: u64,
    index: IndexBuilder,
    zstd: Compressor<'static>,
}

impl<W: Write> Writer<W> {
    /// Creates a segment and writes its header.
    ///
    /// # Errors
    /// If the underlying writer fails.
    pub fn new(mut out: W, header: &Header) -> Result<Self, Error> {
        let body = postcard::to_stdvec(header)?;
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&u32::from(VERSION).to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        out.write_all(&bytes)?;
        let (at, index) = (bytes.len() as u64, IndexBuilder::default());
        Ok(Writer { out, at, index, zstd: block::compressor()? })
    }

    /// Appends a block of entries of `source`. An empty batch is ignored.
    ///
    /// # Errors
    /// If the underlying writer fails. The file may then end in an incomplete block, which readers skip.
    pub fn add(&mut self, source: u16, mut batch: Batch) -> Result<(), Error> {
        if batch.records() == 0 {
            return Ok(());
        }
        let (head, bytes) = batch.encode(source, &mut self.zstd)?;
        self.out.write_all(&bytes)?;
        let (queries, client_ids) = batch.take_index_entries();
        self.index.add(BlockLocation::new(self.at, &head), &queries, &client_ids);
        self.at += bytes.len() as u64;
        Ok(())
    }

    /// Returns the length of the file so far, in bytes.
    pub fn size(&self) -> u64 {
        self.at
    }

    /// Writes the index and returns the underlying writer.
    ///
    /// # Errors
    /// If the underlying writer fails.
    pub fn finish(mut self) -> Result<W, Error> {
        self.at += self.index.write(self.at, &mut self.out)?;
        self.out.flush()?;
        Ok(self.out)
    }
}

/// A byte range of a file that contains no intact block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Damage {
    /// Its offset, in bytes.
    pub at: u64,
    /// Its length, in bytes.
    pub length: u64,
}

/// A reader of a segment.
pub struct Reader<R> {
    file: R,
    header: Option<Header>,
    blocks: Vec<BlockLocation>,
    index: Option<Index>,
    damage: Vec<Damage>,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a segment. Uses the index if there is one; otherwise, as after a crash, scans the whole file for blocks.
    ///
    /// # Errors
    /// If the underlying reader fails, the file is not a trace, or its version is not supported.
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

    /// Scans the file from an offset for intact blocks.
    fn scan(&mut self, from: u64) -> Result<(), Error> {
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(from))?;
        self.file.read_to_end(&mut bytes)?;
        // Everything before `at` is already reported, as a block or as damage.
        let (mut at, mut search_from) = (0, 0);
        while let Some(found) = find_block_magic(&bytes, search_from) {
            let head = BlockHeader::read(&bytes[found..]);
            let payload = |head: &BlockHeader| {
                bytes.get(found + block::HEADER_BYTES..found + block::HEADER_BYTES + head.stored as usize)
            };
            match head.as_ref().and_then(payload).zip(head) {
                Some((stored, head)) if Block::matches_checksum(&head, stored) => {
                    self.add_damage(from, at, found);
                    let block = BlockLocation::new(from + found as u64, &head);
                    at = found + block.length as usize;
                    search_from = at;
                    self.blocks.push(block);
                }
                _ => search_from = found + 1,
            }
        }
        self.add_damage(from, at, bytes.len());
        Ok(())
    }

    fn add_damage(&mut self, from: u64, at: usize, end: usize) {
        if at < end {
            self.damage.push(Damage { at: from + at as u64, length: (end - at) as u64 });
        }
    }

    /// Returns the header, if it is intact.
    pub fn header(&self) -> Option<&Header> {
        self.header.as_ref()
    }

    /// Returns the locations of the blocks. With an index, their payloads have not been checked yet.
    pub fn blocks(&self) -> &[BlockLocation] {
        &self.blocks
    }

    /// Returns whether the segment was finished, that is, whether it has an index.
    pub fn is_complete(&self) -> bool {
        self.index.is_some()
    }

    /// Returns the damaged ranges found by the scan. With an index, damage is found only when blocks are read.
    pub fn damage(&self) -> &[Damage] {
        &self.damage
    }

    /// Verifies the checksums of the index. Returns `None` if there is no index.
    ///
    /// # Errors
    /// If the underlying reader fails.
    pub fn index_is_sound(&mut self) -> Result<Option<bool>, Error> {
        self.index.as_ref().map(|index| index.is_sound(&mut self.file)).transpose()
    }

    /// Reads a block by its index in [`Reader::blocks`].
    ///
    /// # Errors
    /// If the underlying reader fails or the block is damaged.
    pub fn block(&mut self, no: usize) -> Result<Block, Error> {
        let at = *self.blocks.get(no).ok_or(Error::Damaged)?;
        let mut bytes = vec![0; at.length as usize];
        self.file.seek(SeekFrom::Start(at.offset))?;
        self.file.read_exact(&mut bytes)?;
        let head = BlockHeader::read(&bytes).ok_or(Error::Damaged)?;
        Block::decode(&head, bytes.get(block::HEADER_BYTES..).unwrap_or_default())
    }

    /// Returns the range of blocks that contains all entries of a query, given by source and number. Without an
    /// index, returns all blocks.
    ///
    /// # Errors
    /// If the underlying reader fails.
    pub fn blocks_of_query(&mut self, source: u16, query: u64) -> Result<std::ops::Range<usize>, Error> {
        match &self.index {
            Some(index) => {
                let found = index.blocks_of_query(&mut self.file, crate::index::query_key(source, query))?;
                Ok(found.map_or(0..0, |(first, last)| first as usize..last as usize + 1))
            }
            None => Ok(0..self.blocks.len()),
        }
    }

    /// Returns the queries with the given client id, as source and number.
    ///
    /// # Errors
    /// If the underlying reader fails.
    pub fn queries_by_client_id(&mut self, name: &str) -> Result<Vec<(u16, u64)>, Error> {
        let Some(index) = &self.index else { return self.queries_by_client_id_without_index(name) };
        let found = index.queries_by_client_id(&mut self.file, name)?;
        Ok(found.into_iter().map(|key| ((key >> 48) as u16, key & ((1 << 48) - 1))).collect())
    }

    /// Implements [`Reader::queries_by_client_id`] without an index, by reading all blocks.
    fn queries_by_client_id_without_index(&mut self, name: &str) -> Result<Vec<(u16, u64)>, Error> {
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

fn find_block_magic(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(block::MAGIC.len()).position(|window| window == block::MAGIC).map(|at| from + at)
}

/// Reads the header. Returns it if it is intact, and the offset from which to scan for blocks.
fn read_header(file: &mut (impl Read + Seek)) -> Result<(Option<Header>, u64), Error> {
    let length = file.seek(SeekFrom::End(0))?;
    file.seek(SeekFrom::Start(0))?;
    let mut fixed = [0; FIXED_HEADER_BYTES];
    if length < FIXED_HEADER_BYTES as u64 {
        return Err(Error::NoTrace);
    }
    file.read_exact(&mut fixed)?;
    let u32_at = |at: usize| fixed[at..at + 4].try_into().map(u32::from_le_bytes).unwrap_or(0);
    let (version, size, crc) = (u32_at(8), u32_at(12), u32_at(16));
    if fixed[..8] != MAGIC || size > MAX_HEADER_BYTES || u64::from(size) + FIXED_HEADER_BYTES as u64 > length
    {
        // The header is damaged or truncated; intact blocks can still be found by their own headers.
        return Ok((None, 0));
    }
    let mut body = vec![0; size as usize];
    file.read_exact(&mut body)?;
    if crc32fast::hash(&body) != crc {
        return Ok((None, 0));
    }
    match u8::try_from(version) {
        Ok(1..=VERSION) => Ok((Some(postcard::from_bytes(&body)?), (FIXED_HEADER_BYTES + body.len()) as u64)),
        Ok(other) => Err(Error::Version(other)),
        Err(_) => Ok((None, 0)),
    }
}
