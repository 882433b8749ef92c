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

/// The question of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The name whose records are queried.
    pub name: Name,
    /// The type of these records.
    pub record_type: RecordType,
}

/// A DNS response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The id of the query that it answers.
    pub id: u16,
    /// Whether it was truncated to fit into a datagram (the TC flag). It has no records then.
    pub truncated: bool,
    /// The response code.
    pub code: u8,
    /// The name and the type of its question, unless it has none or several.
    question: Option<(Name, u16)>,
    /// The answer records.
    pub answers: Vec<Record>,
    /// The additional records.
    pub additional: Vec<Record>,
    /// Whether it only refers to other servers: these are named in the authority section, without the SOA record
    /// of a negative answer (RFC 2308, section 2.2).
    is_referral: bool,
}

/// The response code of success.
const NO_ERROR: u8 = 0;
/// The response code for a name that does not exist (NXDOMAIN).
const NAME_ERROR: u8 = 3;
/// The record type of name servers.
const TYPE_NS: u16 = 2;
/// The record type of the start of a zone.
const TYPE_SOA: u16 = 6;
/// The flag of a response.
const FLAG_RESPONSE: u16 = 0x8000;
/// The flag of a truncated response.
const FLAG_TRUNCATED: u16 = 0x0200;

impl Response {
    /// Returns whether this is the response to the query with this id and question.
    pub fn is_response_to(&self, id: u16, question: &Question) -> bool {
        let same_question = self.question.as_ref().is_some_and(|(name, record_type)| {
            names_equal(name, &question.name) && *record_type == question.record_type as u16
        });
        self.id == id && same_question
    }

    /// Returns the answer records followed by the additional records, or nothing if the server knows that there are no
    /// records for the question. Only these two are answers: any other response leaves open which records there are.
    ///
    /// # Errors
    /// Returns why the response is not an answer.
    pub fn into_records(self, question: &Question) -> Result<Vec<Record>, String> {
        match self.code {
            NAME_ERROR => return Ok(Vec::new()),
            NO_ERROR => {}
            code => return Err(format!("response code {code}")),
        }
        if self.is_referral {
            return Err("a referral to other servers".into());
        }
        if self.answers.is_empty() {
            return Ok(Vec::new());
        }
        let is_wanted = |record: &Record| {
            names_equal(&record.name, &question.name) && record.data.is_of_type(question.record_type)
        };
        if !self.answers.iter().any(is_wanted) {
            return Err("no record in the answer is of the queried name and type".into());
        }
        Ok([self.answers, self.additional].concat())
    }
}

impl RecordData {
    /// Returns whether this is the data of a record of this type.
    fn is_of_type(&self, record_type: RecordType) -> bool {
        match self {
            RecordData::Address(IpAddr::V4(_)) => record_type == RecordType::A,
            RecordData::Address(IpAddr::V6(_)) => record_type == RecordType::Aaaa,
            RecordData::Pointer(_) => record_type == RecordType::Ptr,
            RecordData::Texts(_) => record_type == RecordType::Txt,
            RecordData::Service(..) => record_type == RecordType::Srv,
            RecordData::Other => false,
        }
    }
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
pub fn encode_query(id: u16, question: &Question) -> Option<Vec<u8>> {
    let mut bytes = id.to_be_bytes().to_vec();
    // Recursion desired, one question.
    bytes.extend_from_slice(&[1, 0, 0, 1, 0, 0, 0, 0, 0, 0]);
    for label in &question.name {
        bytes.push(u8::try_from(label.len()).ok().filter(|length| (1..=63).contains(length))?);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes.extend_from_slice(&(question.record_type as u16).to_be_bytes());
    bytes.extend_from_slice(&[0, 1]);
    Some(bytes)
}

/// Decodes a response; `None` if it is malformed.
pub fn decode_response(bytes: &[u8]) -> Option<Response> {
    let mut reader = Reader { bytes, at: 0 };
    let (id, flags) = (reader.u16()?, reader.u16()?);
    if flags & FLAG_RESPONSE == 0 {
        return None;
    }
    let (questions, answers, authorities, additional) =
        (reader.u16()?, reader.u16()?, reader.u16()?, reader.u16()?);
    let mut response = Response {
        id,
        truncated: flags & FLAG_TRUNCATED != 0,
        code: (flags & 0xf) as u8,
        question: None,
        answers: Vec::new(),
        additional: Vec::new(),
        is_referral: false,
    };
    for _ in 0..questions {
        let name = reader.name()?;
        let record_type = reader.u16()?;
        reader.take(2)?;
        response.question = Some((name, record_type)).filter(|_| questions == 1);
    }
    // What a truncated response holds is incomplete, and may end anywhere.
    if response.truncated {
        return Some(response);
    }
    for _ in 0..answers {
        response.answers.push(reader.record()?.1);
    }
    let mut authority_types = Vec::new();
    for _ in 0..authorities {
        authority_types.push(reader.record()?.0);
    }
    for _ in 0..additional {
        response.additional.push(reader.record()?.1);
    }
    let names_servers = authority_types.contains(&TYPE_NS) && !authority_types.contains(&TYPE_SOA);
    response.is_referral = response.answers.is_empty() && names_servers;
    Some(response)
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

    /// Reads a record, and returns its type with it.
    fn record(&mut self) -> Option<(u16, Record)> {
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
        Some((record_type, Record { name, data }))
    }
}

#[cfg(test)]
mod tests;
