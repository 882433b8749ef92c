//! The state of a run store connection compared with a model over random steps, and single cases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ironpaddle::api::Outcome;
use ironpaddle::core::{Call, CallEnd, CallNo, QueryNo};
use ironpaddle::transport::frames::link::{ConnectionState, EndEvent};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Step {
    Push,
    Frame,
    Written,
    Answer(usize, char),
    GiveUp(usize),
    GiveUpWithProof(usize),
    ProbeAnswered,
    Retire,
    Break,
}

/// The state of a call in the model.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallState {
    Queued,
    Writing,
    Written,
    /// Written and abandoned; it ends once the run store has proved that it read the cancellation.
    AwaitingProof,
    /// Ended after its last byte was written or while it was being written on this connection.
    Ended,
    /// Ended before any byte of it was written on this connection.
    NeverWritten,
}

/// Usual response time of a run store, with which each connection starts.
const USUAL: Duration = Duration::from_millis(100);

fn call(no: u64) -> Call {
    Call {
        no: CallNo(no),
        run_store: "s".into(),
        part: format!("q{no}.0"),
        query: format!("q{no}"),
        class: "c".into(),
        query_attempt: (QueryNo(no), 0),
        key: None,
        shard: 0,
        until: 1e9,
        allowed_until: f64::INFINITY,
        repeats_restricted: false,
        payload: Rc::from(&b"text"[..]),
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ends = prop::sample::select(vec!['S', 'E', 'B']);
    let step = prop_oneof![
        4 => Just(Step::Push),
        4 => Just(Step::Frame),
        4 => Just(Step::Written),
        3 => (0..20usize, ends).prop_map(|(at, end)| Step::Answer(at, end)),
        2 => (0..20usize).prop_map(Step::GiveUp),
        2 => (0..20usize).prop_map(Step::GiveUpWithProof),
        2 => Just(Step::ProbeAnswered),
        1 => Just(Step::Retire),
        1 => Just(Step::Break),
    ];
    prop::collection::vec(step, 1..60)
}

fn frame(rest: &str) -> Vec<u8> {
    [&(rest.len() as u32).to_le_bytes()[..], rest.as_bytes()].concat()
}

fn answer(part: &str, end: char) -> Vec<u8> {
    frame(&format!("5{part} {end} 9 util=0.5\nvalue"))
}

/// Returns the text of a frame without its length prefix.
fn frame_text(frame: &[u8]) -> String {
    String::from_utf8(frame[4..].to_vec()).unwrap()
}

#[test]
fn every_call_ends_once_with_the_outcome_that_its_written_bytes_imply() {
    // A fixed seed keeps the result reproducible.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner =
        TestRunner::new_with_rng(Config { cases: 400, failure_persistence: None, ..Config::default() }, rng);
    let strategy = (1..4usize, steps());
    runner.run(&strategy, |(bundle, steps)| run_steps(bundle, &steps)).unwrap();
}

fn run_steps(bundle: usize, steps: &[Step]) -> Result<(), TestCaseError> {
    let start = Instant::now();
    let mut link = ConnectionState::new(bundle, start, USUAL);
    let mut model: BTreeMap<u64, CallState> = BTreeMap::new();
    // Whether a frame is being written.
    let mut writing = false;
    let (mut calls_in_frame, mut writing_probe) = (0, false);
    // Calls abandoned while being written whose end is to be proved; calls cancelled by a `2` frame; and per probe in
    // flight, the calls that it proves ended.
    let (mut cancel_after_write, mut cancelled): (BTreeSet<u64>, BTreeSet<u64>) = Default::default();
    let mut proofs: VecDeque<Vec<u64>> = VecDeque::new();
    for (at, step) in steps.iter().enumerate() {
        let now = start + Duration::from_millis(at as u64);
        let pick = |model: &BTreeMap<u64, CallState>, at: usize| model.keys().copied().nth(at);
        let mut ended = Vec::new();
        match step {
            Step::Push => {
                let no = model.len() as u64;
                link.push(call(no));
                model.insert(no, CallState::Queued);
            }
            Step::Frame if !writing => {
                if let Some(frame) = link.next_frame(|_| 5) {
                    (writing, calls_in_frame, writing_probe) = (true, 0, frame[4] == b'3');
                    prop_assert_eq!(
                        u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize,
                        frame.len() - 4
                    );
                    if let Some(part) = frame_text(&frame).strip_prefix("2q") {
                        cancelled.insert(part.trim_end_matches(".0").parse().unwrap());
                    }
                    if frame[4] == b'3' {
                        let proved: BTreeSet<u64> = proofs.iter().flatten().copied().collect();
                        let unproved =
                            |no: &&u64| model[*no] == CallState::AwaitingProof && !proved.contains(no);
                        let new: Vec<u64> = model.keys().filter(unproved).copied().collect();
                        prop_assert!(!new.is_empty(), "a probe that proves no end");
                        prop_assert!(
                            new.iter().all(|no| cancelled.contains(no)),
                            "the probe follows the cancellations of all calls that it proves ended"
                        );
                        proofs.push_back(new);
                    }
                    if frame[4] == b'1' {
                        // A frame carries queued calls in order, at most `bundle` of them, and fewer if a cancellation
                        // or a probe is queued between them.
                        let carried = frame.windows(4).filter(|words| words == b"text").count();
                        prop_assert!((1..=bundle).contains(&carried));
                        let queued = model.values_mut().filter(|state| **state == CallState::Queued);
                        let taken = queued.take(carried).map(|state| *state = CallState::Writing).count();
                        prop_assert_eq!(carried, taken);
                        calls_in_frame = carried;
                    }
                }
            }
            Step::Written if writing => {
                writing = false;
                // A call abandoned while it was being written is still written to its end.
                prop_assert_eq!(link.mark_written(now), calls_in_frame);
                let being_written = model.values_mut().filter(|state| **state == CallState::Writing);
                being_written.for_each(|state| *state = CallState::Written);
                for no in std::mem::take(&mut cancel_after_write) {
                    model.insert(no, CallState::AwaitingProof);
                }
            }
            Step::Answer(index, end) => {
                if let Some(no) = pick(&model, *index) {
                    let received;
                    (ended, received) = link.receive(&answer(&format!("q{no}.0"), *end), now);
                    let expected = match (model[&no], end) {
                        (CallState::Written | CallState::AwaitingProof, 'S') => Some(Outcome::Completed),
                        (CallState::Written | CallState::AwaitingProof, 'E') => Some(Outcome::Errored),
                        (CallState::Written | CallState::AwaitingProof, _) => Some(Outcome::Rejected),
                        _ => None,
                    };
                    // An answer to an ended call is ignored; one to a call never written here is a protocol error.
                    let known = matches!(
                        model[&no],
                        CallState::Written | CallState::AwaitingProof | CallState::Ended
                    );
                    prop_assert_eq!(received.is_ok(), known);
                    if !known {
                        return end_connection(&mut link, &mut model, writing, true);
                    }
                    prop_assert_eq!(ended.len(), usize::from(expected.is_some()));
                    if let (Some(EndEvent::Call(_, end)), Some(expected)) = (ended.first(), expected) {
                        prop_assert_eq!(end.outcome, expected);
                    }
                }
            }
            Step::GiveUp(index) => {
                if let Some(no) = pick(&model, *index).filter(|no| !has_ended(model[no])) {
                    prop_assert!(link.give_up(CallNo(no), now));
                    // A call that is being written is cancelled after its last byte.
                    let queued = model[&no] == CallState::Queued;
                    model.insert(no, if queued { CallState::NeverWritten } else { CallState::Ended });
                    cancel_after_write.remove(&no);
                }
            }
            Step::GiveUpWithProof(index) => {
                if let Some(no) = pick(&model, *index).filter(|no| !has_ended(model[no])) {
                    ended.extend(link.give_up_with_proof(CallNo(no), now));
                    prop_assert_eq!(ended.len(), usize::from(model[&no] == CallState::Queued));
                    match model[&no] {
                        CallState::Writing => drop(cancel_after_write.insert(no)),
                        CallState::Written => drop(model.insert(no, CallState::AwaitingProof)),
                        _ => {}
                    }
                }
            }
            Step::ProbeAnswered if !(writing && writing_probe) => {
                let proved = proofs.pop_front().unwrap_or_default();
                let expected: Vec<u64> =
                    proved.into_iter().filter(|no| model[no] == CallState::AwaitingProof).collect();
                ended = link.receive(&frame("3S"), now).0;
                let proved: Vec<_> = expected
                    .iter()
                    .map(|no| EndEvent::Call(CallNo(*no), CallEnd::bare(Outcome::Cancelled)))
                    .collect();
                prop_assert_eq!(&ended, &proved);
            }
            Step::Retire => {
                ended = link.retire();
                for end in &ended {
                    let EndEvent::Call(no, end) = end else { continue };
                    prop_assert_eq!(end.outcome, Outcome::NotSent);
                    prop_assert_eq!(
                        model[&no.0],
                        CallState::Queued,
                        "only calls that have not begun are taken back"
                    );
                }
                prop_assert!(!model.values().any(|state| *state == CallState::Queued) || !ended.is_empty());
            }
            Step::Break => return end_connection(&mut link, &mut model, writing, at % 2 == 0),
            Step::Frame | Step::Written | Step::ProbeAnswered => {}
        }
        for end in ended {
            if let EndEvent::Call(no, end) = end {
                let state =
                    if end.outcome == Outcome::NotSent { CallState::NeverWritten } else { CallState::Ended };
                prop_assert!(!model.insert(no.0, state).is_some_and(has_ended), "each call ends once");
            }
        }
    }
    Ok(())
}

fn has_ended(state: CallState) -> bool {
    matches!(state, CallState::Ended | CallState::NeverWritten)
}

/// Ends the connection: queued calls are taken back, and the outcome of each other call depends on whether its last
/// byte was written.
fn end_connection(
    link: &mut ConnectionState,
    model: &mut BTreeMap<u64, CallState>,
    writing: bool,
    malformed: bool,
) -> Result<(), TestCaseError> {
    let queued: Vec<u64> = link.take_queued().iter().map(|call| call.no.0).collect();
    for no in &queued {
        prop_assert_eq!(model.insert(*no, CallState::NeverWritten), Some(CallState::Queued));
    }
    for end in link.end_all(malformed) {
        let EndEvent::Call(no, end) = end else { continue };
        match model.insert(no.0, CallState::Ended) {
            Some(CallState::Written) if malformed => prop_assert_eq!(end.outcome, Outcome::Errored),
            Some(CallState::Written) => prop_assert_eq!(end.outcome, Outcome::Reset),
            Some(CallState::AwaitingProof) => prop_assert_eq!(end.outcome, Outcome::Cancelled),
            Some(CallState::Writing) => prop_assert_eq!(end.outcome, Outcome::ConnectFailed),
            // A call abandoned while being written may end again here; the core ignores that.
            other => prop_assert!(writing && other == Some(CallState::Ended), "{:?}", other),
        }
    }
    prop_assert!(model.values().all(|state| has_ended(*state)), "every call has ended");
    Ok(())
}

#[test]
fn frames_split_at_any_byte_parse_the_same() {
    let now = Instant::now();
    let bytes = [answer("q0.0", 'S'), answer("q1.0", 'E')].concat();
    for cut in 0..bytes.len() {
        let mut link = ConnectionState::new(1, now, USUAL);
        for no in 0..2 {
            link.push(call(no));
            link.next_frame(|_| 5).unwrap();
            link.mark_written(now);
        }
        let (mut ended, _) = link.receive(&bytes[..cut], now);
        let (rest, received) = link.receive(&bytes[cut..], now);
        ended.extend(rest);
        assert!(received.is_ok() && link.partial_frame_since().is_none());
        assert_eq!(ended.len(), 2, "cut at {cut}");
        let EndEvent::Call(_, end) = &ended[0] else { panic!("a call") };
        assert_eq!(end.value.as_deref(), Some(&b"value"[..]));
        assert_eq!(end.load.and_then(|load| load.utilization), Some(0.5));
    }
}

#[test]
fn a_connection_with_no_answer_for_long_after_a_call_is_presumed_dead() {
    let start = Instant::now();
    let mut link = ConnectionState::new(1, start, USUAL);
    link.push(call(0));
    link.next_frame(|_| 5).unwrap();
    link.mark_written(start + Duration::from_millis(1));
    link.give_up(CallNo(0), start + Duration::from_millis(100));
    assert!(!link.is_presumed_dead(), "a slow run store is not presumed dead");
    link.push(call(1));
    while link.next_frame(|_| 5).is_some() {
        link.mark_written(start + Duration::from_millis(101));
    }
    link.give_up(CallNo(1), start + Duration::from_secs(5));
    assert!(link.is_presumed_dead());
}

#[test]
fn oversized_and_malformed_frames_are_errors_not_panics() {
    for bytes in [&[0, 0, 0, 0][..], &[255, 255, 255, 255], &[2, 0, 0, 0, b'5', b'x'], &[1, 0, 0, 0, b'q']] {
        assert!(
            ConnectionState::new(1, Instant::now(), USUAL).receive(bytes, Instant::now()).1.is_err(),
            "{bytes:?}"
        );
    }
}

/// Returns a connection with this number of calls in flight.
fn connection_with_calls(calls: u64, now: Instant) -> ConnectionState {
    let mut link = ConnectionState::new(1, now, USUAL);
    for no in 0..calls {
        link.push(call(no));
        link.next_frame(|_| 5).unwrap();
        link.mark_written(now);
    }
    link
}

#[test]
fn answers_before_a_malformed_one_count_and_all_calls_in_flight_fail() {
    let now = Instant::now();
    for malformed in
        [&b"\0\xb2\xd0\x5e5q1.0 S"[..], b"\x03\0\0\0qno", &answer("q7.0", 'S'), &answer("q1.0", '?')]
    {
        let mut link = connection_with_calls(3, now);
        let (ended, received) = link.receive(&[&answer("q0.0", 'S'), malformed].concat(), now);
        assert_eq!(ended.len(), 1, "{malformed:?}");
        assert!(received.is_err(), "{malformed:?}");
        let ends = link.end_all(true);
        let errored =
            |end: &EndEvent| matches!(end, EndEvent::Call(_, end) if end.outcome == Outcome::Errored);
        assert!(ends.len() == 2 && ends.iter().all(errored), "{ends:?}");
    }
}

#[test]
fn a_duplicate_answer_changes_nothing_and_stray_bytes_end_only_the_connection() {
    let now = Instant::now();
    let mut link = connection_with_calls(2, now);
    assert_eq!(link.receive(&[answer("q0.0", 'S'), answer("q0.0", 'S')].concat(), now).0.len(), 1);
    let (ended, received) = link.receive(&answer("q1.0", 'E'), now);
    assert!(ended.len() == 1 && received.is_ok());
    // Too short for a frame: if kept, it would be read as the beginning of the next answer.
    assert!(link.receive(b"x", now).1.is_err());
    assert!(link.end_all(true).is_empty());
}

#[test]
fn an_unreadable_load_report_does_not_invalidate_its_answer() {
    let now = Instant::now();
    for (report, expected) in
        [("what is this", None), ("", None), ("utilization=0.5,throughput=3", Some(0.5))]
    {
        let bytes = frame(&format!("5q0.0 S 9 {report}\nvalue"));
        let (ended, received) = connection_with_calls(1, now).receive(&bytes, now);
        let [EndEvent::Call(_, end)] = &ended[..] else { panic!("{report}: {ended:?}") };
        assert!(received.is_ok() && end.value.is_some(), "{report}");
        assert_eq!(end.load.and_then(|load| load.utilization), expected, "{report}");
    }
}

#[test]
fn the_start_time_of_a_partial_frame_is_known_and_an_oversized_frame_is_rejected() {
    let now = Instant::now();
    let mut link = connection_with_calls(1, now);
    assert!(link.receive(b"\x00\x10\x00\x005q0.0", now).1.is_ok());
    assert_eq!(link.partial_frame_since(), Some(now));
    assert!(link.receive(b" S", now + Duration::from_millis(9)).1.is_ok());
    assert_eq!(link.partial_frame_since(), Some(now), "further bytes do not restart its time");
    assert!(connection_with_calls(1, now).receive(&(1_000_000u32).to_le_bytes(), now).1.is_err());
}

#[test]
fn a_connection_is_unresponsive_after_three_usual_response_times_until_an_answer_arrives() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let mut link = connection_with_calls(2, now);
    assert!(!link.is_unresponsive(after(299)) && link.is_unresponsive(after(300)));
    assert!(!link.is_presumed_dead(), "the run store may only be slow");
    // An answer arrives: the other call is still in flight, and the silence timer restarts.
    assert_eq!(link.receive(&answer("q0.0", 'S'), after(600)).0.len(), 1);
    assert!(!link.is_unresponsive(after(700)));
    assert!(link.average_response_time() > USUAL, "slow answers raise the average response time");
    assert_eq!(link.receive(&answer("q1.0", 'S'), after(610)).0.len(), 1);
    assert!(!link.is_unresponsive(after(60_000)), "nothing is in flight");
}

