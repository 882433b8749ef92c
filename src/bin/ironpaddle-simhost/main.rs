//! Hosts the decision module for a simulator. Reads batches of events on standard input, one per line, and writes a
//! reply with commands for each on standard output. It only translates between the simulator's protocol and the module.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use ironpaddle::api::{AttemptEnded, Event, PartId, QueryId, ReplicaId};
use ironpaddle::settings::Names;
use ironpaddle::Router;
use wire::{Batch, Command, Member, Reply, WireEvent};

/// An instance of the decision module, with the indexes of the class and tenant names in its settings.
struct Instance {
    router: Router,
    names: Names,
    /// The events of the current batch.
    events: Vec<Event>,
    /// True if the current batch has an event for this instance, so that it has to take a step.
    has_event: bool,
}

/// The hosted instances and the lists that the simulator has registered.
#[derive(Default)]
struct Host {
    /// The instances by their number (`co-ordinator` in the protocol).
    instances: BTreeMap<u64, Instance>,
    /// The registered lists by their number; a later registration replaces an earlier one.
    sheets: BTreeMap<u32, Vec<Member>>,
}

impl Host {
    /// Returns an instance and marks it for a step in this batch.
    fn instance(&mut self, number: u64) -> Result<&mut Instance, String> {
        let instance = self
            .instances
            .get_mut(&number)
            .ok_or_else(|| format!("no HELLO was received for co-ordinator {number}"))?;
        instance.has_event = true;
        Ok(instance)
    }

    /// Queues an event for an instance.
    fn push(&mut self, number: u64, event: Event) -> Result<(), String> {
        self.instance(number)?.events.push(event);
        Ok(())
    }

    /// Applies one event of the protocol.
    fn apply(&mut self, now: f64, event: WireEvent) -> Result<(), String> {
        match event {
            WireEvent::Hello { instance, entropy, site } => {
                let router = Router::new(site.router_settings(), entropy)
                    .map_err(|error| format!("HELLO of co-ordinator {instance}: {error}"))?;
                let names = site.names();
                let new_instance = Instance { router, names, events: Vec::new(), has_event: true };
                self.instances.insert(instance, new_instance);
                Ok(())
            }
            WireEvent::Register { sheet, members_list } => {
                self.sheets.insert(sheet, members_list);
                Ok(())
            }
            WireEvent::Registry { instance, sheet, kind } => {
                let lines = sheet.and_then(|number| self.sheets.get(&number));
                let update = wire::list_update(kind, lines)
                    .ok_or_else(|| format!("REGISTRY: sheet {sheet:?} is not defined"))?;
                self.push(instance, Event::List(update))
            }
            WireEvent::Accept(accept) => {
                let instance = self.instance(accept.instance)?;
                let event = accept.event(&instance.names, now).map_err(|e| format!("ACCEPT: {e}"))?;
                instance.events.push(event);
                Ok(())
            }
            WireEvent::ClosedAttempt {
                instance,
                request_id,
                delay_seen_ms,
                replica,
                status,
                attempt,
                report,
            } => {
                let event = Event::AttemptEnded(AttemptEnded {
                    part: PartId::from(request_id.as_str()),
                    attempt: ironpaddle::api::Attempt(attempt),
                    replica: ReplicaId::from(replica.as_str()),
                    outcome: status.outcome(),
                    latency: delay_seen_ms,
                    load: report.map(wire::Report::load),
                });
                self.push(instance, event)
            }
            WireEvent::Lapsed { instance, request_id } => {
                self.push(instance, Event::ClientGone(QueryId::from(request_id.as_str())))
            }
            WireEvent::Checked { instance, replica, status, report } => {
                let event = Event::ProbeEnded {
                    replica: ReplicaId::from(replica.as_str()),
                    ok: matches!(status, wire::Status::Completed),
                    load: report.map(wire::Report::load),
                };
                self.push(instance, event)
            }
            WireEvent::Heard { instance } | WireEvent::First { instance } => {
                self.instance(instance).map(|_| ())
            }
            WireEvent::TickDue { instance } => self.push(instance, Event::Wake),
            WireEvent::Down { instance } => {
                self.instance(instance)?;
                self.instances.remove(&instance);
                Ok(())
            }
        }
    }

    /// Applies a batch and steps each instance that it addresses. A panic of the module becomes an `INTERNAL_ERROR`.
    fn apply_batch(&mut self, batch: Batch) -> Result<Reply, String> {
        for event in batch.events {
            self.apply(batch.now_ms, event)?;
        }
        let mut cmds = Vec::new();
        for (&number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.has_event) {
                continue;
            }
            let events = std::mem::take(&mut instance.events);
            let router = &mut instance.router;
            match catch_unwind(AssertUnwindSafe(|| router.step(batch.now_ms, events))) {
                Ok(actions) => {
                    cmds.extend(actions.into_iter().map(|action| wire::command(number, action)));
                }
                Err(cause) => {
                    let text = cause
                        .downcast_ref::<String>()
                        .map(String::as_str)
                        .or_else(|| cause.downcast_ref::<&str>().copied())
                        .unwrap_or("panic")
                        .to_string();
                    cmds.push(Command::InternalError { instance: number, text });
                }
            }
        }
        Ok(Reply { seq: batch.seq, cmds })
    }
}

/// Answers each line of standard input until it ends or a batch is not valid.
fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let at = |what: String| format!("batch {}: {what}", index + 1);
        let line = line.map_err(|error| at(error.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let batch = serde_json::from_str(&line).map_err(|error| at(error.to_string()))?;
        let reply = host.apply_batch(batch).map_err(at)?;
        let text = serde_json::to_string(&reply).map_err(|error| at(error.to_string()))?;
        writeln!(out, "{text}").and_then(|()| out.flush()).map_err(|e| at(e.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("ironpaddle-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
