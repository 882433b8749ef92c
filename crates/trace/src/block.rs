//! Blocks: batches of entries with the names that they use, compressed and protected by a checksum. Each block can be
//! decoded independently.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use zstd::bulk::Compressor;

use crate::num::Num;
use crate::record::{Entry, Kind, Name, Record};
use crate::{Error, VERSION};

/// The first bytes of each block. A scan of a damaged file finds blocks by them.
pub const MAGIC: [u8; 8] = *b"\x89IPBLK\r\n";
/// The length of a block's header, in bytes.
pub const HEADER_BYTES: usize = 52;
/// The maximum length of a payload, in bytes. It limits the memory that a corrupt length can allocate.
pub const MAX_PAYLOAD_BYTES: u32 = 64 << 20;
/// The codec of an uncompressed payload.
const UNCOMPRESSED: u8 = 0;
/// The codec of a payload in LZ4's block format.
const LZ4: u8 = 1;
/// The codec of a payload compressed by zstd.
const ZSTD: u8 = 2;
/// The zstd compression level. Higher levels gain nothing on these blocks, see `docs/measurements/trace.md`.
const ZSTD_LEVEL: i32 = 1;

/// The number of variants of [`Kind`].
const KIND_COUNT: usize = 5;

/// The header of a block.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BlockHeader {
    /// The format version of the records.
    pub version: u8,
    /// The codec of the payload.
    codec: u8,
    /// The process that the entries belong to, as an index into the file's list of sources.
    pub source: u16,
    /// The number of entries.
    pub records: u32,
    /// The length of the payload before compression, in bytes.
    pub raw: u32,
    /// The length of the payload as stored, in bytes.
    pub stored: u32,
    /// The time of the first entry, in Unix milliseconds.
    pub first: f64,
    /// The latest time of any entry, in Unix milliseconds.
    pub last: f64,
    /// The checksum of the payload as stored.
    crc: u32,
}

impl BlockHeader {
    fn write(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        (bytes[8], bytes[9]) = (self.version, self.codec);
        bytes[10..12].copy_from_slice(&self.source.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.records.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.raw.to_le_bytes());
        bytes[20..24].copy_from_slice(&self.stored.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.first.to_le_bytes());
        bytes[32..40].copy_from_slice(&self.last.to_le_bytes());
        bytes[40..44].copy_from_slice(&self.crc.to_le_bytes());
        let crc = crc32fast::hash(&bytes[..48]);
        bytes[48..].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Parses a block header. Returns `None` if it is not intact.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        let u32_at = |at: usize| bytes[at..at + 4].try_into().map(u32::from_le_bytes).unwrap_or(0);
        let f64_at = |at: usize| bytes[at..at + 8].try_into().map(f64::from_le_bytes).unwrap_or(0.0);
        let head = BlockHeader {
            version: bytes[8],
            codec: bytes[9],
            source: u16::from_le_bytes([bytes[10], bytes[11]]),
            records: u32_at(12),
            raw: u32_at(16),
            stored: u32_at(20),
            first: f64_at(24),
            last: f64_at(32),
            crc: u32_at(40),
        };
        let intact = bytes[..8] == MAGIC && crc32fast::hash(&bytes[..48]) == u32_at(48);
        let fits = head.raw <= MAX_PAYLOAD_BYTES && head.stored <= MAX_PAYLOAD_BYTES;
        (intact && fits).then_some(head)
    }
}

/// Entries that are collected for a block.
#[derive(Debug, Default)]
pub struct Batch {
    names: Vec<(Kind, Arc<str>)>,
    /// The index of each name in `names`, by kind.
    indexes: [FxHashMap<Arc<str>, Name>; KIND_COUNT],
    bytes: Vec<u8>,
    records: u32,
    first: f64,
    last: f64,
    queries: Vec<u64>,
    /// Hashes of client ids, each with the number of its query.
    client_ids: Vec<(u64, u64)>,
}

impl Batch {
    /// Returns the index of a name in this block's name table, adding it if it is new.
    pub fn name(&mut self, kind: Kind, text: &Arc<str>) -> Name {
        let indexes = &mut self.indexes[kind as usize];
        if let Some(name) = indexes.get(&**text) {
            return *name;
        }
        let name = Name(self.names.len() as u32);
        indexes.insert(text.clone(), name);
        self.names.push((kind, text.clone()));
        name
    }

    /// Adds an entry. Its names must be from this block's table.
    ///
    /// # Errors
    /// If the entry cannot be serialized, which only a lack of memory can cause.
    pub fn push(&mut self, at: f64, record: &Record) -> Result<(), Error> {
        if self.records == 0 {
            (self.first, self.last) = (at, at);
        }
        let bytes = std::mem::take(&mut self.bytes);
        self.bytes = postcard::to_extend(&(Num::since(self.first, at), record), bytes)?;
        self.records += 1;
        self.last = self.last.max(at);
        let queries = &mut self.queries;
        record.visit_queries(&mut |query| {
            if queries.last() != Some(&query) {
                queries.push(query);
            }
        });
        if let Record::Taken(taken) = record {
            if let Some((_, text)) = self.names.get(taken.name.0 as usize) {
                self.client_ids.push((crate::index::hash(text), taken.query));
            }
        }
        Ok(())
    }

