//! A run-store connection's states against a model of them: random steps, and what must hold after each.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ironpaddle::api::Outcome;
use ironpaddle::core::{Call, CallEnd, CallNo};
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
    CallBack(usize),
    Probed,
    Retire,
    Break,
}

/// Where a call stands, by the model.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stands {
    Queued,
    Writing,
    Written,
    /// Written, given up, and waited for until that is proved to have been read.
    Told,
    /// Over, after its last byte was written here.
    Past,
    /// Over, and never written here.
    Unsent,
}

const USUAL: Duration = Duration::from_millis(100);

fn call(no: u64) -> Call {
    Call {
        no: CallNo(no),
        run_store: "s".into(),
        part: format!("q{no}.0"),
        query: format!("q{no}"),
        class: "c".into(),
        query_attempt: (ironpaddle::core::QueryNo(no), 0),
        key: None,
        shard: 0,
        until: 1e9,
        allowed_until: f64::INFINITY,
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
        2 => (0..20usize).prop_map(Step::CallBack),
        2 => Just(Step::Probed),
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

/// What one frame says, without its length.
fn said(frame: &[u8]) -> String {
    String::from_utf8(frame[4..].to_vec()).unwrap()
}

#[test]
fn every_call_ends_once_and_as_its_last_byte_says() {
    // One seed for all runs: the verdict is the same every time.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner =
        TestRunner::new_with_rng(Config { cases: 400, failure_persistence: None, ..Config::default() }, rng);
    let strategy = (1..4usize, steps());
    runner.run(&strategy, |(bundle, steps)| walk(bundle, &steps)).unwrap();
}

fn walk(bundle: usize, steps: &[Step]) -> Result<(), TestCaseError> {
    let start = Instant::now();
    let mut link = ConnectionState::new(bundle, start, USUAL);
    let mut model: BTreeMap<u64, Stands> = BTreeMap::new();
    // Given up while being written: the run store is told, the core has booked the end.
    let mut writing = false;
    let (mut in_frame, mut in_proof) = (0, false);
    // Those to be proved over when they are written; those told of by a frame `2`; by probe, those that it proves.
    let (mut back, mut twos): (BTreeSet<u64>, BTreeSet<u64>) = Default::default();
    let mut proofs: VecDeque<Vec<u64>> = VecDeque::new();
    for (at, step) in steps.iter().enumerate() {
        let now = start + Duration::from_millis(at as u64);
        let pick = |model: &BTreeMap<u64, Stands>, at: usize| model.keys().copied().nth(at);
        let mut ended = Vec::new();
        match step {
            Step::Push => {
                let no = model.len() as u64;
                link.push(call(no));
                model.insert(no, Stands::Queued);
            }
            Step::Frame if !writing => {
                if let Some(frame) = link.next_frame(|_| 5) {
                    (writing, in_frame, in_proof) = (true, 0, frame[4] == b'3');
                    prop_assert_eq!(
                        u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize,
                        frame.len() - 4
                    );
                    if let Some(part) = said(&frame).strip_prefix("2q") {
                        twos.insert(part.trim_end_matches(".0").parse().unwrap());
                    }
                    if frame[4] == b'3' {
                        let proved: BTreeSet<u64> = proofs.iter().flatten().copied().collect();
                        let told = |no: &&u64| model[*no] == Stands::Told && !proved.contains(no);
                        let new: Vec<u64> = model.keys().filter(told).copied().collect();
                        prop_assert!(!new.is_empty(), "a probe that proves nothing");
                        prop_assert!(
                            new.iter().all(|no| twos.contains(no)),
                            "it stands behind all that it proves"
                        );
                        proofs.push_back(new);
                    }
                    if frame[4] == b'1' {
                        // Calls share a frame up to the limit, or up to a part given up between them.
                        let carried = frame.windows(4).filter(|words| words == b"text").count();
                        prop_assert!((1..=bundle).contains(&carried));
                        let queued = model.values_mut().filter(|stands| **stands == Stands::Queued);
                        let taken = queued.take(carried).map(|stands| *stands = Stands::Writing).count();
                        prop_assert_eq!(carried, taken);
                        in_frame = carried;
                    }
                }
            }
            Step::Written if writing => {
                writing = false;
                // One given up while it was being written is written whole all the same.
                prop_assert_eq!(link.mark_written(now), in_frame);
                let begun = model.values_mut().filter(|stands| **stands == Stands::Writing);
                begun.for_each(|stands| *stands = Stands::Written);
                for no in std::mem::take(&mut back) {
                    model.insert(no, Stands::Told);
                }
            }
            Step::Answer(which, end) => {
                if let Some(no) = pick(&model, *which) {
                    let came;
                    (ended, came) = link.receive(&answer(&format!("q{no}.0"), *end), now);
                    let wanted = match (model[&no], end) {
                        (Stands::Written | Stands::Told, 'S') => Some(Outcome::Completed),
                        (Stands::Written | Stands::Told, 'E') => Some(Outcome::Errored),
                        (Stands::Written | Stands::Told, _) => Some(Outcome::Rejected),
                        _ => None,
                    };
                    // What is over is passed over; what was never sent here cannot have been answered.
                    let known = matches!(model[&no], Stands::Written | Stands::Told | Stands::Past);
                    prop_assert_eq!(came.is_ok(), known);
                    if !known {
                        return broken(&mut link, &mut model, writing, true);
                    }
                    prop_assert_eq!(ended.len(), usize::from(wanted.is_some()));
                    if let (Some(EndEvent::Call(_, end)), Some(wanted)) = (ended.first(), wanted) {
                        prop_assert_eq!(end.outcome, wanted);
                    }
                }
            }
            Step::GiveUp(which) => {
                if let Some(no) = pick(&model, *which).filter(|no| !over(model[no])) {
                    prop_assert!(link.give_up(CallNo(no), now));
                    // While it is being written, that it was given up is told after its last byte.
                    let queued = model[&no] == Stands::Queued;
                    model.insert(no, if queued { Stands::Unsent } else { Stands::Past });
                    back.remove(&no);
                }
            }
            Step::CallBack(which) => {
                if let Some(no) = pick(&model, *which).filter(|no| !over(model[no])) {
                    ended.extend(link.give_up_with_proof(CallNo(no), now));
                    prop_assert_eq!(ended.len(), usize::from(model[&no] == Stands::Queued));
                    match model[&no] {
                        Stands::Writing => drop(back.insert(no)),
                        Stands::Written => drop(model.insert(no, Stands::Told)),
                        _ => {}
                    }
                }
            }
            Step::Probed if !(writing && in_proof) => {
                let proved = proofs.pop_front().unwrap_or_default();
                let wanted: Vec<u64> = proved.into_iter().filter(|no| model[no] == Stands::Told).collect();
                ended = link.receive(&frame("3S"), now).0;
                let proved: Vec<_> = wanted
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
                    prop_assert_eq!(model[&no.0], Stands::Queued, "only what has not begun is taken back");
                }
                prop_assert!(!model.values().any(|stands| *stands == Stands::Queued) || !ended.is_empty());
            }
            Step::Break => return broken(&mut link, &mut model, writing, at % 2 == 0),
            Step::Frame | Step::Written | Step::Probed => {}
        }
        for end in ended {
            if let EndEvent::Call(no, end) = end {
                let stands = if end.outcome == Outcome::NotSent { Stands::Unsent } else { Stands::Past };
                prop_assert!(!model.insert(no.0, stands).is_some_and(over), "one end each");
            }
        }
    }
    Ok(())
}

fn over(stands: Stands) -> bool {
    matches!(stands, Stands::Past | Stands::Unsent)
}

/// The connection ends: what is queued goes elsewhere, and all the rest ends as its last byte says.
fn broken(
    link: &mut ConnectionState,
    model: &mut BTreeMap<u64, Stands>,
    writing: bool,
    spoilt: bool,
) -> Result<(), TestCaseError> {
    let queued: Vec<u64> = link.take_queued().iter().map(|call| call.no.0).collect();
    for no in &queued {
        prop_assert_eq!(model.insert(*no, Stands::Unsent), Some(Stands::Queued));
    }
    for end in link.end_all(spoilt) {
        let EndEvent::Call(no, end) = end else { continue };
        match model.insert(no.0, Stands::Past) {
            Some(Stands::Written) if spoilt => prop_assert_eq!(end.outcome, Outcome::Errored),
            Some(Stands::Written) => prop_assert_eq!(end.outcome, Outcome::Reset),
            Some(Stands::Told) => prop_assert_eq!(end.outcome, Outcome::Cancelled),
            Some(Stands::Writing) => prop_assert_eq!(end.outcome, Outcome::ConnectFailed),
            // A call given up while being written may end again here; the core passes over it.
            other => prop_assert!(writing && other == Some(Stands::Past), "{:?}", other),
        }
    }
    prop_assert!(model.values().all(|stands| over(*stands)), "nothing is left without an end");
    Ok(())
}

#[test]
fn frames_split_anywhere_are_read_alike() {
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
        let (rest, came) = link.receive(&bytes[cut..], now);
        ended.extend(rest);
        assert!(came.is_ok() && link.partial_frame_since().is_none());
        assert_eq!(ended.len(), 2, "cut at {cut}");
        let EndEvent::Call(_, end) = &ended[0] else { panic!("a call") };
        assert_eq!(end.value.as_deref(), Some(&b"value"[..]));
        assert_eq!(end.load.and_then(|load| load.utilization), Some(0.5));
    }
}

