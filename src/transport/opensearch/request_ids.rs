//! The ids by which the responses on a connection are matched to its requests.
//!
//! A run store may send more than the response to a request, such as a second copy of it. HTTP/1.1 tells responses
//! apart by their order alone, so a copy that arrives after the next request was written would pass for the response
//! to that one. Each request therefore carries an id in `X-Opaque-Id`, which run stores return with the response, and
//! no two requests on a connection carry the same id.

use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;

use crate::http::client::ResponseMatch;
use crate::http::parse::Message;

/// Maximum number of requests on a connection, which bounds the memory for their ids.
const MAX_REQUESTS: usize = 256;

/// The ids of the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestIds {
    hasher: RandomState,
    /// The hashes of all ids. Two ids with the same hash count as the same id.
    sent: HashSet<u64>,
}

impl RequestIds {
    /// Returns whether the connection may carry a request with an id.
    pub fn allow(&self, id: &str) -> bool {
        !self.was_sent(id) && !self.is_exhausted()
    }

    /// Returns whether the connection may carry no further request, whatever its id.
    pub fn is_exhausted(&self) -> bool {
        self.sent.len() >= MAX_REQUESTS
    }

    /// Records the id of a request that is about to be written.
    pub fn add(&mut self, id: &str) {
        self.sent.insert(self.hasher.hash_one(id));
    }

    /// Matches a response to the latest request, which has this id. Without an id, a response is matched only if the
    /// connection has carried no other request.
    pub fn match_response(&self, response: &Message, id: &str) -> ResponseMatch {
        match returned_id(response) {
            Some(returned) if returned == id => ResponseMatch::Own,
            Some(returned) if self.was_sent(returned) => ResponseMatch::Surplus,
            None if self.sent.len() == 1 => ResponseMatch::Own,
            _ => ResponseMatch::Unknown,
        }
    }

    fn was_sent(&self, id: &str) -> bool {
        self.sent.contains(&self.hasher.hash_one(id))
    }
}

/// Returns the id that a response carries.
pub fn returned_id(response: &Message) -> Option<&str> {
    response.headers.get("x-opaque-id")
}

#[cfg(test)]
mod tests;