#[test]
fn a_late_answer_to_an_abandoned_call_may_arrive_in_pieces() {
    let now = Instant::now();
    let mut link = connection_with_calls(1, now);
    assert!(link.give_up(CallNo(0), now));
    // The cancellation is written, and nothing is in flight.
    link.next_frame(|_| 5).unwrap();
    link.mark_written(now);
    let late = answer("q0.0", 'S');
    for byte in &late[..late.len() - 1] {
        assert!(link.receive(&[*byte], now).1.is_ok(), "part of an answer to an abandoned call");
        assert!(link.is_unresponsive(now), "no call is sent while a frame is incomplete");
    }
    let (ended, received) = link.receive(&late[late.len() - 1..], now);
    assert!(ended.is_empty() && received.is_ok() && !link.is_unresponsive(now));
    // The answer is complete: a further byte is a protocol error.
    assert!(link.receive(b"x", now).1.is_err());
}

/// Writes all pending frames and returns their texts.
fn write_frames(link: &mut ConnectionState, now: Instant) -> Vec<String> {
    let mut all = Vec::new();
    while let Some(frame) = link.next_frame(|_| 5) {
        all.push(frame_text(&frame));
        link.mark_written(now);
    }
    all
}

fn cancelled_end(no: u64) -> EndEvent {
    EndEvent::Call(CallNo(no), CallEnd::bare(Outcome::Cancelled))
}