    /// Returns the number of entries.
    pub fn records(&self) -> u32 {
        self.records
    }

    /// Returns the size of the entries before compression, in bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the time of the first entry.
    pub fn first(&self) -> f64 {
        self.first
    }

    /// Returns the latest time of any entry.
    pub fn last(&self) -> f64 {
        self.last
    }

    /// Takes what the index needs: the sorted numbers of the queries in the entries, and the hashes of their client
    /// ids, each with the query's number.
    pub(crate) fn take_index_entries(&mut self) -> (Vec<u64>, Vec<(u64, u64)>) {
        let mut queries = std::mem::take(&mut self.queries);
        queries.sort_unstable();
        queries.dedup();
        (queries, std::mem::take(&mut self.client_ids))
    }

    /// Serializes the block as one of `source`. The caller keeps one [`compressor`] for all blocks, as creating it
    /// costs more than compressing a block.
    ///
    /// # Errors
    /// If the payload exceeds [`MAX_PAYLOAD_BYTES`] or there is not enough memory.
    pub fn encode(
        &self,
        source: u16,
        zstd: &mut Compressor<'static>,
    ) -> Result<(BlockHeader, Vec<u8>), Error> {
        let names: Vec<(Kind, &str)> = self.names.iter().map(|(kind, text)| (*kind, &**text)).collect();
        let mut raw = postcard::to_extend(&names, Vec::with_capacity(self.bytes.len() + 1024))?;
        raw.extend_from_slice(&self.bytes);
        let raw_len =
            u32::try_from(raw.len()).ok().filter(|len| *len <= MAX_PAYLOAD_BYTES).ok_or(Error::TooLong)?;
        let compressed = zstd.compress(&raw)?;
        let (codec, stored) =
            if compressed.len() < raw.len() { (ZSTD, compressed) } else { (UNCOMPRESSED, raw) };
        let head = BlockHeader {
            version: VERSION,
            codec,
            source,
            records: self.records,
            raw: raw_len,
            stored: stored.len() as u32,
            first: self.first,
            last: self.last,
            crc: crc32fast::hash(&stored),
        };
        let mut bytes = head.write().to_vec();
        bytes.extend_from_slice(&stored);
        Ok((head, bytes))
    }
}

/// Creates a compressor for blocks.
///
/// # Errors
/// If there is not enough memory.
pub fn compressor() -> std::io::Result<Compressor<'static>> {
    Compressor::new(ZSTD_LEVEL)
}

/// A decoded block.
#[derive(Debug, Clone, PartialEq)]
pub struct Block {
    /// The format version that it was written in.
    pub version: u8,
    /// The process that the entries belong to, as an index into the file's list of sources.
    pub source: u16,
    /// Its name table.
    pub names: Vec<(Kind, Arc<str>)>,
    /// Its entries, in the order in which they were recorded.
    pub entries: Vec<Entry>,
}

#[derive(Deserialize, Serialize)]
struct NameRow(Kind, String);

impl Block {
    /// Returns the text of a name, or `?` if it is not in the table.
    pub fn text(&self, name: Name) -> &str {
        self.names.get(name.0 as usize).map_or("?", |(_, text)| text)
    }

    /// Returns whether a stored payload matches the length and checksum in its header.
    pub fn matches_checksum(head: &BlockHeader, stored: &[u8]) -> bool {
        stored.len() == head.stored as usize && crc32fast::hash(stored) == head.crc
    }

    /// Decodes a block from its header and stored payload.
    ///
    /// # Errors
    /// If it is damaged, or its version or codec is not supported.
    pub fn decode(head: &BlockHeader, stored: &[u8]) -> Result<Self, Error> {
        if !Block::matches_checksum(head, stored) {
            return Err(Error::Damaged);
        }
        let raw = match head.codec {
            UNCOMPRESSED => stored.to_vec(),
            LZ4 => lz4_flex::block::decompress(stored, head.raw as usize).map_err(|_| Error::Damaged)?,
            ZSTD => zstd::bulk::decompress(stored, head.raw as usize).map_err(|_| Error::Damaged)?,
            _ => return Err(Error::Version(head.version)),
        };
        let (rows, mut rest) = postcard::take_from_bytes::<Vec<NameRow>>(&raw)?;
        let names = rows.into_iter().map(|NameRow(kind, text)| (kind, text.into())).collect();
        let mut entries = Vec::with_capacity(head.records.min(1 << 20) as usize);
        for _ in 0..head.records {
            let ((since, record), remaining) = crate::version::decode_entry(head.version, rest)?;
            entries.push(Entry { at: since.after(head.first), record });
            rest = remaining;
        }
        if rest.is_empty() {
            Ok(Block { version: head.version, source: head.source, names, entries })
        } else {
            Err(Error::Damaged)
        }
    }
}
