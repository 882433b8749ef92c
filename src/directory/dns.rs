//! Encodes and decodes DNS messages (RFC 1035), as far as DNS-SD needs them. Does no I/O.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The record types that are queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordType {
    /// An IPv4 address.
    A = 1,
    /// A pointer to another name.
    Ptr = 12,
    /// Text strings.
    Txt = 16,
    /// An IPv6 address.
    Aaaa = 28,
    /// The host and port of a service.
    Srv = 33,
}

/// A domain name as a list of labels. Bytes that are not UTF-8 are replaced.
pub type Name = Vec<String>;

/// The data of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordData {
    /// The address of an A or AAAA record.
    Address(IpAddr),
    /// The target of a PTR record.
    Pointer(Name),
    /// The strings of a TXT record.
    Texts(Vec<Vec<u8>>),
    /// The port and host of an SRV record. Priority and weight are ignored: they choose between interchangeable
    /// servers, and run stores are not interchangeable.
    Service(u16, Name),
    /// A record of another type.
    Other,
}

/// A resource record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The name that owns the record.
    pub name: Name,
    /// Its data.
    pub data: RecordData,
}

/// A DNS response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The id of the query that it answers.
    pub id: u16,
    /// Whether it was truncated to fit into a datagram (the TC flag).
    pub truncated: bool,
    /// The response code: 0 for success, 3 for a name that does not exist.
    pub code: u8,
    /// The answer and additional records.
    pub records: Vec<Record>,
}

/// Splits a dotted name into its labels.
pub fn parse_name(text: &str) -> Name {
    text.trim_end_matches('.').split('.').filter(|label| !label.is_empty()).map(str::to_string).collect()
}

/// Returns whether two names are equal, ignoring ASCII case.
pub fn names_equal(one: &[String], other: &[String]) -> bool {
    one.len() == other.len() && one.iter().zip(other).all(|(a, b)| a.eq_ignore_ascii_case(b))
}

/// Encodes a query; `None` if a label is empty or longer than 63 bytes.
pub fn encode_query(id: u16, name: &[String], record_type: RecordType) -> Option<Vec<u8>> {
    let mut bytes = id.to_be_bytes().to_vec();
    // Recursion desired, one question.
    bytes.extend_from_slice(&[1, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
    for label in name {
        bytes.push(u8::try_from(label.len()).ok().filter(|length| (1..=63).contains(length))?);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes.extend_from_slice(&(record_type as u16).to_be_bytes());
    bytes.extend_from_slice(&[0, 1]);
    Some(bytes)
}

/// Decodes a response; `None` if it is malformed.
pub fn decode_response(bytes: &[u8]) -> Option<Response> {
    let mut reader = Reader { bytes, at: 0 };
    let (id, flags) = (reader.u16()?, reader.u16()?);
    if flags & 0x8000 == 0 {
        return None;
    }
    let (questions, answers, authorities, additional) =
        (reader.u16()?, reader.u16()?, reader.u16()?, reader.u16()?);
    for _ in 0..questions {
        reader.name()?;
        reader.take(4)?;
    }
    let mut records = Vec::new();
    for index in 0..u32::from(answers) + u32::from(authorities) + u32::from(additional) {
        let record = reader.record()?;
        let authority = index >= u32::from(answers) && index < u32::from(answers) + u32::from(authorities);
        if !authority {
            records.push(record);
        }
    }
    Some(Response { id, truncated: flags & 0x0200 != 0, code: (flags & 0xf) as u8, records })
}

/// A position in a message that is being decoded.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let taken = self.bytes.get(self.at..self.at.checked_add(count)?)?;
        self.at += count;
        Some(taken)
    }

    fn u16(&mut self) -> Option<u16> {
        self.take(2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    fn name(&mut self) -> Option<Name> {
        let mut name = Name::new();
        let mut total = 0;
        // A compression pointer may only point backwards, which rules out loops.
        let (mut at, mut resume, mut limit) = (self.at, None, self.at);
        loop {
            let length = usize::from(*self.bytes.get(at)?);
            match length >> 6 {
                0 if length == 0 => {
                    self.at = resume.unwrap_or(at + 1);
                    return Some(name);
                }
                0 => {
                    let label = self.bytes.get(at + 1..at + 1 + length)?;
                    total += length + 1;
                    if total > 254 {
                        return None;
                    }
                    name.push(String::from_utf8_lossy(label).into_owned());
                    at += 1 + length;
                }
                3 => {
                    let target = (length & 0x3f) << 8 | usize::from(*self.bytes.get(at + 1)?);
                    if target >= limit {
                        return None;
                    }
                    resume = resume.or(Some(at + 2));
                    (at, limit) = (target, target);
                }
                _ => return None,
            }
        }
    }

    fn record(&mut self) -> Option<Record> {
        let name = self.name()?;
        let record_type = self.u16()?;
        self.take(6)?;
        let length = usize::from(self.u16()?);
        let end = self.at + length;
        self.bytes.get(self.at..end)?;
        let data = match record_type {
            1 => {
                let bytes: [u8; 4] = self.take(4)?.try_into().ok()?;
                RecordData::Address(Ipv4Addr::from(bytes).into())
            }
            28 => {
                let bytes: [u8; 16] = self.take(16)?.try_into().ok()?;
                RecordData::Address(Ipv6Addr::from(bytes).into())
            }
            12 => RecordData::Pointer(self.name()?),
            33 => {
                self.take(4)?;
                let port = self.u16()?;
                RecordData::Service(port, self.name()?)
            }
            16 => {
                let mut texts = Vec::new();
                while self.at < end {
                    let length = usize::from(self.take(1)?[0]);
                    texts.push(self.take(length)?.to_vec());
                }
                RecordData::Texts(texts)
            }
            _ => RecordData::Other,
        };
        if self.at > end {
            return None;
        }
        self.at = end;
        Some(Record { name, data })
    }
}

#[cfg(test)]
mod tests;