#[test]
fn one_probe_after_the_cancellations_proves_all_abandoned_calls_ended() {
    let now = Instant::now();
    let mut link = connection_with_calls(4, now);
    for no in 0..3 {
        assert_eq!(link.give_up_with_proof(CallNo(no), now), None, "it does not end before the proof");
    }
    assert_eq!(write_frames(&mut link, now), ["2q0.0", "2q1.0", "2q2.0", "3"]);
    assert!(link.pending_calls() == 4 && !link.is_idle(), "the run store may not have read the cancellation");
    // One call is answered meanwhile, and the core no longer awaits proof for another.
    let (ended, _) = link.receive(&answer("q0.0", 'S'), now);
    assert!(matches!(&ended[..], [EndEvent::Call(CallNo(0), end)] if end.outcome == Outcome::Completed));
    assert!(link.give_up(CallNo(1), now));
    // A call abandoned after the probe needs another probe.
    assert_eq!(link.give_up_with_proof(CallNo(3), now), None);
    assert_eq!(link.receive(&frame("3E"), now).0, [cancelled_end(2)]);
    assert_eq!(write_frames(&mut link, now), ["2q3.0", "3"]);
    assert_eq!(link.receive(&frame("3S"), now).0, [cancelled_end(3)]);
    assert!(link.is_idle());
    // An answer that crossed the cancellation is ignored.
    assert!(link.receive(&answer("q2.0", 'S'), now).1.is_ok());
}

