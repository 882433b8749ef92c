//! Serializes HTTP messages.

use std::fmt::Write;

/// A response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers, without those that frame the body.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with a body of a content type.
    pub fn new(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        Response { status, headers: vec![("Content-Type", content_type.to_string())], body: body.into() }
    }

    /// Creates a plain-text response.
    pub fn text(status: u16, text: &str) -> Self {
        Response::new(status, "text/plain; charset=utf-8", format!("{text}\n"))
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds a `Retry-After` header in seconds, if `millis` is positive.
    pub fn retry_after(self, millis: f64) -> Self {
        if millis > 0.0 {
            self.with("Retry-After", (millis.ceil() / 1000.0).to_string())
        } else {
            self
        }
    }

    /// Serializes the response. `include_body` is `false` for the response to a `HEAD` request, whose client would
    /// take a body for the next response.
    pub fn bytes(&self, keep_alive: bool, include_body: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        if !keep_alive {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if include_body {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

/// Serializes a request. Values must not contain line ends; callers validate those that come from outside.
pub fn request(method: &str, target: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if !body.is_empty() {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}
