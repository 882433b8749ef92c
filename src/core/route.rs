//! Stage 3, route: the router is stepped with all that came in, and its actions become orders.

use std::collections::HashSet;

use super::ledger::RunStoreEntry;
use super::{CallNo, Command, Core, DirectoryUpdate, FinalAnswer, ListedRunStore};
use crate::api::{Action, Event, ListUpdate, Millis, Replica, ReplicaState};
use crate::hash::draw;
use crate::starts::StartSource;

/// An answer of the directory that comes sooner than this after the start tells what it had before.
const PROMPT: Millis = 200.0;

impl Core {
    /// Hands the router all that happened by `now` and carries out what it says.
    pub fn step(&mut self, now: Millis) {
        self.trace_segment(now);
        self.end_overdue(now);
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.inbox.push(Event::Wake);
        }
        let events = std::mem::take(&mut self.inbox);
        let noted = self.trace_writer.as_mut().map(|trace_writer| trace_writer.events(now, &events));
        let actions = self.router.step(now, events);
        if let Some((trace_writer, noted)) = self.trace_writer.as_mut().zip(noted) {
            trace_writer.step(now, noted, &actions);
        }
        for action in actions {
            self.act(now, action);
        }
        let watching = if self.is_pushed() { &mut self.agent } else { &mut self.service };
        if watching.open_if_due(now) {
            self.commands.push_back(Command::Watch);
        }
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { part, replica, timeout, .. } => self.send(now, part, replica, timeout),
            Action::Cancel { part, attempt, .. } => self.cancel(now, &part, attempt),
            Action::Answer { query, whole } => self.answer(now, &query, whole),
            Action::Refuse { query, retry_after, cause } => {
                self.end(now, &query, FinalAnswer::Refused { retry_after, cause });
            }
            Action::Fail { query, retry_after, cause } => {
                self.end(now, &query, FinalAnswer::Failed { retry_after, cause });
            }
            Action::Probe { replica } => self.probe(replica),
            Action::CloseIdle { replica } => self.commands.push_back(Command::CloseIdle(replica)),
            Action::Subscribe => self.commands.push_back(Command::Watch),
            Action::WakeAt(at) => self.wake = Some(self.wake.map_or(at, |known| known.min(at))),
            Action::Log(text) => self.commands.push_back(Command::Log(text)),
        }
    }

    fn probe(&mut self, replica: crate::api::ReplicaId) {
        let place = self.ledger.run_stores.get(&replica);
        // Nothing new goes to one that drains, a probe of an earlier park included.
        let listed =
            place.is_some_and(|place| place.at.is_some() && place.replica.state == ReplicaState::Active);
        // One probe at a time for each run store: a second would only add load to one in trouble.
        if self.ledger.probes.is_out(&replica) {
            return;
        }
        if !listed {
            self.inbox.push(Event::ProbeEnded { replica, ok: false, load: None });
            return;
        }
        let no = CallNo(self.ledger.number());
        self.ledger.probes.insert(no, replica.clone());
        self.counters.probes += 1;
        self.commands.push_back(Command::Probe { replica, no });
    }

    /// Takes news of the list of run stores.
    pub fn apply_directory_update(&mut self, mut news: DirectoryUpdate) {
        self.place_starts(&mut news);
        let (listed, whole) = match &news {
            DirectoryUpdate::Cached(lines) | DirectoryUpdate::Full(lines) => (lines.as_slice(), true),
            DirectoryUpdate::Changes(lines) => (lines.as_slice(), false),
            // The router's own waits are for a service that fails.
            DirectoryUpdate::Silent if !self.is_pushed() => {
                return self.service.mark_silent(draw(&mut self.chance));
            }
            DirectoryUpdate::Failed | DirectoryUpdate::Silent => {
                self.agent.mark_broken();
                (&[][..], false)
            }
        };
        if whole {
            let named: HashSet<_> = listed.iter().map(|line| &line.replica.id).collect();
            let missing: Vec<_> =
                self.ledger.run_stores.keys().filter(|id| !named.contains(id)).cloned().collect();
            for id in missing {
                self.ledger.run_stores.remove(&id);
                self.manual_drains.forget(&id);
                self.starts.forget(&id);
                self.commands.push_back(Command::Retire(id));
            }
        }
        for line in listed {
            self.locate(line);
        }
        let drains = &self.manual_drains;
        let replicas =
            |lines: Vec<ListedRunStore>| lines.iter().map(|line| drains.over(&line.replica)).collect();
        self.inbox.push(Event::List(match news {
            DirectoryUpdate::Cached(lines) => ListUpdate::Cached(replicas(lines)),
            DirectoryUpdate::Full(lines) => ListUpdate::Full(replicas(lines)),
            DirectoryUpdate::Changes(lines) => ListUpdate::Changes(replicas(lines)),
            DirectoryUpdate::Failed | DirectoryUpdate::Silent => ListUpdate::Failed,
        }));
    }

    /// The list as last told, whatever operators say.
    pub fn directory(&self) -> Vec<ListedRunStore> {
        let line = |place: &RunStoreEntry| {
            let told = &place.listed;
            let started = self.starts.stated(&told.id).or(told.started);
            let replica = Replica { started, ..told.clone() };
            ListedRunStore { replica, address: place.at.map(|(address, _)| address) }
        };
        self.ledger.run_stores.values().map(line).collect()
    }

    /// Places the starts that lines state on the process's clock.
    fn place_starts(&mut self, news: &mut DirectoryUpdate) {
        let whole = matches!(news, DirectoryUpdate::Full(_));
        let (lines, told) = match news {
            DirectoryUpdate::Cached(lines) => (lines, StartSource::InitialList),
            DirectoryUpdate::Full(lines) | DirectoryUpdate::Changes(lines) => {
                let first = !std::mem::replace(&mut self.listed, true);
                let told = if first && (whole || self.is_prompt()) {
                    StartSource::InitialList
                } else {
                    StartSource::Update
                };
                (lines, told)
            }
            DirectoryUpdate::Failed | DirectoryUpdate::Silent => return,
        };
        let Some(now) = self.clock else { return };
        let warm_within = self.settings.cold.map_or(0.0, |rule| rule.warm_within);
        for replica in lines.iter_mut().map(|line| &mut line.replica) {
            replica.started = self.starts.place(&replica.id, replica.started, now, told, warm_within);
        }
    }

    /// Whether no watch can have waited for news yet since the process began.
    fn is_prompt(&self) -> bool {
        let (Some(began), Some(now)) = (self.began, self.clock) else { return true };
        now - began <= PROMPT
    }

    fn locate(&mut self, line: &ListedRunStore) {
        let replica = self.manual_drains.over(&line.replica);
        let (id, state) = (replica.id.clone(), replica.state);
        let place = self.ledger.run_stores.get_mut(&id);
        let before = place.as_deref();
        let known =
            before.filter(|place| place.replica.state == ReplicaState::Active).and_then(|place| place.at);
        let at = line.address.map(|address| (address, replica.started)).or(before.and_then(|place| place.at));
        if state == ReplicaState::Active {
            if let Some((address, started)) = at.filter(|_| known != at) {
                self.commands.push_back(Command::Locate { replica: id.clone(), address, started });
            }
        } else {
            // The drain rule counts queued and connecting sends too.
            self.commands.push_back(Command::Retire(id.clone()));
        }
        if state == ReplicaState::Gone {
            // Run stores are replaced by new ones with new names all day: nothing is kept of the old ones.
            self.ledger.run_stores.remove(&id);
            self.manual_drains.forget(&id);
            self.starts.forget(&id);
            return;
        }
        let now = RunStoreEntry { listed: line.replica.clone(), replica, at };
        match place {
            Some(place) => *place = now,
            None => {
                self.ledger.run_stores.insert(id, now);
            }
        }
    }
}