#[test]
fn a_call_abandoned_while_being_written_is_cancelled_afterwards_or_never_ran() {
    let now = Instant::now();
    for whole in [true, false] {
        let mut link = ConnectionState::new(1, now, USUAL);
        link.push(call(0));
        link.push(call(1));
        link.next_frame(|_| 5).unwrap();
        let unsent = link.give_up_with_proof(CallNo(1), now);
        assert_eq!(unsent, Some(EndEvent::Call(CallNo(1), CallEnd::bare(Outcome::NotSent))));
        assert_eq!(link.give_up_with_proof(CallNo(0), now), None);
        if whole {
            link.mark_written(now);
            assert_eq!(write_frames(&mut link, now), ["2q0.0", "3"]);
            assert_eq!(
                link.end_all(false),
                [cancelled_end(0)],
                "the end of the connection proves it as well"
            );
        } else {
            let failed = CallEnd::bare(Outcome::ConnectFailed);
            assert_eq!(link.end_all(false), [EndEvent::Call(CallNo(0), failed)]);
        }
    }
}

#[test]
fn without_probes_the_write_side_is_shut_down_for_proof_once_no_other_call_is_in_flight() {
    let now = Instant::now();
    for retired in [false, true] {
        let mut link = connection_with_calls(2, now);
        if !retired {
            link.allow_proof_probes(false);
        }
        assert_eq!(link.give_up_with_proof(CallNo(0), now), None);
        if retired {
            assert!(link.retire().is_empty());
        }
        assert_eq!(write_frames(&mut link, now), ["2q0.0"]);
        assert_eq!(link.write_shutdown_at(), None, "the other call is in flight");
        assert_eq!(link.receive(&answer("q1.0", 'S'), now).0.len(), 1);
        assert_eq!(link.write_shutdown_at(), Some(now));
        assert_eq!(link.stop_writing(), [], "closed for writing here; the run store has not closed yet");
        assert_eq!(link.end_all(false), [cancelled_end(0)]);
    }
}

