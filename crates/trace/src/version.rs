//! The format versions of the records, and the decoding of older versions.
//!
//! Version 1 is the original format. Version 2 adds the reasons for refusals and failures of queries, for attempts and
//! cancellations, and for the choice of run store. Version 3 holds the same information in fewer bytes.

use crate::num::Num;
use crate::record::Record;
use crate::{v1, v2, Error};

/// The version in which traces are written.
pub const VERSION: u8 = 3;

/// Decodes an entry of a given version. Returns its time relative to the block's first entry, its record, and the
/// remaining bytes.
///
/// # Errors
/// If the bytes are not a valid entry, or the version is not supported.
pub(crate) fn decode_entry(version: u8, bytes: &[u8]) -> Result<((Num, Record), &[u8]), Error> {
    match version {
        1 => {
            let ((at, record), rest) = postcard::take_from_bytes::<(Num, v1::Record)>(bytes)?;
            Ok(((at, record.into()), rest))
        }
        2 => {
            let ((at, record), rest) = postcard::take_from_bytes::<(Num, v2::Record)>(bytes)?;
            Ok(((at, record.into()), rest))
        }
        3 => Ok(postcard::take_from_bytes(bytes)?),
        other => Err(Error::Version(other)),
    }
}