#[test]
fn a_connection_that_is_silent_long_after_a_call_takes_no_more() {
    let start = Instant::now();
    let mut link = ConnectionState::new(1, start, USUAL);
    link.push(call(0));
    link.next_frame(|_| 5).unwrap();
    link.mark_written(start + Duration::from_millis(1));
    link.give_up(CallNo(0), start + Duration::from_millis(100));
    assert!(!link.is_presumed_dead(), "a slow run store is not a vanished one");
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

/// A connection on which so many calls are out.
fn out(calls: u64, now: Instant) -> ConnectionState {
    let mut link = ConnectionState::new(1, now, USUAL);
    for no in 0..calls {
        link.push(call(no));
        link.next_frame(|_| 5).unwrap();
        link.mark_written(now);
    }
    link
}

#[test]
fn good_answers_before_a_spoilt_one_hold_and_all_that_is_out_has_failed() {
    let now = Instant::now();
    for spoilt in
        [&b"\0\xb2\xd0\x5e5q1.0 S"[..], b"\x03\0\0\0qno", &answer("q7.0", 'S'), &answer("q1.0", '?')]
    {
        let mut link = out(3, now);
        let (ended, came) = link.receive(&[&answer("q0.0", 'S'), spoilt].concat(), now);
        assert_eq!(ended.len(), 1, "{spoilt:?}");
        assert!(came.is_err(), "{spoilt:?}");
        let ends = link.end_all(true);
        let errored =
            |end: &EndEvent| matches!(end, EndEvent::Call(_, end) if end.outcome == Outcome::Errored);
        assert!(ends.len() == 2 && ends.iter().all(errored), "{ends:?}");
    }
}

#[test]
fn a_second_copy_changes_nothing_and_noise_after_an_answer_ends_the_connection_alone() {
    let now = Instant::now();
    let mut link = out(2, now);
    assert_eq!(link.receive(&[answer("q0.0", 'S'), answer("q0.0", 'S')].concat(), now).0.len(), 1);
    let (ended, came) = link.receive(&answer("q1.0", 'E'), now);
    assert!(ended.len() == 1 && came.is_ok());
    // Too short to be taken for a frame: kept, it would be read as the beginning of the next answer.
    assert!(link.receive(b"x", now).1.is_err());
    assert!(link.end_all(true).is_empty());
}

#[test]
fn a_report_that_cannot_be_read_does_not_spoil_its_answer() {
    let now = Instant::now();
    for (report, told) in [("what is this", None), ("", None), ("utilization=0.5,throughput=3", Some(0.5))] {
        let bytes = frame(&format!("5q0.0 S 9 {report}\nvalue"));
        let (ended, came) = out(1, now).receive(&bytes, now);
        let [EndEvent::Call(_, end)] = &ended[..] else { panic!("{report}: {ended:?}") };
        assert!(came.is_ok() && end.value.is_some(), "{report}");
        assert_eq!(end.load.and_then(|load| load.utilization), told, "{report}");
    }
}

#[test]
fn a_frame_that_has_begun_is_known_by_its_time_and_a_huge_one_is_not_kept() {
    let now = Instant::now();
    let mut link = out(1, now);
    assert!(link.receive(b"\x00\x10\x00\x005q0.0", now).1.is_ok());
    assert_eq!(link.partial_frame_since(), Some(now));
    assert!(link.receive(b" S", now + Duration::from_millis(9)).1.is_ok());
    assert_eq!(link.partial_frame_since(), Some(now), "more of it does not start its time anew");
    assert!(out(1, now).receive(&(1_000_000u32).to_le_bytes(), now).1.is_err());
}

#[test]
fn a_connection_with_nothing_heard_for_three_usual_answers_is_silent_until_it_speaks() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let mut link = out(2, now);
    assert!(!link.is_unresponsive(after(299)) && link.is_unresponsive(after(300)));
    assert!(!link.is_presumed_dead(), "it may only be slow");
    // It speaks again: the other call is still out, and its time starts anew.
    assert_eq!(link.receive(&answer("q0.0", 'S'), after(600)).0.len(), 1);
    assert!(!link.is_unresponsive(after(700)));
    assert!(link.average_response_time() > USUAL, "slow answers make it patient");
    assert_eq!(link.receive(&answer("q1.0", 'S'), after(610)).0.len(), 1);
    assert!(!link.is_unresponsive(after(60_000)), "nothing is out");
}

