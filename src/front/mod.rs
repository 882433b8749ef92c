//! The fronts: a client's request in, its final answer out.

pub mod opensearch;
pub mod platform;

use crate::http::door::Door;
use crate::http::write::Response;

/// The answer to the layer in front of the aggregators, which asks whether to send clients here.
fn health(door: &Door) -> Response {
    if door.takes_clients() {
        Response::text(200, "ready")
    } else {
        Response::text(503, "draining")
    }
}
