//! Reports the sizes of a trace's records by kind, and the ratio and speed of several codecs on its blocks. Usage:
//! `codecs SEGMENT...`.

use std::collections::BTreeMap;
use std::time::Instant;

use ironpaddle_trace::num::Num;
use ironpaddle_trace::record::Record;
use ironpaddle_trace::set::{Item, Set};

fn kind(record: &Record) -> &'static str {
    match record {
        Record::Checkpoint(_) | Record::Settings(_) => "checkpoints, settings",
        Record::Step(step) if step.events.iter().all(|event| event.query().is_none()) => "steps of no query",
        Record::Step(_) => "steps",
        Record::Taken(_) | Record::Verdict(_) => "taken, verdicts",
        Record::Wire(_) => "bytes of attempts",
        Record::Closed(_) => "connections",
        _ => "others",
    }
}

fn main() {
    let paths: Vec<_> = std::env::args_os().skip(1).map(Into::into).collect();
    let mut set = Set::open(&paths).expect("segments");
    let (mut blocks, mut sizes, mut queries) = (BTreeMap::<u64, Vec<u8>>::new(), BTreeMap::new(), 0u64);
    let stored: u64 = set
        .segments
        .iter()
        .flat_map(|segment| segment.reader.blocks())
        .map(|block| u64::from(block.length))
        .sum();
    let (mut no, mut table) = (0, std::ptr::null());
    set.blockwise((f64::NEG_INFINITY, f64::INFINITY), |item| {
        let Item::Entry(_, block, entry) = item else { return };
        if table != block.names.as_ptr() {
            (no, table) = (no + 1, block.names.as_ptr());
            blocks.insert(
                no,
                postcard::to_stdvec(
                    &block.names.iter().map(|(kind, text)| (*kind, &**text)).collect::<Vec<_>>(),
                )
                .expect("names"),
            );
        }
        let first = block.entries.first().map_or(0.0, |entry| entry.at);
        let bytes = postcard::to_stdvec(&(Num::since(first, entry.at), &entry.record)).expect("record");
        let (count, size): &mut (u64, u64) = sizes.entry(kind(&entry.record)).or_default();
        (*count, *size) = (*count + 1, *size + bytes.len() as u64);
        queries += u64::from(matches!(entry.record, Record::Taken(_)));
        blocks.entry(no).or_default().extend(bytes);
    });
    let raw: usize = blocks.values().map(Vec::len).sum();
    println!(
        "{} blocks, {queries} queries, {} bytes a query as stored",
        blocks.len(),
        stored / queries.max(1)
    );
    for (kind, (count, size)) in &sizes {
        println!("{kind:<24}{count:>9} records {size:>11} bytes before compression");
    }
    let report = |name: &str, compress: &dyn Fn(&[u8]) -> Vec<u8>, decompress: &dyn Fn(&[u8])| {
        let began = Instant::now();
        let compressed: Vec<Vec<u8>> = blocks.values().map(|block| compress(block)).collect();
        let compress_s = began.elapsed().as_secs_f64();
        let began = Instant::now();
        compressed.iter().for_each(|block| decompress(block));
        let decompress_s = began.elapsed().as_secs_f64();
        let size: usize = compressed.iter().map(Vec::len).sum();
        println!(
            "{name:<10} {size:>10} of {raw} bytes, {:.0} bytes a query, {:.0} MB/s in, {:.0} MB/s out",
            size as f64 / queries.max(1) as f64,
            raw as f64 / compress_s / 1e6,
            raw as f64 / decompress_s / 1e6
        );
    };
    report("LZ4", &lz4_flex::block::compress_prepend_size, &|block| {
        lz4_flex::block::decompress_size_prepended(block).expect("sound");
    });
    for level in [1, 3, 6] {
        report(
            &format!("DEFLATE {level}"),
            &|block| miniz_oxide::deflate::compress_to_vec(block, level),
            &|block| {
                miniz_oxide::inflate::decompress_to_vec(block).expect("sound");
            },
        );
    }
    for level in [1, 3] {
        report(
            &format!("zstd {level}"),
            &|block| zstd::bulk::compress(block, level).expect("zstd"),
            &|block| {
                zstd::bulk::decompress(block, 1 << 24).expect("sound");
            },
        );
    }
}