#[test]
fn the_write_side_is_shut_down_if_a_probe_is_not_answered_within_the_usual_time() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let mut link = connection_with_calls(2, now);
    assert_eq!(link.give_up_with_proof(CallNo(0), now), None);
    assert_eq!(link.write_shutdown_at(), None, "the cancellation is written first");
    assert_eq!(write_frames(&mut link, after(10)), ["2q0.0", "3"]);
    assert_eq!(link.write_shutdown_at(), None, "the other call is in flight");
    assert_eq!(link.give_up_with_proof(CallNo(1), after(10)), None);
    assert_eq!(write_frames(&mut link, after(20)), ["2q1.0", "3"]);
    assert_eq!(link.write_shutdown_at(), Some(after(10) + USUAL));
    assert_eq!(link.receive(&frame("3S"), after(30)).0, [cancelled_end(0)]);
    assert_eq!(link.write_shutdown_at(), Some(after(30) + USUAL), "a probe response counts as activity");
    assert_eq!(link.receive(&frame("3S"), after(40)).0, [cancelled_end(1)]);
    assert_eq!(link.write_shutdown_at(), None);
}

/// Guards against a second attempt of a part on the connection of the first, where a copy of the first answer would
/// count as its answer.
#[test]
fn a_connection_that_last_answered_a_part_confuses_its_restricted_repeats() {
    let repeat = |restricted| Call {
        query_attempt: (QueryNo(1), 1),
        repeats_restricted: restricted,
        no: CallNo(2),
        ..call(1)
    };
    let mut state = ConnectionState::new(1, Instant::now(), USUAL);
    assert!(!state.confuses(&repeat(true)), "it has carried nothing");
    state.push(call(1));
    assert!(state.confuses(&repeat(true)), "the first attempt is queued");
    state.next_frame(|_| 1);
    state.mark_written(Instant::now());
    let (ended, result) = state.receive(&frame("5q1.0 B 7 -\n"), Instant::now());
    assert!(result.is_ok() && ended.len() == 1, "{ended:?}");
    assert!(state.confuses(&repeat(true)), "the first attempt was answered");
    assert!(!state.confuses(&repeat(false)), "a repeat that may always follow needs no new connection");
    assert!(!state.confuses(&call(3)), "another part");
    state.push(call(3));
    state.next_frame(|_| 1);
    state.mark_written(Instant::now());
    let (_, result) = state.receive(&frame("5q1.0 B 7 -\n"), Instant::now());
    assert!(result.is_ok() && state.confuses(&repeat(true)), "a copy came, and another may follow it");
    let (ended, _) = state.receive(&answer("q3.0", 'S'), Instant::now());
    assert_eq!(ended.len(), 1);
    assert!(!state.confuses(&repeat(true)), "a copy would have come before the answer to another part");
}

