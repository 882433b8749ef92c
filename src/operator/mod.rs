//! The operators' HTTP interface. It has its own address, so that load from clients does not delay operators' calls.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_net::TcpListener;

use crate::api::ReplicaId;
use crate::core::drive::Driver;
use crate::counters;
use crate::handover::{Message, PeerSender};
use crate::http::client_gate::ClientGate;
use crate::http::inbox::ReceivedRequest;
use crate::http::parse::{self, MessageError};
use crate::http::server::{Handler, Limits, LocalBoxFuture, RefusalReason, Server};
use crate::http::target::Target;
use crate::http::write::Response;
use crate::log;
use crate::memory::RequestMemory;

/// The timeout for one call, including its connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of concurrent calls. Their descriptors come from the reserve for everything but clients and run
/// stores.
const MAX_CONNECTIONS: usize = 32;
/// Memory for calls that exceed the allowance of their connection, in bytes. Calls have no body.
const REQUEST_MEMORY_POOL: usize = 64 * 1024;

/// Handles operators' calls.
pub struct OperatorApi {
    driver: Rc<Driver>,
    client_gate: Rc<ClientGate>,
    peer: Rc<PeerSender>,
}

impl OperatorApi {
    /// Creates a handler that acts on `driver` and `client_gate`, and forwards manual drains over `peer` to the other
    /// process during a handover.
    pub fn new(driver: Rc<Driver>, client_gate: Rc<ClientGate>, peer: Rc<PeerSender>) -> Self {
        OperatorApi { driver, client_gate, peer }
    }

    /// Accepts and answers calls on `listener`.
    pub async fn serve(self, executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
        let limits = Limits {
            max_connections: MAX_CONNECTIONS,
            idle_timeout: CALL_TIMEOUT,
            request_timeout: CALL_TIMEOUT,
            write_timeout: CALL_TIMEOUT,
            keep_alive: false,
        };
        let server = Server::new(
            "operator",
            executor,
            Box::new(self),
            limits,
            RequestMemory::with_pool(REQUEST_MEMORY_POOL),
            Rc::default(),
        );
        server.accept(listener).await;
    }

    /// Routes a call by its method and path.
    fn route(&self, method: &str, target: &str) -> Response {
        let Some(target) = Target::read(target) else {
            return Response::text(400, "the path contains a malformed percent-escape");
        };
        let segments: Vec<&str> = target.path.iter().map(String::as_str).collect();
        match (method, &segments[..]) {
            // The process is healthy if it answers here. `/healthz` on the clients' address says whether it takes
            // clients.
            ("GET", ["healthcheck"]) => ok("ready"),
            ("GET", ["stats"]) => Response::text(200, &self.stats()),
            ("PUT", ["run-stores", id, "maint"]) => self.set_manual_drain(id, true),
            ("PUT", ["run-stores", id, "ready"]) => self.set_manual_drain(id, false),
            ("PUT", ["healthcheck", "fail"]) => self.set_shut(true, "draining"),
            ("PUT", ["healthcheck", "ok"]) => self.set_shut(false, "ready"),
            ("GET", ["trace"]) => self.trace(|_| Ok(())),
            ("PUT", ["trace", "start"]) => self.trace(|driver| driver.switch_recording(true)),
            ("PUT", ["trace", "stop"]) => self.trace(|driver| driver.switch_recording(false)),
            ("PUT", ["trace", "rotate"]) => self.trace(|driver| {
                driver.rotate();
                Ok(())
            }),
            (_, ["trace", "start" | "stop" | "rotate"]) => method_not_allowed("PUT"),
            (_, ["healthcheck"] | ["stats"] | ["trace"]) => method_not_allowed("GET"),
            (_, ["healthcheck", "fail" | "ok"] | ["run-stores", _, "maint" | "ready"]) => {
                method_not_allowed("PUT")
            }
            _ => Response::text(404, "unknown path"),
        }
    }

    fn stats(&self) -> String {
        counters::statsd(&self.driver.counters(), &self.driver.gauges())
    }

    /// Applies an action to the trace recording and returns the recording's status as JSON.
    fn trace(&self, action: impl FnOnce(&Rc<Driver>) -> Result<(), String>) -> Response {
        let Some(control) = self.driver.trace_control() else {
            return Response::text(409, "trace recording is not configured (key trace)");
        };
        if let Err(why) = action(&self.driver) {
            return Response::text(500, &why);
        }
        match serde_json::to_vec(&control.status()) {
            Ok(body) => Response::new(200, "application/json", body),
            Err(why) => Response::text(500, &why.to_string()),
        }
    }

    /// Drains a run store manually (`out`) or ends its manual drain, here and in the other process of a handover.
    fn set_manual_drain(&self, id: &str, out: bool) -> Response {
        let (at, id) = (self.driver.now(), ReplicaId::from(id));
        if !self.driver.set_manual_drain(at, &id, out) {
            return Response::text(404, "unknown run store");
        }
        self.peer.send(if out {
            Message::DrainRunStore(id.clone())
        } else {
            Message::UndrainRunStore(id.clone(), at)
        });
        let status = if out { "out" } else { "back" };
        log::line(&format!("operator: {} {status}", id.0));
        ok(status)
    }

    /// Shuts clients out or lets them in again.
    fn set_shut(&self, shut: bool, status: &str) -> Response {
        if !self.client_gate.set_closed_by_operator(shut) {
            return Response::text(409, "this process is shutting down or has handed over");
        }
        log::line(&format!("operator: {status}"));
        ok(status)
    }
}

fn ok(status: &str) -> Response {
    Response::text(200, status)
}

fn method_not_allowed(allowed: &str) -> Response {
    Response::text(405, &format!("method not allowed: use {allowed}")).with("Allow", allowed)
}

impl Handler for OperatorApi {
    fn handle(&self, request: ReceivedRequest, _: Receiver<Instant>) -> LocalBoxFuture<Response> {
        let request = request.message;
        let (method, target) = (&request.start.0, &request.start.1);
        if method == "PUT" {
            self.driver.note_call(target);
        }
        let response = self.route(method, target);
        Box::pin(async move { response })
    }

    fn error_response(&self, bad: MessageError) -> Response {
        Response::text(bad.status(), &bad.to_string())
    }

    /// Returns no timeout, as all calls are answered immediately.
    fn client_timeout(&self, _: &parse::Message) -> Option<Duration> {
        None
    }

    fn refuse(&self, why: RefusalReason) -> Response {
        Response::text(503, why.text())
    }
}
