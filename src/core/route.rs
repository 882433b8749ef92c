//! Stage 3, route: steps the router with the pending events and turns its actions into commands.

use std::collections::HashSet;

use super::ledger::RunStoreEntry;
use super::{CallNo, Command, Core, DirectoryUpdate, FinalAnswer, ListedRunStore};
use crate::api::{Action, Event, ListUpdate, Millis, Replica, ReplicaState};
use crate::hash::draw;
use crate::starts::StartSource;

/// Milliseconds after the start within which changes from the directory count as its initial state instead of
/// as new changes.
const INITIAL_STATE_WITHIN: Millis = 200.0;

impl Core {
    /// Passes all events up to `now` to the router and carries out the actions that it returns.
    pub fn step(&mut self, now: Millis) {
        self.trace_segment(now);
        self.end_overdue_queries(now);
        self.release_removed_classes();
        if self.wake_time.is_some_and(|at| at <= now) {
            self.wake_time = None;
            self.pending_events.push(Event::Wake);
        }
        let events = std::mem::take(&mut self.pending_events);
        let traced_events = self.trace_writer.as_mut().map(|trace_writer| trace_writer.events(now, &events));
        let actions = self.router.step(now, events);
        if let Some((trace_writer, traced_events)) = self.trace_writer.as_mut().zip(traced_events) {
            trace_writer.step(now, traced_events, &actions);
        }
        for action in actions {
            self.run_action(now, action);
        }
        // The router has seen the last ends of attempts by now.
        self.end_queries_without_run_stores(now);
        let watch = if self.lists_are_pushed() { &mut self.agent_watch } else { &mut self.service_watch };
        if watch.open_if_due(now) {
            self.commands.push_back(Command::Watch);
        }
    }