#[test]
fn the_late_answer_to_a_part_that_was_given_up_may_come_in_pieces() {
    let now = Instant::now();
    let mut link = out(1, now);
    assert!(link.give_up(CallNo(0), now));
    // The run store is told, and nothing is out.
    link.next_frame(|_| 5).unwrap();
    link.mark_written(now);
    let late = answer("q0.0", 'S');
    for byte in &late[..late.len() - 1] {
        assert!(link.receive(&[*byte], now).1.is_ok(), "no noise, but an answer that concerns nobody");
        assert!(link.is_unresponsive(now), "what it is cannot be told yet: no call is put behind it");
    }
    let (ended, came) = link.receive(&late[late.len() - 1..], now);
    assert!(ended.is_empty() && came.is_ok() && !link.is_unresponsive(now));
    // It has come now: a byte more is noise.
    assert!(link.receive(b"x", now).1.is_err());
}

/// The frames that it writes now.
fn frames(link: &mut ConnectionState, now: Instant) -> Vec<String> {
    let mut all = Vec::new();
    while let Some(frame) = link.next_frame(|_| 5) {
        all.push(said(&frame));
        link.mark_written(now);
    }
    all
}

fn over_by_proof(no: u64) -> EndEvent {
    EndEvent::Call(CallNo(no), CallEnd::bare(Outcome::Cancelled))
}

