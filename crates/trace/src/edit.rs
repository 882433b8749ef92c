//! Tools that write new traces from existing ones: cut, merge and anonymise.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::io::Write;
use std::sync::Arc;

use serde_json::Value;

use crate::block::{Batch, Block};
use crate::file::{Header, Source, Writer};
use crate::index::hash;
use crate::record::{Action, Entry, Event, Kind, Name, Record};
use crate::set::{Item, Set};
use crate::summary::Filter;
use crate::Error;

/// The size at which a block is closed, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// The time span at which a block is closed, in milliseconds.
const BLOCK_MS: f64 = 2000.0;

/// Copies entries into a new trace and rebuilds the name tables of the blocks.
struct Copier<W: Write> {
    writer: Writer<W>,
    batches: Vec<Batch>,
}

impl<W: Write> Copier<W> {
    fn new(out: W, sources: Vec<Source>) -> Result<Self, Error> {
        let batches = sources.iter().map(|_| Batch::default()).collect();
        Ok(Copier { writer: Writer::new(out, &Header { sources, segment: 0 })?, batches })
    }

    /// Adds an entry of a source, with each name replaced by the result of `rename`.
    fn add(
        &mut self,
        source: usize,
        block: &Block,
        entry: &Entry,
        rename: &dyn Fn(Kind, &str) -> Arc<str>,
    ) -> Result<(), Error> {
        let batch = self.batches.get_mut(source).ok_or(Error::Damaged)?;
        let old = batch.records() > 0 && entry.at - batch.first() > BLOCK_MS;
        if old || batch.size() > BLOCK_BYTES {
            self.writer.add(source as u16, std::mem::take(batch))?;
        }
        let mut record = entry.record.clone();
        record.visit_names(&mut |kind, name| *name = batch.name(kind, &rename(kind, block.text(*name))));
        batch.push(entry.at, &record)
    }

    fn finish(mut self) -> Result<W, Error> {
        for (source, batch) in self.batches.into_iter().enumerate() {
            self.writer.add(source as u16, batch)?;
        }
        self.writer.finish()
    }
}

fn keep_name(_: Kind, text: &str) -> Arc<str> {
    text.into()
}

/// Visits the entries of a time span in order. Stops copying at the first error and returns it.
fn copy_entries<W: Write>(
    set: &mut Set,
    span: (f64, f64),
    copier: &mut Copier<W>,
    mut change: impl FnMut(&mut Copier<W>, usize, &Block, &Entry) -> Result<(), Error>,
) -> Result<(), Error> {
    let mut failed = None;
    set.each(span, |item| {
        if let (Item::Entry(source, block, entry), None) = (item, &failed) {
            failed = change(copier, source, block, entry).err();
        }
    });
    failed.map_or(Ok(()), Err)
}

/// Writes all entries of a set as one trace in the current version, ordered by time. Processes remain separate sources.
///
/// # Errors
/// If reading or writing fails.
pub fn merge<W: Write>(set: &mut Set, out: W) -> Result<W, Error> {
    let mut copier = Copier::new(out, set.sources.clone())?;
    copy_entries(set, (f64::NEG_INFINITY, f64::INFINITY), &mut copier, |out, source, block, entry| {
        out.add(source, block, entry, &keep_name)
    })?;
    copier.finish()
}

/// A selection of queries. A query must satisfy all conditions that are set.
#[derive(Debug, Clone, Default)]
pub struct Selection {
    /// The class and group of the query.
    pub filter: Filter,
    /// The client id or number of the query.
    pub query: Option<String>,
    /// A run store to which at least one attempt of the query was sent.
    pub run_store: Option<String>,
}

impl Selection {
    /// Returns whether it selects all queries.
    pub fn is_all(&self) -> bool {
        self.filter.class.is_none()
            && self.filter.group.is_none()
            && self.query.is_none()
            && self.run_store.is_none()
    }
}

/// Writes the entries of a time span. If all queries are selected, the entries of each process start with its last
/// checkpoint before the span, so that they can be replayed. Otherwise steps are reduced to the selected queries and
/// no checkpoint is written, so that the result cannot be replayed.
///
/// # Errors
/// If reading or writing fails.
pub fn cut<W: Write>(set: &mut Set, span: (f64, f64), selection: &Selection, out: W) -> Result<W, Error> {
    let mut copier = Copier::new(out, set.sources.clone())?;
    if selection.is_all() {
        let from = checkpoints(set, span.0);
        let earliest = from.values().copied().fold(span.0, f64::min);
        copy_entries(set, (earliest, span.1), &mut copier, |out, source, block, entry| {
            let begin = from.get(&source).copied().unwrap_or(span.0);
            if (begin..=span.1).contains(&entry.at) {
                out.add(source, block, entry, &keep_name)?;
            }
            Ok(())
        })?;
    } else {
        let picked = select_queries(set, span, selection)?;
        copy_entries(set, span, &mut copier, |out, source, block, entry| {
            let has = |query: u64| picked.contains(&(source, query));
            let kept = (span.0..=span.1).contains(&entry.at).then(|| restrict(&entry.record, &has)).flatten();
            kept.map_or(Ok(()), |record| out.add(source, block, &Entry { at: entry.at, record }, &keep_name))
        })?;
    }
    copier.finish()
}

