//! The fronts: a client's request in, its final answer out.

pub mod opensearch;
pub mod platform;

use crate::asking::MAX_LIST_DELAY;
use crate::core::drive::Driver;
use crate::http::door::Door;
use crate::http::parse::Headers;
use crate::http::write::Response;

/// The longest key that is taken in.
const MOST_KEY: usize = 128;

/// The key of a query of a keyed class, as it goes on to run stores. There a comma or a blank would end it, and of
/// two nobody could say which counts.
fn key(headers: &Headers) -> Result<&str, String> {
    let mut all = headers.all("idempotency-key");
    let key = all.next().ok_or("Idempotency-Key is missing, which queries of this class need")?;
    if all.next().is_some() {
        return Err("Idempotency-Key is given more than once".into());
    }
    let sound = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    if key.is_empty() || key.len() > MOST_KEY || !key.bytes().all(sound) {
        return Err(format!("Idempotency-Key must be 1 to {MOST_KEY} visible characters other than a comma"));
    }
    Ok(key)
}

/// The answer to the layer in front of the aggregators, which asks whether to send clients here.
///
/// A list that has not come by the time in which all changes are here may not come for long: clients are then better
/// refused with advice than kept from an aggregator that serves as soon as it is told.
fn health(door: &Door, driver: &Driver) -> Response {
    if !door.takes_clients() {
        Response::text(503, "draining")
    } else if driver.run_stores() == 0 && driver.age() < MAX_LIST_DELAY {
        Response::text(503, "no run store is listed yet")
    } else {
        Response::text(200, "ready")
    }
}