#[test]
fn one_probe_behind_all_that_is_given_up_proves_it_to_be_over() {
    let now = Instant::now();
    let mut link = out(4, now);
    for no in 0..3 {
        assert_eq!(link.give_up_with_proof(CallNo(no), now), None, "not before it is proved");
    }
    assert_eq!(frames(&mut link, now), ["2q0.0", "2q1.0", "2q2.0", "3"]);
    assert!(link.pending_calls() == 4 && !link.is_idle(), "the run store may not have read it");
    // One is answered meanwhile, and the core waits for another no longer.
    let (ended, _) = link.receive(&answer("q0.0", 'S'), now);
    assert!(matches!(&ended[..], [EndEvent::Call(CallNo(0), end)] if end.outcome == Outcome::Completed));
    assert!(link.give_up(CallNo(1), now));
    // What is given up behind the probe needs one of its own.
    assert_eq!(link.give_up_with_proof(CallNo(3), now), None);
    assert_eq!(link.receive(&frame("3E"), now).0, [over_by_proof(2)]);
    assert_eq!(frames(&mut link, now), ["2q3.0", "3"]);
    assert_eq!(link.receive(&frame("3S"), now).0, [over_by_proof(3)]);
    assert!(link.is_idle());
    // An answer that crossed all that concerns nobody.
    assert!(link.receive(&answer("q2.0", 'S'), now).1.is_ok());
}

#[test]
fn what_is_given_up_before_its_last_byte_is_told_of_behind_it_or_never_ran() {
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
            assert_eq!(frames(&mut link, now), ["2q0.0", "3"]);
            assert_eq!(link.end_all(false), [over_by_proof(0)], "its end proves it as well");
        } else {
            let failed = CallEnd::bare(Outcome::ConnectFailed);
            assert_eq!(link.end_all(false), [EndEvent::Call(CallNo(0), failed)]);
        }
    }
}

#[test]
fn without_probes_only_the_end_of_a_connection_proves_it_and_that_comes_once_nothing_else_is_out() {
    let now = Instant::now();
    for retired in [false, true] {
        let mut link = out(2, now);
        if !retired {
            link.allow_proof_probes(false);
        }
        assert_eq!(link.give_up_with_proof(CallNo(0), now), None);
        if retired {
            assert!(link.retire().is_empty());
        }
        assert_eq!(frames(&mut link, now), ["2q0.0"]);
        assert_eq!(link.write_shutdown_at(), None, "the other is out");
        assert_eq!(link.receive(&answer("q1.0", 'S'), now).0.len(), 1);
        assert_eq!(link.write_shutdown_at(), Some(now));
        assert_eq!(link.stop_writing(), [], "it is ended here, and not yet there");
        assert_eq!(link.end_all(false), [over_by_proof(0)]);
    }
}

#[test]
fn this_side_is_shut_once_a_probe_is_not_answered_as_soon_as_usual() {
    let now = Instant::now();
    let after = |millis| now + Duration::from_millis(millis);
    let mut link = out(2, now);
    assert_eq!(link.give_up_with_proof(CallNo(0), now), None);
    assert_eq!(link.write_shutdown_at(), None, "it is to be told first");
    assert_eq!(frames(&mut link, after(10)), ["2q0.0", "3"]);
    assert_eq!(link.write_shutdown_at(), None, "the other is out");
    assert_eq!(link.give_up_with_proof(CallNo(1), after(10)), None);
    assert_eq!(frames(&mut link, after(20)), ["2q1.0", "3"]);
    assert_eq!(link.write_shutdown_at(), Some(after(10) + USUAL));
    assert_eq!(link.receive(&frame("3S"), after(30)).0, [over_by_proof(0)]);
    assert_eq!(link.write_shutdown_at(), Some(after(30) + USUAL), "it speaks");
    assert_eq!(link.receive(&frame("3S"), after(40)).0, [over_by_proof(1)]);
    assert_eq!(link.write_shutdown_at(), None);
}
