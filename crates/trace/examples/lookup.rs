//! Measures the lookup of single queries in a large trace. `lookup FOLDER MB` writes segments of random queries into
//! the folder and then looks up queries by name.

use std::fs::{self, File};
use std::io::BufWriter;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

use ironpaddle_trace::block::Batch;
use ironpaddle_trace::file::{Header, Source, Writer};
use ironpaddle_trace::num::Num;
use ironpaddle_trace::record::{
    Action, Choice, Event, How, Kind, Outcome, Record, Step, Taken, Verdict, Why,
};
use ironpaddle_trace::set::Set;
use ironpaddle_trace::story;

/// The length of a segment, in bytes.
const SEGMENT: u64 = 64 << 20;
/// The number of parts of a query.
const PARTS: u32 = 7;

/// Adds the records of one query to a batch.
fn query(batch: &mut Batch, random: &mut fastrand::Rng, at: f64, query: u64) {
    let text = |prefix: &str, n: u64| Arc::<str>::from(format!("{prefix}{n:x}").as_str());
    let (class, store) = (batch.name(Kind::Class, &"run-lookup".into()), random.u32(..12));
    let run_store = batch.name(Kind::RunStore, &text("s-", store.into()));
    let name = batch.name(Kind::Query, &text("c", query));
    let taken =
        Taken { query, name, class, group: None, parts: PARTS, timeout: Num::of(6000.0), retry: false };
    let noise = |random: &mut fastrand::Rng| Num::Step(random.i64(..1 << 22));
    let mut step = Step { events: Vec::new(), actions: Vec::new() };
    for shard in 0..PARTS {
        let (weight, hint, key) = (noise(random), None, None);
        step.events.push(Event::Part { query, shard, weight, hint, key });
        let (timeout, why, choice) = (noise(random), Why::First, Choice::Least);
        step.actions.push(Action::Send { query, shard, run_store, timeout, why, choice });
    }
    let ended = |random: &mut fastrand::Rng, shard| {
        let (latency, outcome) = (noise(random), Outcome::Completed);
        Event::Ended { query, shard, attempt: 0, run_store, outcome, latency, load: None }
    };
    let ends = Step { events: (0..PARTS).map(|shard| ended(random, shard)).collect(), actions: Vec::new() };
    let (took, how, cause) = (noise(random), How::Whole, None);
    let verdict = Verdict { query, class, group: None, took, how, cause, parts_in: PARTS, parts: PARTS };
    for record in [Record::Taken(taken), Record::Step(step), Record::Step(ends), Record::Verdict(verdict)] {
        batch.push(at, &record).expect("room");
    }
}

fn main() {
    let mut words = std::env::args().skip(1);
    let folder = PathBuf::from(words.next().expect("a folder"));
    let most: u64 = words.next().and_then(|mb| mb.parse().ok()).expect("MB");
    fs::create_dir_all(&folder).expect("a folder");
    let (mut at, mut no, mut total, mut segment) = (1_764_608_400_000.0, 0u64, 0, 0);
    let mut random = fastrand::Rng::with_seed(1);
    let source = Source { aggregator: "n0".into(), started: 1, ..Source::default() };
    while total < most << 20 {
        let path = folder.join(format!("{segment:06}.iptrace"));
        let header = Header { sources: vec![source.clone()], segment };
        let mut writer =
            Writer::new(BufWriter::new(File::create(path).expect("a file")), &header).expect("written");
        while writer.size() < SEGMENT {
            let mut batch = Batch::default();
            while batch.size() < 32 * 1024 {
                (at, no) = (at + 1.0, no + 1);
                query(&mut batch, &mut random, at, no);
            }
            writer.add(0, batch).expect("written");
        }
        total += writer.size();
        writer.finish().expect("written");
        segment += 1;
    }
    println!("{segment} segments, {:.2} GB, {no} queries", total as f64 / f64::from(1 << 30));
    let mut times: Vec<f64> = (0..50)
        .map(|_| {
            let wanted = random.u64(1..=no);
            let began = Instant::now();
            let mut set = Set::open(std::slice::from_ref(&folder)).expect("a set");
            let found = set.find(&format!("c{wanted:x}")).expect("read");
            assert_eq!(found, [(0, wanted)]);
            let story = story::collect(&mut set, 0, wanted).expect("read");
            assert_eq!(story.end.as_deref(), Some("answered whole"));
            began.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!("one query from opening to its story: median {:.1} ms, worst {:.1} ms", times[25], times[49]);
}
