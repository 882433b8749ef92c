//! The trace tools: merging over versions and aggregators, cutting, anonymising, summaries and query histories.

mod common;

use std::collections::BTreeSet;
use std::fs;
use std::io::Cursor;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{source, trace, BEGIN};
use ironpaddle_trace::block::Batch;
use ironpaddle_trace::edit::{anonymise, cut, merge, Pseudonyms, Selection};
use ironpaddle_trace::file::{Header, Reader, Writer};
use ironpaddle_trace::record::{How, Kind, Record};
use ironpaddle_trace::set::{Item, Set};
use ironpaddle_trace::story;
use ironpaddle_trace::summary::{summarise, Filter};

const ALL: (f64, f64) = (f64::NEG_INFINITY, f64::INFINITY);

/// A temporary directory of segments, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(segments: &[Vec<u8>]) -> Self {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let no = MADE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ironpaddle-tools-{}-{no}", std::process::id()));
        fs::create_dir(&path).unwrap();
        for (no, segment) in segments.iter().enumerate() {
            fs::write(path.join(format!("{no}.iptrace")), segment).unwrap();
        }
        Folder(path)
    }

    fn set(&self) -> Set {
        Set::open(std::slice::from_ref(&self.0)).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the uncompressed content of a trace: its header, and the names and entries of its blocks.
fn plain(bytes: &[u8]) -> Vec<u8> {
    let mut reader = Reader::open(Cursor::new(bytes)).unwrap();
    let mut plain = format!("{:?}", reader.header().unwrap()).into_bytes();
    for no in 0..reader.blocks().len() {
        let block = reader.block(no).unwrap();
        plain.extend(format!("{:?}", block.names).into_bytes());
        plain.extend(format!("{:?}", block.entries).into_bytes());
    }
    plain
}

/// Returns two segments that share the records of one query.
fn spanning_segments() -> [Vec<u8>; 2] {
    let mut batches = [Batch::default(), Batch::default()];
    common::checkpoint(&mut batches[0], BEGIN);
    common::query(&mut batches, BEGIN + 5.0, 1, "over-two", "vaal", How::Whole);
    let [first, mut last] = batches;
    let segment = |no: u64, batch: Batch| {
        let header = Header { sources: vec![source("n0")], segment: no };
        let mut writer = Writer::new(Cursor::new(Vec::new()), &header).unwrap();
        writer.add(0, batch).unwrap();
        writer.finish().unwrap().into_inner()
    };
    // The second segment has a checkpoint of its own, as every segment does.
    common::checkpoint(&mut last, BEGIN + 40.0);
    [segment(0, first), segment(1, last)]
}

#[test]
fn a_merge_is_ordered_by_time_and_keeps_sources_apart() {
    let second = trace("n1", true);
    let folder = Folder::new(&[include_bytes!("golden/v1.iptrace").to_vec(), second]);
    let merged = merge(&mut folder.set(), Cursor::new(Vec::new())).unwrap().into_inner();
    let folder = Folder::new(&[merged]);
    let mut set = folder.set();
    let names: Vec<_> = set.sources.iter().map(|source| source.aggregator.as_str()).collect();
    assert_eq!(names, ["n0", "n1"]);
    // Both sources have equal timestamps: each keeps its order, and times never decrease.
    let (mut times, mut causes) = (Vec::new(), Vec::new());
    set.each(ALL, |item| {
        let Item::Entry(source, _, entry) = item else { panic!("a gap") };
        times.push(entry.at);
        if let Record::Verdict(verdict) = &entry.record {
            causes.push((source, verdict.query, verdict.cause.map(|cause| cause.code())));
        }
    });
    assert!(times.windows(2).all(|pair| pair[0] <= pair[1]) && times.len() == 22, "{times:?}");
    causes.sort_unstable();
    // Causes that version 1 did not record are unknown; the other source keeps its causes.
    assert_eq!(causes, [(0, 1, None), (0, 2, Some("unknown")), (1, 1, None), (1, 2, Some("beyond_share"))]);
    // Queries with the same number and client id in different sources are distinct.
    assert_eq!(set.find("9b1f03aa").unwrap(), [(0, 1), (1, 1)]);
    let history = story::collect(&mut set, 1, 2).unwrap();
    assert_eq!((history.aggregator.as_str(), history.end.as_deref()), ("n1", Some("refused")));
    assert!(history.moments.iter().any(|moment| moment.what.contains("beyond its share")), "{history:?}");
    let summary = summarise(&mut set, ALL, &Filter::default());
    let class = &summary.classes["run-lookup"];
    assert_eq!((class.taken, class.answered, class.refused), (4, 2, 2));
    assert_eq!(summary.causes["run-lookup"].values().sum::<u64>(), 2);
}

#[test]
fn a_query_that_spans_two_segments_has_one_history() {
    let folder = Folder::new(&spanning_segments());
    let mut set = folder.set();
    assert_eq!(set.sources.len(), 1);
    let found = set.find("over-two").unwrap();
    assert_eq!(found, [(0, 1)]);
    let story = story::collect(&mut set, 0, 1).unwrap();
    let words: Vec<_> = story.moments.iter().map(|moment| moment.what.as_str()).collect();
    assert!(
        words[0].starts_with("taken") && words.last().unwrap().starts_with("answered whole"),
        "{words:?}"
    );
    assert_eq!(story.moments.last().unwrap().since_ms, 33.0);
    assert_eq!(set.find("q1").unwrap(), [(0, 1)], "found by number too");
    assert_eq!(set.find("q9").unwrap(), []);
}

#[test]
fn a_cut_begins_with_a_checkpoint_and_ends_with_its_time_span() {
    let folder = Folder::new(&[trace("n0", true)]);
    let span = (BEGIN + 200.0, BEGIN + 260.0);
    let bytes =
        cut(&mut folder.set(), span, &Selection::default(), Cursor::new(Vec::new())).unwrap().into_inner();
    let folder = Folder::new(&[bytes]);
    let mut times = Vec::new();
    let mut first = None;
    folder.set().each(ALL, |item| {
        if let Item::Entry(_, _, entry) = item {
            first.get_or_insert(matches!(entry.record, Record::Checkpoint(_)));
            times.push(entry.at);
        }
    });
    assert_eq!((first, times[0]), (Some(true), BEGIN));
    assert!(times.iter().all(|at| *at <= span.1) && times.len() == 9, "{times:?}");
}

#[test]
fn a_cut_of_selected_queries_holds_only_these() {
    let folder = Folder::new(&[trace("n0", true)]);
    let of = |selection: &Selection| {
        let bytes = cut(&mut folder.set(), ALL, selection, Cursor::new(Vec::new())).unwrap().into_inner();
        let folder = Folder::new(&[bytes]);
        let mut queries = BTreeSet::new();
        if let Ok(mut set) = Set::open(std::slice::from_ref(&folder.0)) {
            set.each(ALL, |item| {
                if let Item::Entry(_, _, entry) = item {
                    assert!(
                        !matches!(entry.record, Record::Checkpoint(_)),
                        "a cut of selected queries has no checkpoint"
                    );
                    entry.record.visit_queries(&mut |query| {
                        queries.insert(query);
                    });
                }
            });
        }
        queries.into_iter().collect::<Vec<_>>()
    };
    let group = |name: &str| Filter { group: Some(name.into()), class: None };
    assert_eq!(
        of(&Selection { filter: group("vaal"), ..Selection::default() }),
        [2],
        "vaal must not match vaal-muon"
    );
    assert_eq!(of(&Selection { query: Some("9b1f03aa".into()), ..Selection::default() }), [1]);
    assert_eq!(of(&Selection { run_store: Some("s-1".into()), ..Selection::default() }), [1, 2]);
    assert_eq!(of(&Selection { run_store: Some("s-2".into()), ..Selection::default() }), [0; 0]);
}

#[test]
fn no_name_of_a_group_or_query_is_left_after_anonymising() {
    let folder = Folder::new(&[trace("n0", true)]);
    let hide = |key: &[u8]| {
        anonymise(&mut folder.set(), &Pseudonyms::new(key), Cursor::new(Vec::new())).unwrap().into_inner()
    };
    let bytes = hide(b"secret");
    let text = String::from_utf8_lossy(&plain(&bytes)).into_owned();
    for name in ["vaal", "9b1f"] {
        assert!(!text.contains(name), "{name} is left: {text}");
    }
    assert!(text.contains("s-1") && text.contains("run-lookup"), "names of other kinds are unchanged");
    // A name that is a prefix of another gets a different pseudonym, also in settings and free text.
    let pseudonyms = Pseudonyms::new(b"secret");
    for (kind, name) in [
        (Kind::Group, "vaal"),
        (Kind::Group, "vaal-muon"),
        (Kind::Query, "9b1f03aa"),
        (Kind::Query, "9b1f03aa5c7e2d41"),
    ] {
        let made = pseudonyms.of(kind, name);
        assert!(text.contains(&*made), "{name}");
    }
    assert!(text.contains(&format!(
        "{}.3 of {} done",
        pseudonyms.of(Kind::Query, "9b1f03aa"),
        pseudonyms.of(Kind::Group, "vaal-muon")
    )));
    // The same key gives the same pseudonyms in every run, another key different ones; the counts do not change.
    assert_eq!(plain(&hide(b"secret")), plain(&bytes));
    assert_ne!(plain(&hide(b"other")), plain(&bytes));
    let hidden = Folder::new(&[bytes]);
    let (before, after) = (
        summarise(&mut folder.set(), ALL, &Filter::default()),
        summarise(&mut hidden.set(), ALL, &Filter::default()),
    );
    assert_eq!(before.classes["run-lookup"].ended(), after.classes["run-lookup"].ended());
    assert_eq!(before.groups.len(), after.groups.len());
    assert_eq!(hidden.set().find(&pseudonyms.of(Kind::Query, "9b1f03aa")).unwrap(), [(0, 1)]);
}

#[test]
fn files_that_are_not_traces_are_reported() {
    let folder = Folder::new(&[trace("n0", false), b"no trace at all, but long enough for a head".to_vec()]);
    let mut set = folder.set();
    assert_eq!((set.segments.len(), set.troubles.len()), (1, 2), "{:?}", set.troubles);
    let summary = summarise(&mut set, ALL, &Filter::default());
    assert_eq!((summary.classes["run-lookup"].ended(), summary.processes[0].ended), (2, false));
    assert!(Set::open(&[folder.0.join("1.iptrace")]).is_err());
    assert!(Set::open(&[Path::new("/nowhere/at/all").into()]).is_err());
}
