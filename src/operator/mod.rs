//! Operators' calls, on an address of their own: what clients do there delays none of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_net::TcpListener;

use crate::api::ReplicaId;
use crate::core::drive::Driver;
use crate::counters;
use crate::handover::{Wire, Word};
use crate::http::door::Door;
use crate::http::inbox::Arrived;
use crate::http::parse::{Bad, Message};
use crate::http::server::{Handler, Limits, Local, Refused, Server};
use crate::http::target::Target;
use crate::http::write::Response;
use crate::log;

/// The time for one call, and its connection.
const CALL: Duration = Duration::from_secs(2);
/// Calls at once, out of the descriptors that are kept back.
const CONNECTIONS: usize = 32;

/// What operators may call for.
pub struct Operator {
    driver: Rc<Driver>,
    door: Rc<Door>,
    wire: Rc<Wire>,
}

impl Operator {
    /// Calls that act on a driver and the clients' door, and of which another process hears.
    pub fn new(driver: Rc<Driver>, door: Rc<Door>, wire: Rc<Wire>) -> Self {
        Operator { driver, door, wire }
    }

    /// Serves calls on a listener.
    pub async fn serve(self, executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
        let limits = Limits { connections: CONNECTIONS, idle: CALL, request: CALL, write: CALL, keep: false };
        let server = Server::new("operator", executor, Box::new(self), limits, Rc::default());
        server.accept(listener).await;
    }

    fn call(&self, method: &str, target: &str) -> Response {
        let Some(target) = Target::read(target) else {
            return Response::text(400, "an escape in the path is malformed");
        };
        let words: Vec<&str> = target.path.iter().map(String::as_str).collect();
        match (method, &words[..]) {
            // A process that listens here serves; whether it wants clients is told at their address.
            ("GET", ["healthcheck"]) => yes("ready"),
            ("GET", ["stats"]) => Response::text(200, &self.stats()),
            ("PUT", ["run-stores", id, "maint"]) => self.by_hand(id, true),
            ("PUT", ["run-stores", id, "ready"]) => self.by_hand(id, false),
            ("PUT", ["healthcheck", "fail"]) => self.turn(true, "draining"),
            ("PUT", ["healthcheck", "ok"]) => self.turn(false, "ready"),
            ("GET", ["trace"]) => self.trace(|_| Ok(())),
            ("PUT", ["trace", "start"]) => self.trace(|driver| driver.record(true)),
            ("PUT", ["trace", "stop"]) => self.trace(|driver| driver.record(false)),
            ("PUT", ["trace", "rotate"]) => self.trace(|driver| {
                driver.rotate();
                Ok(())
            }),
            (_, ["trace", "start" | "stop" | "rotate"]) => wrong_method("PUT"),
            (_, ["healthcheck"] | ["stats"] | ["trace"]) => wrong_method("GET"),
            (_, ["healthcheck", "fail" | "ok"] | ["run-stores", _, "maint" | "ready"]) => wrong_method("PUT"),
            _ => Response::text(404, "no such call"),
        }
    }

    fn stats(&self) -> String {
        counters::stats(&self.driver.counters(), &self.driver.gauges())
    }

    /// The recording: what to do with it, and then how it stands, as JSON.
    fn trace(&self, act: impl FnOnce(&Rc<Driver>) -> Result<(), String>) -> Response {
        let Some(control) = self.driver.recording() else {
            return Response::text(409, "the configuration has no key trace");
        };
        if let Err(why) = act(&self.driver) {
            return Response::text(500, &why);
        }
        match serde_json::to_vec(&control.status()) {
            Ok(body) => Response::new(200, "application/json", body),
            Err(why) => Response::text(500, &why.to_string()),
        }
    }

    fn by_hand(&self, id: &str, out: bool) -> Response {
        let (at, id) = (self.driver.now(), ReplicaId::from(id));
        if !self.driver.set_manual_drain(at, &id, out) {
            return Response::text(404, "no such run store was ever listed");
        }
        self.wire.say(if out { Word::Out(id.clone()) } else { Word::Back(id.clone(), at) });
        let word = if out { "out" } else { "back" };
        log::line(&format!("operator: {} {word}", id.0));
        yes(word)
    }

    fn turn(&self, shut: bool, word: &str) -> Response {
        if !self.door.by_hand(shut) {
            return Response::text(409, "this process is to end");
        }
        log::line(&format!("operator: {word}"));
        yes(word)
    }
}

fn yes(word: &str) -> Response {
    Response::text(200, word)
}

fn wrong_method(spoken: &str) -> Response {
    Response::text(405, &format!("this is a {spoken} call")).with("Allow", spoken)
}

impl Handler for Operator {
    fn handle(&self, request: Arrived, _: Receiver<Instant>) -> Local<Response> {
        let request = request.message;
        let (method, target) = (&request.start.0, &request.start.1);
        if method == "PUT" {
            self.driver.note_call(target);
        }
        let response = self.call(method, target);
        Box::pin(async move { response })
    }

    fn bad(&self, bad: Bad) -> Response {
        Response::text(bad.status(), &bad.to_string())
    }

    /// All calls are answered at once.
    fn waits(&self, _: &Message) -> Option<Duration> {
        None
    }

    fn refuse(&self, why: Refused) -> Response {
        Response::text(503, why.text())
    }
}