/// Returns the time of the last checkpoint of each source at or before a time.
fn checkpoints(set: &mut Set, until: f64) -> BTreeMap<usize, f64> {
    let mut found = BTreeMap::new();
    set.blockwise((f64::NEG_INFINITY, until), |item| {
        if let Item::Entry(source, _, Entry { at, record: Record::Checkpoint(_) }) = item {
            if *at <= until {
                found.insert(source, *at);
            }
        }
    });
    found
}

/// Returns the selected queries, as source index and number.
///
/// # Errors
/// If a reader fails.
pub fn select_queries(
    set: &mut Set,
    span: (f64, f64),
    selection: &Selection,
) -> Result<BTreeSet<(usize, u64)>, Error> {
    let named = selection.query.as_deref().map(|name| set.find(name)).transpose()?;
    let named: Option<BTreeSet<_>> = named.map(|found| found.into_iter().collect());
    let (mut matching, mut at_store) = (BTreeSet::new(), BTreeSet::new());
    set.blockwise(span, |item| {
        let Item::Entry(source, block, entry) = item else { return };
        let attributes = match &entry.record {
            Record::Taken(taken) => Some((taken.query, taken.class, taken.group)),
            Record::Verdict(verdict) => Some((verdict.query, verdict.class, verdict.group)),
            _ => None,
        };
        if let Some((query, class, group)) = attributes {
            if selection.filter.accepts(block.text(class), group.map(|group| block.text(group))) {
                matching.insert((source, query));
            }
        }
        if let (Record::Step(step), Some(only)) = (&entry.record, &selection.run_store) {
            for action in &step.actions {
                if let Action::Send { query, run_store, .. } = action {
                    if block.text(*run_store) == only {
                        at_store.insert((source, *query));
                    }
                }
            }
        }
    });
    let keep = |key: &(usize, u64)| {
        named.as_ref().is_none_or(|named| named.contains(key))
            && (selection.run_store.is_none() || at_store.contains(key))
    };
    Ok(matching.into_iter().filter(keep).collect())
}

/// Reduces a record to the queries for which `has` is true. Returns `None` if nothing is left.
pub fn restrict(record: &Record, has: &dyn Fn(u64) -> bool) -> Option<Record> {
    match record {
        Record::Step(step) => {
            let mut step = step.clone();
            step.events.retain(|event| Event::query(event).is_some_and(has));
            step.actions.retain(|action| Action::query(action).is_some_and(has));
            (!step.events.is_empty() || !step.actions.is_empty()).then_some(Record::Step(step))
        }
        Record::Taken(taken) => has(taken.query).then(|| record.clone()),
        Record::Verdict(verdict) => has(verdict.query).then(|| record.clone()),
        Record::Wire(wire) => has(wire.query).then(|| record.clone()),
        _ => None,
    }
}

/// Replaces the names of groups and queries by pseudonyms. The same key always gives the same pseudonyms.
pub struct Pseudonyms {
    key: [u8; 32],
}

impl Pseudonyms {
    /// Derives pseudonyms from a key of any length.
    pub fn new(key: &[u8]) -> Self {
        Pseudonyms { key: blake3::derive_key("ironpaddle 2026 names of groups and queries in traces", key) }
    }

