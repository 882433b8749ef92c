//! Stage 2, admit: passes a query on to the router, unless the limit on open queries and parts is reached or no run
//! store is listed.

use super::ledger::{Ledger, Part, Query};
use super::{Command, Core, FinalAnswer, QueryNo, QueryRequest};
use crate::api::{Cause, ClassIndex, Event, Millis, NewPart, NewQuery, PartId, Shard, TenantIndex};
use crate::query_ids::IdHash;

impl Core {
    /// Records a query and passes it to the router, or refuses it: at the limit, after its deadline, or while the list
    /// is empty.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        no: QueryNo,
        class: usize,
        deadline: Millis,
        request: QueryRequest,
    ) {
        if let Some(cause) = self.refusal_cause(now, deadline) {
            self.counters.turned_away += 1;
            let final_answer = FinalAnswer::Refused { retry_after: self.retry_advice(now, class), cause };
            self.counters.count_answer(&self.classes.get(class).name, &final_answer);
            self.trace_refused(now, no, class, &request, (deadline, cause));
            self.log_cause(now, class, cause);
            self.commands.push_back(Command::Answer { query: no, answer: final_answer });
            return;
        }
        self.note_admitted(now, class);
        let id = Ledger::query_id(no);
        let tenant = request.tenant.as_ref().and_then(|name| self.tenants.get_key_value(name.as_str()));
        let (group, tenant) = tenant.map(|(name, index)| (name.clone(), *index)).unzip();
        self.trace_accepted(now, no, class, &request, deadline);
        self.pending_events.push(Event::Query(NewQuery {
            id: id.clone(),
            number: no.0,
            class: ClassIndex(class),
            tenant: tenant.map(TenantIndex),
            key: None,
            arrived: now,
            deadline,
            parts: request.parts.len() as u32,
            client_retry: request.is_retry,
        }));
        let mut parts = Vec::with_capacity(request.parts.len());
        for part in request.parts {
            let part_id = PartId::from(format!("q{}.{}", no.0, part.shard).as_str());
            self.pending_events.push(Event::Part(NewPart {
                id: part_id.clone(),
                query: no.0,
                shard: Shard(part.shard),
                weight: part.weight,
                cost_hint: part.work_hint,
                key: part.key,
            }));
            let (shard, weight) = (part.shard, part.weight);
            let record = Part {
                query: no,
                shard,
                weight,
                attempts: 0,
                outstanding: 0,
                maybe_outstanding: false,
                may_have_run: None,
                value: None,
            };
            self.ledger.parts.insert(part_id.clone(), record);
            self.ledger.open_parts += 1;
            parts.push(part_id);
        }
        self.ledger.query_numbers.insert(id, no);
        let QueryRequest { id: client_id, unique_id, accepts_partial, key, payload, .. } = request;
        let unique_id = unique_id.then(|| IdHash::of(&client_id));
        if let Some(id) = unique_id {
            self.query_ids.open(id);
        }
        let query = Query {
            client_id,
            unique_id,
            class,
            group,
            accepted: now,
            deadline,
            accepts_partial,
            key,
            payload,
            parts,
        };
        self.ledger.queries.insert(no, query);
        self.ledger.deadlines.insert(no, deadline);
    }

    /// Returns why a query with this deadline is refused before the router sees it, which is safe as none of its parts
    /// has run; `None` if it is not.
    fn refusal_cause(&self, now: Millis, deadline: Millis) -> Option<Cause> {
        if deadline <= now {
            return Some(Cause::Overdue);
        }
        // The router would hold the query until its deadline.
        if self.is_list_empty() {
            return Some(Cause::NoList);
        }
        // The memory held stays bounded under any load.
        let held = self.ledger.open_work() + self.held_elsewhere;
        (held >= self.max_open).then_some(Cause::MaxOpen)
    }
}
