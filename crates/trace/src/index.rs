//! The index at the end of a segment, which locates blocks and queries. The query and name tables are sorted and
//! searched on disk, so that a lookup takes a few reads even in a large segment.

use std::collections::BTreeMap;
use std::io::{Read, Seek, SeekFrom, Write};

use crate::block::BlockHeader;
use crate::Error;

/// The last bytes of a finished segment.
pub const MAGIC: [u8; 8] = *b"\x89IPEND\r\n";
/// The length of the trailer, which locates the tables, in bytes.
const TRAILER_BYTES: usize = 56;
/// The length of a row of the block table, in bytes.
const BLOCK_ROW_BYTES: usize = 38;
/// The length of a row of the query table, in bytes.
const QUERY_ROW_BYTES: usize = 16;
/// The length of a row of the name table, in bytes.
const NAME_ROW_BYTES: usize = 16;

/// Returns the hash under which the index stores a query's client id.
pub fn hash(name: &str) -> u64 {
    let bytes = *blake3::hash(name.as_bytes()).as_bytes();
    u64::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]])
}

/// The location and extent of a block.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BlockLocation {
    /// Its offset in the file, in bytes.
    pub offset: u64,
    /// Its length including the block header, in bytes.
    pub length: u32,
    /// The number of entries.
    pub records: u32,
    /// The length of its payload before compression, in bytes.
    pub raw: u32,
    /// The time of its first entry, in Unix milliseconds.
    pub first: f64,
    /// The latest time of any entry, in Unix milliseconds.
    pub last: f64,
    /// The process that the entries belong to, as an index into the file's list of sources.
    pub source: u16,
}

/// Returns the index key of a query: the source in the upper 16 bits, as query numbers are unique only within a
/// process, and the number in the lower 48.
pub fn query_key(source: u16, query: u64) -> u64 {
    u64::from(source) << 48 | query & ((1 << 48) - 1)
}

impl BlockLocation {
    /// Creates the location of a block at an offset from its header.
    pub fn new(offset: u64, head: &BlockHeader) -> Self {
        BlockLocation {
            offset,
            length: crate::block::HEADER_BYTES as u32 + head.stored,
            records: head.records,
            raw: head.raw,
            first: head.first,
            last: head.last,
            source: head.source,
        }
    }
}

/// The builder of the index of a segment that is being written.
#[derive(Debug, Default)]
pub struct IndexBuilder {
    blocks: Vec<BlockLocation>,
    /// The first and the last block of each query, by [`query_key`].
    queries: BTreeMap<u64, (u32, u32)>,
    /// Hashes of client ids, each with the [`query_key`] of its query.
    names: Vec<(u64, u64)>,
}

impl IndexBuilder {
    /// Adds a block, with the numbers of its queries, and hashes of client ids with the numbers of their queries.
    pub fn add(&mut self, at: BlockLocation, queries: &[u64], called: &[(u64, u64)]) {
        let no = self.blocks.len() as u32;
        self.blocks.push(at);
        for query in queries {
            self.queries.entry(query_key(at.source, *query)).or_insert((no, no)).1 = no;
        }
        self.names.extend(called.iter().map(|(hash, query)| (*hash, query_key(at.source, *query))));
    }

    /// Writes the index of a segment whose blocks end at offset `at`. Returns its length in bytes.
    ///
    /// # Errors
    /// If the writer fails.
    pub fn write(&mut self, at: u64, out: &mut impl Write) -> Result<u64, Error> {
        let mut blocks = Vec::with_capacity(self.blocks.len() * BLOCK_ROW_BYTES);
        for block in &self.blocks {
            blocks.extend_from_slice(&block.offset.to_le_bytes());
            for word in [block.length, block.records, block.raw] {
                blocks.extend_from_slice(&word.to_le_bytes());
            }
            blocks.extend_from_slice(&block.first.to_le_bytes());
            blocks.extend_from_slice(&block.last.to_le_bytes());
            blocks.extend_from_slice(&block.source.to_le_bytes());
        }
        let mut queries = Vec::with_capacity(self.queries.len() * QUERY_ROW_BYTES);
        for (query, (first, last)) in &self.queries {
            queries.extend_from_slice(&query.to_le_bytes());
            queries.extend_from_slice(&first.to_le_bytes());
            queries.extend_from_slice(&last.to_le_bytes());
        }
        self.names.sort_unstable();
        let mut names = Vec::with_capacity(self.names.len() * NAME_ROW_BYTES);
        for (hash, query) in &self.names {
            names.extend_from_slice(&hash.to_le_bytes());
            names.extend_from_slice(&query.to_le_bytes());
        }
        let mut trailer = Vec::with_capacity(TRAILER_BYTES);
        trailer.extend_from_slice(&at.to_le_bytes());
        for table in [&blocks, &queries, &names] {
            trailer.extend_from_slice(&(table.len() as u64).to_le_bytes());
            trailer.extend_from_slice(&crc32fast::hash(table).to_le_bytes());
        }
        trailer.extend_from_slice(&crc32fast::hash(&trailer).to_le_bytes());
        trailer.extend_from_slice(&MAGIC);
        for part in [&blocks, &queries, &names, &trailer] {
            out.write_all(part)?;
        }
        Ok((blocks.len() + queries.len() + names.len() + trailer.len()) as u64)
    }
}