/// Guards against serving a client with another client's data: a query with the id of an earlier one, whose client had
/// left, got the late answers to that one's parts.
#[test]
fn a_connection_on_which_a_late_answer_may_come_confuses_a_later_query_with_the_same_id() {
    let later_query = Call { no: CallNo(2), query_attempt: (QueryNo(2), 0), ..call(1) };
    let write_all = |state: &mut ConnectionState| {
        while state.next_frame(|_| 1).is_some() {
            state.mark_written(Instant::now());
        }
    };
    let mut state = ConnectionState::new(1, Instant::now(), USUAL);
    state.push(call(1));
    assert!(state.confuses(&later_query), "the part is queued");
    write_all(&mut state);
    assert!(state.confuses(&later_query), "the part runs");
    assert!(state.give_up(CallNo(1), Instant::now()));
    write_all(&mut state);
    assert!(state.confuses(&later_query), "the part was given up and may be answered late");
    assert!(!state.confuses(&call(3)), "another id");
    let same_query = Call { query_attempt: (QueryNo(1), 1), ..call(1) };
    assert!(!state.confuses(&same_query), "a late answer to its own query is right");
    let (ended, result) = state.receive(&answer("q1.0", 'S'), Instant::now());
    assert!(result.is_ok() && ended.is_empty(), "{ended:?}");
    assert!(state.confuses(&later_query), "a copy of the late answer may follow");
    state.push(call(3));
    write_all(&mut state);
    let (ended, _) = state.receive(&answer("q3.0", 'S'), Instant::now());
    assert_eq!(ended.len(), 1);
    assert!(!state.confuses(&later_query), "a copy would have come before the answer to another part");
}

