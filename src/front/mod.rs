//! The fronts: each translates the requests of one client API into queries, and final answers into responses.

pub mod opensearch;
pub mod platform;

use crate::asking::MAX_LIST_DELAY;
use crate::core::drive::Driver;
use crate::http::client_gate::ClientGate;
use crate::http::headers::Headers;
use crate::http::write::Response;

/// The longest accepted `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Returns the `Idempotency-Key` of a query whose class requires one, as it is forwarded to run stores.
///
/// In the frames sent to run stores a comma or a blank would end the key. Two keys are refused as ambiguous.
fn idempotency_key(headers: &Headers) -> Result<&str, String> {
    let mut all = headers.all("idempotency-key");
    let key = all.next().ok_or("Idempotency-Key is missing, which queries of this class need")?;
    if all.next().is_some() {
        return Err("Idempotency-Key is given more than once".into());
    }
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(is_allowed) {
        return Err(format!(
            "Idempotency-Key must be 1 to {MAX_KEY_BYTES} visible characters other than a comma"
        ));
    }
    Ok(key)
}

/// Answers the health check of the load balancer in front of the aggregators.
///
/// Without any list of run stores the check fails only during the first `TOLD_WITHIN` after the start, in which a
/// reachable discovery service delivers it. After that the list may stay away for long, and it is better to refuse
/// clients with a retry time than to hide an aggregator that can serve as soon as the list arrives.
fn health(client_gate: &ClientGate, driver: &Driver) -> Response {
    if !client_gate.accepts_clients() {
        Response::text(503, "draining")
    } else if driver.run_stores() == 0 && driver.age() < MAX_LIST_DELAY {
        Response::text(503, "no run store is listed yet")
    } else {
        Response::text(200, "ready")
    }
}