    /// Carries out an action of the router.
    fn run_action(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { part, replica, timeout, .. } => self.send(now, part, replica, timeout),
            Action::Cancel { part, attempt, .. } => self.cancel(now, &part, attempt),
            Action::Answer { query, whole } => self.answer_query(now, &query, whole),
            Action::Refuse { query, retry_after, cause } => {
                self.end_query(now, &query, FinalAnswer::Refused { retry_after, cause });
            }
            Action::Fail { query, retry_after, cause } => {
                self.end_query(now, &query, FinalAnswer::Failed { retry_after, cause });
            }
            Action::Probe { replica } => self.probe(replica),
            Action::CloseIdle { replica } => self.commands.push_back(Command::CloseIdle(replica)),
            Action::Subscribe => self.commands.push_back(Command::Watch),
            Action::WakeAt(at) => self.wake_time = Some(self.wake_time.map_or(at, |earlier| earlier.min(at))),
            Action::Log(text) => self.commands.push_back(Command::Log(text)),
        }
    }

    /// Probes a run store, or reports the probe as failed if the run store may not be probed.
    fn probe(&mut self, run_store: crate::api::ReplicaId) {
        let entry = self.ledger.run_stores.get(&run_store);
        // Nothing new is sent to a draining run store, including probes from before the drain.
        let may_probe = entry
            .is_some_and(|entry| entry.location.is_some() && entry.effective.state == ReplicaState::Active);
        // Each run store has at most one outstanding probe: a second one would only add load to a run store
        // in trouble.
        if self.ledger.probes.is_outstanding(&run_store) {
            return;
        }
        if !may_probe {
            self.pending_events.push(Event::ProbeEnded { replica: run_store, ok: false, load: None });
            return;
        }
        let no = CallNo(self.ledger.next_number());
        self.ledger.probes.insert(no, run_store.clone());
        self.counters.probes += 1;
        self.commands.push_back(Command::Probe { run_store, no });
    }

    /// Applies an update of the list of run stores.
    pub fn apply_directory_update(&mut self, mut update: DirectoryUpdate) {
        self.convert_start_times(&mut update);
        let (lines, whole) = match &update {
            DirectoryUpdate::Cached(lines) | DirectoryUpdate::Full(lines) => (lines.as_slice(), true),
            DirectoryUpdate::Changes(lines) => (lines.as_slice(), false),
            // The service's watch schedules its own retry; the router's retry delays are for a service that
            // fails.
            DirectoryUpdate::Silent if !self.lists_are_pushed() => {
                return self.service_watch.mark_silent(draw(&mut self.random_state));
            }
            DirectoryUpdate::Failed | DirectoryUpdate::Silent => {
                self.agent_watch.mark_broken();
                (&[][..], false)
            }
        };
        if whole {
            let listed_ids: HashSet<_> = lines.iter().map(|line| &line.replica.id).collect();
            let missing: Vec<_> =
                self.ledger.run_stores.keys().filter(|id| !listed_ids.contains(id)).cloned().collect();
            for id in missing {
                self.ledger.run_stores.remove(&id);
                self.manual_drains.note_delisted(&id);
                self.start_times.forget(&id);
                self.commands.push_back(Command::Retire(id));
            }
        }
        for line in lines {
            self.locate(line);
        }
        let drains = &self.manual_drains;
        let replicas =
            |lines: Vec<ListedRunStore>| lines.iter().map(|line| drains.apply_to(&line.replica)).collect();
        self.pending_events.push(Event::List(match update {
            DirectoryUpdate::Cached(lines) => ListUpdate::Cached(replicas(lines)),
            DirectoryUpdate::Full(lines) => ListUpdate::Full(replicas(lines)),
            DirectoryUpdate::Changes(lines) => ListUpdate::Changes(replicas(lines)),
            DirectoryUpdate::Failed | DirectoryUpdate::Silent => ListUpdate::Failed,
        }));
    }

    /// Returns the latest list, without operators' manual drains.
    pub fn directory(&self) -> Vec<ListedRunStore> {
        let line = |entry: &RunStoreEntry| {
            let listed = &entry.listed;
            let started = self.start_times.stated(&listed.id).or(listed.started);
            let replica = Replica { started, ..listed.clone() };
            ListedRunStore { replica, address: entry.location.map(|(address, _)| address) }
        };
        self.ledger.run_stores.values().map(line).collect()
    }

    /// Converts the start times that lines state to the process's clock.
    fn convert_start_times(&mut self, update: &mut DirectoryUpdate) {
        let whole = matches!(update, DirectoryUpdate::Full(_));
        let (lines, source) = match update {
            DirectoryUpdate::Cached(lines) => (lines, StartSource::InitialList),
            DirectoryUpdate::Full(lines) | DirectoryUpdate::Changes(lines) => {
                let first = !std::mem::replace(&mut self.list_received, true);
                let source = if first && (whole || self.has_just_started()) {
                    StartSource::InitialList
                } else {
                    StartSource::Update
                };
                (lines, source)
            }
            DirectoryUpdate::Failed | DirectoryUpdate::Silent => return,
        };
        let Some(now) = self.clock else { return };
        let warm_within = self.settings.cold.map_or(0.0, |rule| rule.warm_within);
        for replica in lines.iter_mut().map(|line| &mut line.replica) {
            replica.started = self.start_times.place(&replica.id, replica.started, now, source, warm_within);
        }
    }

    /// Returns whether the process started so recently that no watch can have waited for a change yet.
    fn has_just_started(&self) -> bool {
        let (Some(began), Some(now)) = (self.clock_started, self.clock) else { return true };
        now - began <= INITIAL_STATE_WITHIN
    }

    /// Applies a line of the list to the entry of its run store, and sends the transport what changed.
    fn locate(&mut self, line: &ListedRunStore) {
        let effective = self.manual_drains.apply_to(&line.replica);
        let (id, state) = (effective.id.clone(), effective.state);
        let entry = self.ledger.run_stores.get_mut(&id);
        let previous = entry.as_deref();
        let active_at = previous
            .filter(|entry| entry.effective.state == ReplicaState::Active)
            .and_then(|entry| entry.location);
        let location = line
            .address
            .map(|address| (address, effective.started))
            .or(previous.and_then(|entry| entry.location));
        if state == ReplicaState::Active {
            if let Some((address, started)) = location.filter(|_| active_at != location) {
                self.commands.push_back(Command::Locate { run_store: id.clone(), address, started });
            }
        } else {
            // Calls that are queued or connecting must not start at a drained or removed run store either.
            self.commands.push_back(Command::Retire(id.clone()));
        }
        if state == ReplicaState::Gone {
            // Run stores are continually replaced by new ones with new names, so nothing is kept of removed
            // ones.
            self.ledger.run_stores.remove(&id);
            self.manual_drains.note_delisted(&id);
            self.start_times.forget(&id);
            return;
        }
        let updated = RunStoreEntry { listed: line.replica.clone(), effective, location };
        match entry {
            Some(entry) => *entry = updated,
            None => {
                self.ledger.run_stores.insert(id, updated);
            }
        }
    }
}
