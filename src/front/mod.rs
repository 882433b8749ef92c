//! The fronts: a client's request in, its final answer out.

pub mod opensearch;
pub mod platform;

use crate::core::drive::Driver;
use crate::http::door::Door;
use crate::http::write::Response;

/// The answer to the layer in front of the aggregators, which asks whether to send clients here.
fn health(door: &Door, driver: &Driver) -> Response {
    if !door.takes_clients() {
        Response::text(503, "draining")
    } else if driver.run_stores() == 0 {
        Response::text(503, "no run store is listed yet")
    } else {
        Response::text(200, "ready")
    }
}
