//! Parses request targets into a path and query parameters, percent-decoded.

/// The path segments and query parameters of a request target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The path segments, without empty ones.
    pub path: Vec<String>,
    /// The query parameters, in their order.
    pub parameters: Vec<(String, String)>,
}

impl Target {
    /// Parses a target. Returns `None` if a percent escape in it is malformed.
    pub fn read(target: &str) -> Option<Self> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.split('/').filter(|part| !part.is_empty()).map(|part| percent_decode(part, false));
        let parameters = query.split('&').filter(|pair| !pair.is_empty()).map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            Some((percent_decode(name, true)?, percent_decode(value, true)?))
        });
        Some(Target { path: path.collect::<Option<_>>()?, parameters: parameters.collect::<Option<_>>()? })
    }
}

fn percent_decode(text: &str, plus_is_space: bool) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digit = |byte: u8| (byte as char).to_digit(16);
                let (high, low) = (digit(rest.next()?)?, digit(rest.next()?)?);
                (high * 16 + low) as u8
            }
            b'+' if plus_is_space => b' ',
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests;