    /// Returns the pseudonym of a group or query; names of other kinds are returned unchanged.
    pub fn of(&self, kind: Kind, text: &str) -> Arc<str> {
        let (mark, number) = match kind {
            Kind::Group => ("g", 1),
            Kind::Query => ("x", 2),
            Kind::Class | Kind::RunStore | Kind::Key => return text.into(),
        };
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[number]);
        hasher.update(text.as_bytes());
        let hex = hasher.finalize().to_hex();
        format!("{mark}-{}", &hex[..16]).into()
    }

    /// Replaces the group names in a settings object. Returns an empty string if the object cannot be parsed.
    fn replace_in_settings(&self, text: &str, groups: &HashSet<u64>) -> String {
        match serde_json::from_str::<Value>(text) {
            Ok(mut value) => {
                self.replace_in_value(&mut value, groups);
                value.to_string()
            }
            Err(_) => String::new(),
        }
    }

    fn replace_in_value(&self, value: &mut Value, groups: &HashSet<u64>) {
        match value {
            Value::String(text) if groups.contains(&hash(text)) => {
                *text = self.of(Kind::Group, text).to_string()
            }
            Value::Array(values) => values.iter_mut().for_each(|value| self.replace_in_value(value, groups)),
            Value::Object(fields) => {
                let old = std::mem::take(fields);
                for (key, mut value) in old {
                    self.replace_in_value(&mut value, groups);
                    let key = if groups.contains(&hash(&key)) {
                        self.of(Kind::Group, &key).to_string()
                    } else {
                        key
                    };
                    fields.insert(key, value);
                }
            }
            _ => {}
        }
    }

    /// Replaces names in free text: whole words that are a name, or a name followed by a dot and a shard.
    fn replace_in_text(&self, text: &str, groups: &HashSet<u64>, queries: &HashSet<u64>) -> String {
        let inside = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
        let mut out = String::with_capacity(text.len());
        let mut rest = text;
        while !rest.is_empty() {
            let end = rest.find(|c| !inside(c)).unwrap_or(rest.len());
            out.push_str(&self.replace_word(&rest[..end], groups, queries));
            let next = rest[end..].find(inside).map_or(rest.len(), |at| end + at);
            out.push_str(&rest[end..next]);
            rest = &rest[next..];
        }
        out
    }

    fn replace_word(&self, word: &str, groups: &HashSet<u64>, queries: &HashSet<u64>) -> String {
        let replaced = |word: &str| {
            if groups.contains(&hash(word)) {
                Some(self.of(Kind::Group, word))
            } else {
                queries.contains(&hash(word)).then(|| self.of(Kind::Query, word))
            }
        };
        if let Some(name) = replaced(word) {
            return name.to_string();
        }
        match word.rsplit_once('.').and_then(|(name, shard)| Some((replaced(name)?, shard))) {
            Some((name, shard)) => format!("{name}.{shard}"),
            None => word.to_string(),
        }
    }
}

/// Writes all entries of a set with the names of groups and queries replaced, also in settings and free text.
///
/// # Errors
/// If reading or writing fails.
pub fn anonymise<W: Write>(set: &mut Set, pseudonyms: &Pseudonyms, out: W) -> Result<W, Error> {
    let all = (f64::NEG_INFINITY, f64::INFINITY);
    // All names are collected first, as a text may mention a name before the first record that uses it.
    let (mut groups, mut queries) = (HashSet::new(), HashSet::new());
    set.blockwise(all, |item| {
        if let Item::Entry(_, block, entry) = item {
            let mut collect = |kind, name: &mut Name| {
                let hash = hash(block.text(*name));
                let _new = match kind {
                    Kind::Group => groups.insert(hash),
                    Kind::Query => queries.insert(hash),
                    Kind::Class | Kind::RunStore | Kind::Key => false,
                };
            };
            // `Record::visit_names` needs a mutable copy. Large records are skipped, as they hold no group or query
            // names.
            match &entry.record {
                Record::Step(_) | Record::Wire(_) | Record::Closed(_) => {}
                record => record.clone().visit_names(&mut collect),
            }
        }
    });
    for source in &set.sources {
        let realms = serde_json::from_str::<Value>(&source.settings).unwrap_or_default();
        for realm in realms["realms"].as_array().into_iter().flatten() {
            groups.extend(realm["name"].as_str().map(hash));
        }
    }
    let mut sources = set.sources.clone();
    for source in &mut sources {
        source.settings = pseudonyms.replace_in_settings(&source.settings, &groups);
    }
    let mut copier = Copier::new(out, sources)?;
    let rename = |kind, text: &str| pseudonyms.of(kind, text);
    copy_entries(set, all, &mut copier, |out, source, block, entry| {
        let mut entry = entry.clone();
        match &mut entry.record {
            Record::Checkpoint(checkpoint) => {
                checkpoint.settings.text = pseudonyms.replace_in_settings(&checkpoint.settings.text, &groups);
            }
            Record::Settings(settings) => {
                settings.text = pseudonyms.replace_in_settings(&settings.text, &groups)
            }
            _ => {}
        }
        entry.record.visit_texts(&mut |text| *text = pseudonyms.replace_in_text(text, &groups, &queries));
        out.add(source, block, &entry, &rename)
    })?;
    copier.finish()
}
