//! What the core tells a recording, where one is on.

use std::collections::BTreeMap;
use std::sync::Arc;

use ironpaddle_trace::record::{How, Progress};

use super::{Ask, Call, Core, InForce, QueryNo, Tape, Verdict};
use crate::api::{Cause, Millis};
use crate::trace::tape::Ended;
use crate::trace::MODULE;

/// How a verdict counts.
pub(super) fn how(verdict: &Verdict) -> How {
    match verdict {
        Verdict::Served { whole: true, .. } => How::Whole,
        Verdict::Served { whole: false, .. } => How::Partial,
        Verdict::Refused { .. } => How::Refused,
        Verdict::Failed { .. } => How::Failed,
    }
}

/// The group of a query, if the settings name it.
fn group_of<'a>(groups: &'a BTreeMap<Arc<str>, usize>, ask: &Ask) -> Option<&'a Arc<str>> {
    groups.get_key_value(ask.tenant.as_deref()?).map(|(name, _)| name)
}

impl Core {
    /// Records from now on, or no more; gives back the tape that was on.
    pub fn record(&mut self, now: Millis, tape: Option<Tape>) -> Option<Tape> {
        let before = std::mem::replace(&mut self.tape, tape.map(Box::new));
        self.tape_segment(now);
        before.map(|tape| *tape)
    }

    /// The recording, if one is on.
    pub fn tape(&mut self) -> Option<&mut Tape> {
        self.tape.as_deref_mut()
    }

    /// Records the counts if they are due.
    pub fn tape_due(&mut self, now: Millis) {
        if let Some(tape) = &mut self.tape {
            tape.counts(now, &self.counters, self.ledger.queries.len(), false);
        }
    }

    /// Ends the recording in good order, by the last counts.
    pub fn tape_last(&mut self, now: Millis) {
        if let Some(tape) = &mut self.tape {
            tape.counts(now, &self.counters, self.ledger.queries.len(), true);
            tape.end(now);
        }
    }

    fn in_force(&self) -> InForce<'_> {
        let mut groups: Vec<_> = self.tenants.iter().map(|(name, at)| (*at, name.clone())).collect();
        groups.sort_unstable();
        InForce {
            settings: &self.settings,
            text: serde_json::to_string(&self.info).unwrap_or_default(),
            classes: self.classes.order().iter().map(|name| Arc::from(name.as_str())).collect(),
            groups: groups.into_iter().map(|(_, name)| name).collect(),
        }
    }

    /// Begins a segment if one is due: between two steps, when the module's state is all there is.
    pub(super) fn tape_segment(&mut self, now: Millis) {
        if !self.tape.as_ref().is_some_and(|tape| tape.wants_segment(now)) {
            return;
        }
        if let Some(mut tape) = self.tape.take() {
            if let Ok(state) = postcard::to_stdvec(&self.router) {
                tape.begin(now, *MODULE, state, self.in_force());
            }
            self.tape = Some(tape);
        }
    }

    pub(super) fn tape_settings(&mut self) {
        if let Some(mut tape) = self.tape.take() {
            tape.settings(self.in_force());
            self.tape = Some(tape);
        }
    }

    pub(super) fn tape_taken(&mut self, now: Millis, no: QueryNo, class: usize, ask: &Ask, deadline: Millis) {
        if let Some(tape) = &mut self.tape {
            let (class, group) = (&self.classes.at(class).name, group_of(&self.tenants, ask));
            tape.taken(now, (no.0, &ask.id), class, group, (ask.parts.len(), deadline - now, ask.retried));
        }
    }

    /// A query that is refused before the module hears of it.
    pub(super) fn tape_turned_away(
        &mut self,
        now: Millis,
        no: QueryNo,
        class: usize,
        ask: &Ask,
        (until, cause): (Millis, Cause),
    ) {
        self.tape_taken(now, no, class, ask, until);
        if let Some(tape) = &mut self.tape {
            tape.verdict(
                now,
                &Ended {
                    query: no.0,
                    class: &self.classes.at(class).name,
                    group: group_of(&self.tenants, ask),
                    taken: now,
                    how: How::Refused,
                    cause: Some(cause),
                    parts_in: 0,
                    parts: ask.parts.len(),
                },
            );
        }
    }

    /// A request of a class was answered with an error before it became a query.
    pub fn not_taken(&mut self, now: Millis, class: &str) {
        self.counters.not_taken(class);
        if let Some(tape) = &mut self.tape {
            tape.not_taken(now, self.classes.names().find(|name| ***name == *class));
        }
    }

    /// An attempt has got so far on its connection.
    pub fn progress(&mut self, now: Millis, call: &Call, progress: Progress) {
        if let Some(tape) = &mut self.tape {
            tape.wire(now, call.of.0 .0, call.shard, call.of.1, progress);
        }
    }

    /// The end of a query that is still held.
    pub(super) fn tape_verdict(&mut self, now: Millis, no: QueryNo, how: How, cause: Option<Cause>) {
        let Some(tape) = &mut self.tape else { return };
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let is_in = |id: &&_| self.ledger.parts.get(id).is_some_and(|part| part.value.is_some());
        tape.verdict(
            now,
            &Ended {
                query: no.0,
                class: &self.classes.at(query.class).name,
                group: query.group.as_ref(),
                taken: query.taken,
                how,
                cause,
                parts_in: query.parts.iter().filter(is_in).count(),
                parts: query.parts.len(),
            },
        );
    }
}
