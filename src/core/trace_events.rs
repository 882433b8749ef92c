//! The events that the core writes to a trace, while one is recorded.

use std::collections::BTreeMap;
use std::sync::Arc;

use ironpaddle_trace::record::{How, Progress};

use super::{ActiveSettings, Call, Core, FinalAnswer, QueryNo, QueryRequest, TraceWriter};
use crate::api::{Cause, Millis};
use crate::trace::writer::QueryEnd;
use crate::trace::MODULE;

/// Returns how the trace records a final answer.
pub(super) fn how_ended(final_answer: &FinalAnswer) -> How {
    match final_answer {
        FinalAnswer::Served { whole: true, .. } => How::Whole,
        FinalAnswer::Served { whole: false, .. } => How::Partial,
        FinalAnswer::Refused { .. } => How::Refused,
        FinalAnswer::Failed { .. } => How::Failed,
    }
}

/// Returns the tenant group of a query, if the settings contain it.
fn group_of<'a>(groups: &'a BTreeMap<Arc<str>, usize>, request: &QueryRequest) -> Option<&'a Arc<str>> {
    groups.get_key_value(request.tenant.as_deref()?).map(|(name, _)| name)
}

impl Core {
    /// Starts or stops recording to a trace writer, and returns the previous one.
    pub fn set_trace_writer(
        &mut self,
        now: Millis,
        trace_writer: Option<TraceWriter>,
    ) -> Option<TraceWriter> {
        let previous = std::mem::replace(&mut self.trace_writer, trace_writer.map(Box::new));
        self.trace_segment(now);
        previous.map(|trace_writer| *trace_writer)
    }

    /// Returns the trace writer, while a trace is recorded.
    pub fn trace_writer(&mut self) -> Option<&mut TraceWriter> {
        self.trace_writer.as_deref_mut()
    }

    /// Writes the counters to the trace if their interval has passed.
    pub fn trace_counters(&mut self, now: Millis) {
        if let Some(trace_writer) = &mut self.trace_writer {
            trace_writer.counts(now, &self.counters, self.ledger.queries.len(), false);
        }
    }

    /// Ends the trace with the last counters.
    pub fn finish_trace(&mut self, now: Millis) {
        if let Some(trace_writer) = &mut self.trace_writer {
            trace_writer.counts(now, &self.counters, self.ledger.queries.len(), true);
            trace_writer.end(now);
        }
    }

    /// Returns the settings in force, as the trace records them.
    fn active_settings(&self) -> ActiveSettings<'_> {
        let mut groups: Vec<_> = self.tenants.iter().map(|(name, at)| (*at, name.clone())).collect();
        groups.sort_unstable();
        ActiveSettings {
            settings: &self.settings,
            text: serde_json::to_string(&self.site).unwrap_or_default(),
            classes: self.classes.router_class_names(),
            groups: groups.into_iter().map(|(_, name)| name).collect(),
        }
    }

    /// Begins a new segment of the trace if the writer wants one. This is done between two steps, when the
    /// router's serialized state is complete.
    pub(super) fn trace_segment(&mut self, now: Millis) {
        if !self.trace_writer.as_ref().is_some_and(|trace_writer| trace_writer.wants_segment(now)) {
            return;
        }
        if let Some(mut trace_writer) = self.trace_writer.take() {
            if let Ok(state) = postcard::to_stdvec(&self.router) {
                trace_writer.begin(now, *MODULE, state, self.active_settings());
            }
            self.trace_writer = Some(trace_writer);
        }
    }

    /// Records a change of settings.
    pub(super) fn trace_settings(&mut self) {
        if let Some(mut trace_writer) = self.trace_writer.take() {
            trace_writer.settings(self.active_settings());
            self.trace_writer = Some(trace_writer);
        }
    }

    /// Records an accepted query.
    pub(super) fn trace_accepted(
        &mut self,
        now: Millis,
        no: QueryNo,
        class: usize,
        request: &QueryRequest,
        deadline: Millis,
    ) {
        if let Some(trace_writer) = &mut self.trace_writer {
            let (class, group) = (&self.classes.get(class).name, group_of(&self.tenants, request));
            trace_writer.taken(
                now,
                (no.0, &request.id),
                class,
                group,
                (request.parts.len(), deadline - now, request.is_retry),
            );
        }
    }

    /// Records a query that is refused before the router sees it.
    pub(super) fn trace_refused(
        &mut self,
        now: Millis,
        no: QueryNo,
        class: usize,
        request: &QueryRequest,
        (deadline, cause): (Millis, Cause),
    ) {
        self.trace_accepted(now, no, class, request, deadline);
        if let Some(trace_writer) = &mut self.trace_writer {
            trace_writer.verdict(
                now,
                &QueryEnd {
                    query: no.0,
                    class: &self.classes.get(class).name,
                    group: group_of(&self.tenants, request),
                    taken: now,
                    how: How::Refused,
                    cause: Some(cause),
                    parts_in: 0,
                    parts: request.parts.len(),
                },
            );
        }
    }

    /// Records a request that was answered with an error before it became a query.
    pub fn note_invalid_request(&mut self, now: Millis, class: &str) {
        self.counters.count_invalid_request(class);
        if let Some(trace_writer) = &mut self.trace_writer {
            trace_writer.not_taken(now, self.classes.names().find(|name| ***name == *class));
        }
    }

    /// Records the progress of an attempt on its connection.
    pub fn trace_progress(&mut self, now: Millis, call: &Call, progress: Progress) {
        if let Some(trace_writer) = &mut self.trace_writer {
            trace_writer.wire(now, call.query_attempt.0 .0, call.shard, call.query_attempt.1, progress);
        }
    }

    /// Records the end of a query that is still open.
    pub(super) fn trace_query_end(&mut self, now: Millis, no: QueryNo, how: How, cause: Option<Cause>) {
        let Some(trace_writer) = &mut self.trace_writer else { return };
        let Some(query) = self.ledger.queries.get(&no) else { return };
        let is_answered = |id: &&_| self.ledger.parts.get(id).is_some_and(|part| part.value.is_some());
        trace_writer.verdict(
            now,
            &QueryEnd {
                query: no.0,
                class: &self.classes.get(query.class).name,
                group: query.group.as_ref(),
                taken: query.accepted,
                how,
                cause,
                parts_in: query.parts.iter().filter(is_answered).count(),
                parts: query.parts.len(),
            },
        );
    }
}
