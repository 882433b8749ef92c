//! Encodes and decodes the frames of the platform's run stores. It performs no I/O.

use std::rc::Rc;

use crate::api::LoadReport;

/// Maximum length of a frame from a run store, in bytes. The response to a client holds at most 64 KiB, so no longer
/// value is of use. A longer frame is rejected as soon as its length is known, before any of it is kept.
pub const MAX_FRAME_LEN: usize = 65 * 1024;

/// A frame from a run store.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// `5`: a part has ended.
    PartEnded {
        /// The id of the part.
        part: String,
        /// How it ended.
        status: PartStatus,
        /// The load report, if there was one.
        load: Option<LoadReport>,
        /// The value.
        value: Rc<[u8]>,
    },
    /// `3`: the answer to a probe. Whether it reports success or not, the run store has read everything written
    /// before that probe.
    ProbeAnswer,
    /// `4`: the answer to a load probe.
    LoadProbeAnswer {
        /// Whether it succeeded.
        ok: bool,
        /// The load report, if there was one.
        load: Option<LoadReport>,
    },
    /// `X`: the run store could not use the previous frame.
    Rejected(String),
}

/// How a part ended at its run store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStatus {
    /// `S`: it was served.
    Served,
    /// `E`: it failed.
    Failed,
    /// `B`: it was rejected.
    Rejected,
}

/// A part of a call.
pub struct Part<'a> {
    /// The id of the part.
    pub id: &'a str,
    /// The shard.
    pub shard: u32,
    /// How long the answer is awaited, in milliseconds.
    pub timeout_ms: u64,
    /// The query's key, in a keyed class. It must not contain commas, blanks or line ends, which delimit the field.
    pub key: Option<&'a str>,
    /// The text of the query.
    pub text: &'a [u8],
}

/// Encodes a call with one or more parts.
pub fn encode_call<'a>(parts: impl Iterator<Item = Part<'a>>) -> Vec<u8> {
    let mut payload = Vec::new();
    for Part { id, shard, timeout_ms, key, text } in parts {
        let key = key.map(|key| format!(",k={key}")).unwrap_or_default();
        payload.extend_from_slice(format!("{id} {shard} d={timeout_ms}{key} {}\n", text.len()).as_bytes());
        payload.extend_from_slice(text);
    }
    encode_frame(b'1', &payload)
}

/// Encodes a frame that cancels a part.
pub fn encode_cancel(part: &str) -> Vec<u8> {
    encode_frame(b'2', part.as_bytes())
}

/// Encodes a probe.
pub fn encode_probe() -> Vec<u8> {
    encode_frame(b'3', &[])
}

/// Encodes a load probe.
pub fn encode_load_probe() -> Vec<u8> {
    encode_frame(b'4', &[])
}

fn encode_frame(frame_type: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(payload.len() + 5);
    bytes.extend_from_slice(&(payload.len() as u32 + 1).to_le_bytes());
    bytes.push(frame_type);
    bytes.extend_from_slice(payload);
    bytes
}

/// Takes the first frame from a buffer once it is complete.
///
/// # Errors
/// Returns why the frame is malformed. Nothing after it can be decoded.
pub fn take_frame(buffer: &mut Vec<u8>) -> Result<Option<Frame>, String> {
    let Some(length) = buffer.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_LEN {
        return Err(format!("invalid frame length: {length} bytes"));
    }
    let Some(bytes) = buffer.get(4..4 + length) else { return Ok(None) };
    let frame = decode_frame(bytes[0], &bytes[1..])?;
    buffer.drain(..4 + length);
    Ok(Some(frame))
}

fn decode_frame(frame_type: u8, payload: &[u8]) -> Result<Frame, String> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    match frame_type {
        b'3' => Ok(Frame::ProbeAnswer),
        b'4' => {
            let ok = !payload.starts_with(b"E");
            Ok(Frame::LoadProbeAnswer { ok, load: if ok { parse_load_report(&text(payload)) } else { None } })
        }
        b'5' => {
            let line_end = payload
                .iter()
                .position(|byte| *byte == b'\n')
                .ok_or("part-end frame without a header line")?;
            let line = text(&payload[..line_end]);
            // The load report is the rest of the line. A report that cannot be parsed does not invalidate the answer.
            let fields: Vec<&str> = line.splitn(4, ' ').collect();
            let [part, status, _score, load] = fields[..] else {
                return Err(format!("malformed header line of a part-end frame: {line:?}"));
            };
            let status = match status {
                "S" => PartStatus::Served,
                "E" => PartStatus::Failed,
                "B" => PartStatus::Rejected,
                _ => return Err(format!("unknown part status {status:?}")),
            };
            let value = payload[line_end + 1..].into();
            Ok(Frame::PartEnded { part: part.to_string(), status, load: parse_load_report(load), value })
        }
        b'X' => Ok(Frame::Rejected(text(payload))),
        other => Err(format!("unknown frame type {:?}", other as char)),
    }
}

/// Parses a load report of `name=number` pairs and ignores unknown names. Returns `None` if no known value can be
/// parsed. Run stores use either the names of the settings or the short ones.
fn parse_load_report(text: &str) -> Option<LoadReport> {
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