/// The index of a finished segment.
#[derive(Debug, Clone)]
pub struct Index {
    /// The blocks of the segment.
    pub blocks: Vec<BlockLocation>,
    /// The offset of the first table, in bytes.
    at: u64,
    /// The length in bytes and the checksum of each table.
    tables: [(u64, u32); 3],
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|bytes| bytes.try_into().ok()).map_or(0, u64::from_le_bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|bytes| bytes.try_into().ok()).map_or(0, u32::from_le_bytes)
}

impl Index {
    /// Reads the index at the end of a file. Returns `None` if there is none, or its trailer or block table is damaged.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn read(file: &mut (impl Read + Seek)) -> Result<Option<Self>, Error> {
        let length = file.seek(SeekFrom::End(0))?;
        let Some(trailer_at) = length.checked_sub(TRAILER_BYTES as u64) else { return Ok(None) };
        let mut trailer = [0; TRAILER_BYTES];
        file.seek(SeekFrom::Start(trailer_at))?;
        file.read_exact(&mut trailer)?;
        if trailer[48..] != MAGIC || crc32fast::hash(&trailer[..44]) != u32_at(&trailer, 44) {
            return Ok(None);
        }
        let at = u64_at(&trailer, 0);
        let tables = [8, 20, 32].map(|place| (u64_at(&trailer, place), u32_at(&trailer, place + 8)));
        let end = tables.iter().try_fold(at, |sum, (length, _)| sum.checked_add(*length));
        if end != Some(trailer_at) {
            return Ok(None);
        }
        let index = Index { blocks: Vec::new(), at, tables };
        let Some(rows) = index.table(file, 0)? else { return Ok(None) };
        let row = |row: &[u8]| BlockLocation {
            offset: u64_at(row, 0),
            length: u32_at(row, 8),
            records: u32_at(row, 12),
            raw: u32_at(row, 16),
            first: f64::from_bits(u64_at(row, 20)),
            last: f64::from_bits(u64_at(row, 28)),
            source: u16::from_le_bytes([row[36], row[37]]),
        };
        let blocks: Vec<BlockLocation> = rows.chunks_exact(BLOCK_ROW_BYTES).map(row).collect();
        let inside = |block: &BlockLocation| {
            block.offset.checked_add(u64::from(block.length)).is_some_and(|e| e <= at)
        };
        Ok(blocks.iter().all(inside).then_some(Index { blocks, ..index }))
    }

    /// Verifies the checksums of all tables.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn is_sound(&self, file: &mut (impl Read + Seek)) -> Result<bool, Error> {
        for table in 0..3 {
            if self.table(file, table)?.is_none() {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn table(&self, file: &mut (impl Read + Seek), which: usize) -> Result<Option<Vec<u8>>, Error> {
        let (length, crc) = self.tables[which];
        let mut bytes = vec![0; usize::try_from(length).map_err(|_| Error::TooLong)?];
        file.seek(SeekFrom::Start(self.table_offset(which)))?;
        file.read_exact(&mut bytes)?;
        Ok((crc32fast::hash(&bytes) == crc).then_some(bytes))
    }

    fn table_offset(&self, which: usize) -> u64 {
        self.at + self.tables[..which].iter().map(|(length, _)| length).sum::<u64>()
    }

    /// Returns the first row with a key of at least `key` in a table that is sorted by its first eight bytes.
    fn lower_bound(&self, file: &mut (impl Read + Seek), which: usize, key: u64) -> Result<u64, Error> {
        let (mut low, mut high) = (0, self.tables[which].0 / 16);
        while low < high {
            let middle = low + (high - low) / 2;
            if u64_at(&self.row(file, which, middle)?, 0) < key {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        Ok(low)
    }

    fn row(&self, file: &mut (impl Read + Seek), which: usize, no: u64) -> Result<[u8; 16], Error> {
        let mut row = [0; 16];
        file.seek(SeekFrom::Start(self.table_offset(which) + no * 16))?;
        file.read_exact(&mut row)?;
        Ok(row)
    }

    /// Returns the first and the last block that contain entries of a query, given by its [`query_key`].
    ///
    /// # Errors
    /// If the reader fails.
    pub fn blocks_of_query(
        &self,
        file: &mut (impl Read + Seek),
        query: u64,
    ) -> Result<Option<(u32, u32)>, Error> {
        let at = self.lower_bound(file, 1, query)?;
        if at >= self.tables[1].0 / 16 {
            return Ok(None);
        }
        let row = self.row(file, 1, at)?;
        Ok((u64_at(&row, 0) == query).then(|| (u32_at(&row, 8), u32_at(&row, 12))))
    }

    /// Returns the keys of the queries whose client id has the same hash as `name`.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn queries_by_client_id(&self, file: &mut (impl Read + Seek), name: &str) -> Result<Vec<u64>, Error> {
        let (hash, mut found) = (hash(name), Vec::new());
        let mut at = self.lower_bound(file, 2, hash)?;
        while at < self.tables[2].0 / 16 {
            let row = self.row(file, 2, at)?;
            if u64_at(&row, 0) != hash {
                break;
            }
            found.push(u64_at(&row, 8));
            at += 1;
        }
        Ok(found)
    }
}