/// Guards against the same confusion by an attempt whose end is awaited, and by the second of two late answers.
#[test]
fn awaited_ends_and_each_late_answer_confuse_a_later_query_with_the_same_id() {
    let later_query = Call { no: CallNo(9), query_attempt: (QueryNo(9), 0), ..call(1) };
    let mut state = ConnectionState::new(2, Instant::now(), USUAL);
    state.push(call(1));
    state.push(Call { no: CallNo(2), query_attempt: (QueryNo(1), 1), ..call(1) });
    write_frames(&mut state, Instant::now());
    assert_eq!(state.give_up_with_proof(CallNo(1), Instant::now()), None);
    assert!(state.confuses(&later_query));
    state.give_up(CallNo(1), Instant::now());
    state.give_up(CallNo(2), Instant::now());
    write_frames(&mut state, Instant::now());
    state.push(call(3));
    write_frames(&mut state, Instant::now());
    for late_answer in ["the first", "the second"] {
        assert!(state.confuses(&later_query), "{late_answer} late answer may come");
        let (ended, result) = state.receive(&answer("q1.0", 'S'), Instant::now());
        assert!(result.is_ok() && ended.is_empty(), "{ended:?}");
    }
    let (ended, _) = state.receive(&answer("q3.0", 'S'), Instant::now());
    assert_eq!(ended.len(), 1);
    assert!(!state.confuses(&later_query));
}
