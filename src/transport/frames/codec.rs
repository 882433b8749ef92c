//! Encodes and decodes the frames of the platform's run stores. It performs no I/O.

use std::rc::Rc;

use crate::api::LoadReport;

/// Maximum length of a frame from a run store, in bytes. The response to a client holds at most 64 KiB, so no longer
/// value is of use. A longer frame is rejected as soon as its length is known, before any of it is kept.
pub const MOST_FRAME: usize = 65 * 1024;

/// A frame from a run store.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// `5`: a part has ended.
    End {
        /// The id of the part.
        part: String,
        /// How it ended.
        end: End,
        /// The load report, if there was one.
        load: Option<LoadReport>,
        /// The value.
        value: Rc<[u8]>,
    },
    /// `3`: the answer to a probe. Whether it reports success or not, the run store has read everything written
    /// before that probe.
    Probed,
    /// `4`: the answer to a load probe.
    Load {
        /// Whether it succeeded.
        ok: bool,
        /// The load report, if there was one.
        load: Option<LoadReport>,
    },
    /// `X`: the run store could not use the previous frame.
    Unusable(String),
}

/// How a part ended at its run store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// `S`: it was served.
    Served,
    /// `E`: it failed.
    Error,
    /// `B`: it was rejected.
    TurnedAway,
}

/// A part of a call.
pub struct Part<'a> {
    /// The id of the part.
    pub id: &'a str,
    /// The shard.
    pub shard: u32,
    /// How long the answer is awaited, in milliseconds.
    pub wait: u64,
    /// The query's key, in a keyed class. It must not contain commas, blanks or line ends, which delimit the field.
    pub key: Option<&'a str>,
    /// The text of the query.
    pub text: &'a [u8],
}

/// Encodes a call with one or more parts.
pub fn call<'a>(parts: impl Iterator<Item = Part<'a>>) -> Vec<u8> {
    let mut rest = Vec::new();
    for Part { id, shard, wait, key, text } in parts {
        let key = key.map(|key| format!(",k={key}")).unwrap_or_default();
        rest.extend_from_slice(format!("{id} {shard} d={wait}{key} {}\n", text.len()).as_bytes());
        rest.extend_from_slice(text);
    }
    frame(b'1', &rest)
}

/// Encodes a frame that cancels a part.
pub fn give_up(part: &str) -> Vec<u8> {
    frame(b'2', part.as_bytes())
}

/// Encodes a probe.
pub fn probe() -> Vec<u8> {
    frame(b'3', &[])
}

/// Encodes a load probe.
pub fn load_probe() -> Vec<u8> {
    frame(b'4', &[])
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(rest.len() + 5);
    bytes.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// Takes the first frame from a buffer once it is complete.
///
/// # Errors
/// Returns why the frame is malformed. Nothing after it can be decoded.
pub fn next(buffer: &mut Vec<u8>) -> Result<Option<Frame>, String> {
    let Some(length) = buffer.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > MOST_FRAME {
        return Err(format!("invalid frame length: {length} bytes"));
    }
    let Some(bytes) = buffer.get(4..4 + length) else { return Ok(None) };
    let frame = read(bytes[0], &bytes[1..])?;
    buffer.drain(..4 + length);
    Ok(Some(frame))
}

fn read(letter: u8, rest: &[u8]) -> Result<Frame, String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    match letter {
        b'3' => Ok(Frame::Probed),
        b'4' => {
            let ok = !rest.starts_with(b"E");
            Ok(Frame::Load { ok, load: if ok { report(&text(rest)) } else { None } })
        }
        b'5' => {
            let cut =
                rest.iter().position(|byte| *byte == b'\n').ok_or("part-end frame without a header line")?;
            let line = text(&rest[..cut]);
            // The load report is the rest of the line. A report that cannot be parsed does not invalidate the answer.
            let words: Vec<&str> = line.splitn(4, ' ').collect();
            let [part, end, _score, load] = words[..] else {
                return Err(format!("malformed header line of a part-end frame: {line:?}"));
            };
            let end = match end {
                "S" => End::Served,
                "E" => End::Error,
                "B" => End::TurnedAway,
                _ => return Err(format!("unknown part status {end:?}")),
            };
            let value = rest[cut + 1..].into();
            Ok(Frame::End { part: part.to_string(), end, load: report(load), value })
        }
        b'X' => Ok(Frame::Unusable(text(rest))),
        other => Err(format!("unknown frame type {:?}", other as char)),
    }
}

/// Parses a load report of `name=number` pairs and ignores unknown names. Returns `None` if no known value can be
/// parsed. Run stores use either the names of the settings or the short ones.
fn report(text: &str) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
        match name {
            "inflight" | "outstanding" => load.in_flight = value,
            "queue" | "backlog" => load.queue = value,
            "util" | "utilization" => load.utilization = value,
            "qps" | "throughput" => load.throughput = value,
            _ => {}
        }
    }
    (load != LoadReport::default()).then_some(load)
}
