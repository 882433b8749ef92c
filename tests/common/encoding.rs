//! Encodes actions of the router without the Rust names of their types, so that a digest of the encoding stays the same
//! when a type, variant or field is renamed.
//!
//! All matches name each variant and field, without `..` or `_`, so that a new one does not compile before it is
//! encoded here.

use std::fmt::Write;

use ironpaddle::api::{
    Action, Attempt, AttemptReason, Cause, Outcome, PartId, QueryId, ReplicaChoice, ReplicaId, Shard,
};

/// Encodes actions as decimal numbers separated by spaces: their count, then each action.
///
/// An enum is written as a number for its variant, which is its position in the definition, followed by the variant's
/// fields in order. Floats are written as their bits, texts as their length and bytes. Two lists of actions have the
/// same encoding only if they are equal to the bit.
pub fn encode(actions: &[Action]) -> String {
    let mut encoder = Encoder(String::new());
    encoder.number(actions.len() as u64);
    actions.iter().for_each(|action| encoder.action(action));
    encoder.0
}

/// Collects the encoding.
struct Encoder(String);

impl Encoder {
    fn number(&mut self, number: u64) {
        let separator = if self.0.is_empty() { "" } else { " " };
        write!(self.0, "{separator}{number}").expect("writing to a string does not fail");
    }

    fn flag(&mut self, flag: bool) {
        self.number(u64::from(flag));
    }

    fn float(&mut self, float: f64) {
        self.number(float.to_bits());
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        text.bytes().for_each(|byte| self.number(u64::from(byte)));
    }

    fn part(&mut self, PartId(id): &PartId) {
        self.text(id);
    }

    fn query(&mut self, QueryId(id): &QueryId) {
        self.text(id);
    }

    fn replica(&mut self, ReplicaId(id): &ReplicaId) {
        self.text(id);
    }

    fn attempt(&mut self, Attempt(number): Attempt) {
        self.number(u64::from(number));
    }

    fn shard(&mut self, Shard(number): Shard) {
        self.number(u64::from(number));
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send { part, replica, timeout, reason, choice } => {
                self.number(0);
                self.part(part);
                self.replica(replica);
                self.float(*timeout);
                self.reason(*reason);
                self.choice(*choice);
            }
            Action::Cancel { part, attempt, reason } => {
                self.number(1);
                self.part(part);
                self.attempt(*attempt);
                self.reason(*reason);
            }
            Action::Answer { query, whole } => {
                self.number(2);
                self.query(query);
                self.flag(*whole);
            }
            Action::Refuse { query, retry_after, cause } => {
                self.number(3);
                self.query(query);
                self.float(*retry_after);
                self.cause(*cause);
            }
            Action::Fail { query, retry_after, cause } => {
                self.number(4);
                self.query(query);
                self.float(*retry_after);
                self.cause(*cause);
            }
            Action::Probe { replica } => {
                self.number(5);
                self.replica(replica);
            }
            Action::CloseIdle { replica } => {
                self.number(6);
                self.replica(replica);
            }
            Action::Subscribe => self.number(7),
            Action::WakeAt(time) => {
                self.number(8);
                self.float(*time);
            }
            Action::Log(line) => {
                self.number(9);
                self.text(line);
            }
        }
    }

    fn reason(&mut self, reason: AttemptReason) {
        match reason {
            AttemptReason::First => self.number(0),
            AttemptReason::After(outcome) => {
                self.number(1);
                self.outcome(outcome);
            }
            AttemptReason::Silent => self.number(2),
            AttemptReason::Overtaken => self.number(3),
            AttemptReason::Dropped => self.number(4),
            AttemptReason::Over => self.number(5),
        }
    }

    fn choice(&mut self, choice: ReplicaChoice) {
        self.number(match choice {
            ReplicaChoice::LeastFinish => 0,
            ReplicaChoice::OnlyCandidate => 1,
            ReplicaChoice::BestParked => 2,
        });
    }

    fn outcome(&mut self, outcome: Outcome) {
        self.number(match outcome {
            Outcome::Completed => 0,
            Outcome::Errored => 1,
            Outcome::Rejected => 2,
            Outcome::TimedOut => 3,
            Outcome::ConnectFailed => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::NotSent => 7,
        });
    }

    fn cause(&mut self, cause: Cause) {
        match cause {
            Cause::NoList => self.number(0),
            Cause::NoHolder(shard) => {
                self.number(1);
                self.shard(shard);
            }
            Cause::Drained(shard) => {
                self.number(2);
                self.shard(shard);
            }
            Cause::AllParked(shard) => {
                self.number(3);
                self.shard(shard);
            }
            Cause::BeyondShare => self.number(4),
            Cause::PredictedLate => self.number(5),
            Cause::TimeUp => self.number(6),
            Cause::MayHaveRun(shard) => {
                self.number(7);
                self.shard(shard);
            }
            Cause::AttemptsSpent(shard) => {
                self.number(8);
                self.shard(shard);
            }
            Cause::Poison => self.number(9),
            Cause::MaxOpen => self.number(10),
            Cause::Overdue => self.number(11),
            Cause::TooLittle => self.number(12),
        }
    }
}
