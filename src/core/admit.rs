//! Stage 2, admit: passes a query on to the router, unless the limit on open queries and parts is reached.

use super::ledger::{Ledger, Part, Query};
use super::{Command, Core, FinalAnswer, QueryNo, QueryRequest};
use crate::api::{Cause, ClassIndex, Event, Millis, NewPart, NewQuery, PartId, Shard, TenantIndex};

impl Core {
    pub(super) fn admit(
        &mut self,
        now: Millis,
        no: QueryNo,
        class: usize,
        deadline: Millis,
        ask: QueryRequest,
    ) {
        // At the limit a query is refused before the router sees it, so that the memory held stays bounded
        // under any load. None of its parts has run, so a refusal is safe.
        let late = deadline <= now;
        if self.ledger.open() + self.held_elsewhere >= self.max_open || late {
            self.counters.turned_away += 1;
            let cause = if late { Cause::Overdue } else { Cause::MaxOpen };
            let verdict = FinalAnswer::Refused { retry_after: self.advice(now, class), cause };
            self.counters.answered(&self.classes.at(class).name, &verdict);
            self.trace_turned_away(now, no, class, &ask, (deadline, cause));
            self.say_cause(now, class, cause);
            self.commands.push_back(Command::Answer { query: no, answer: verdict });
            return;
        }
        self.taken_up(now, class);
        let id = Ledger::query_id(no);
        let tenant = ask.tenant.as_ref().and_then(|name| self.tenants.get_key_value(name.as_str()));
        let (group, tenant) = tenant.map(|(name, at)| (name.clone(), *at)).unzip();
        self.trace_taken(now, no, class, &ask, deadline);
        self.inbox.push(Event::Query(NewQuery {
            id: id.clone(),
            number: no.0,
            class: ClassIndex(class),
            tenant: tenant.map(TenantIndex),
            key: None,
            arrived: now,
            deadline,
            parts: ask.parts.len() as u32,
            client_retry: ask.retried,
        }));
        let mut parts = Vec::with_capacity(ask.parts.len());
        for part in ask.parts {
            let part_id = PartId::from(format!("q{}.{}", no.0, part.shard).as_str());
            self.inbox.push(Event::Part(NewPart {
                id: part_id.clone(),
                query: no.0,
                shard: Shard(part.shard),
                weight: part.weight,
                cost_hint: part.hint,
                key: part.key,
            }));
            let (shard, weight) = (part.shard, part.weight);
            let record = Part {
                query: no,
                shard,
                weight,
                attempts: 0,
                out: 0,
                unproved: false,
                may_have_run: None,
                value: None,
            };
            self.ledger.parts.insert(part_id.clone(), record);
            self.ledger.open_parts += 1;
            parts.push(part_id);
        }
        self.ledger.numbers.insert(id, no);
        let QueryRequest { id: client_id, partial, key, text, .. } = ask;
        let query = Query { client_id, class, group, taken: now, deadline, partial, key, text, parts };
        self.ledger.queries.insert(no, query);
        self.ledger.deadlines.insert(no, deadline);
    }
}
