//! The cost of taking in a whole list: from the bytes of discovery's answer to what the core tells the router, by the
//! number of lines, in time and in memory at the most.
//!
//! `cargo bench --bench list`; the column "max alloc" has the most that was held at once, beside the answer's bytes.

use divan::{AllocProfiler, Bencher};
use ironpaddle::core::{Core, DirectoryUpdate};
use ironpaddle::directory::list::List;
use ironpaddle::http::parse::{Message, MessageKind, Parser};
use ironpaddle::settings::SiteSettings;
use serde_json::json;

#[global_allocator]
static MEMORY: AllocProfiler = AllocProfiler::system();

const LINES: [usize; 5] = [600, 6000, 15_000, 30_000, 57_000];

fn main() {
    divan::main();
}

/// An answer of discovery with a whole list, as it comes over a connection.
fn answer(lines: usize) -> Vec<u8> {
    let line = |no: usize| {
        format!(
            r#"  {{"name":"s-{:08x}","address":"10.{}.{}.{}:8080","zone":"zone-{}","type":"m2","group":{},"status":"ready","weight":1.0,"since_ms":{}}}"#,
            no * 75_000,
            no >> 16,
            no >> 8 & 255,
            no & 255,
            no % 11,
            no / 3,
            1_790_000_000_000 + no
        )
    };
    let lines: Vec<_> = (0..lines).map(line).collect();
    let body = format!("{{\"index\":41,\"snapshot\":true,\"endpoints\":[\n{}]}}", lines.join(",\n"));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Reads an answer as the client does, piece by piece.
fn read(answer: &[u8]) -> Message {
    let mut parser = Parser::new(MessageKind::Response(answer.len()));
    for bytes in answer.chunks(8192) {
        parser.push(bytes);
        if let Some(message) = parser.next_message().expect("an answer of HTTP") {
            return message;
        }
    }
    panic!("the answer is whole")
}

fn news(message: Message) -> DirectoryUpdate {
    let list: List = serde_json::from_slice(&message.body).expect("a list");
    list.into_update()
}

fn core() -> Core {
    let class = json!({"name": "search", "aim_ms": 1000.0, "deadline_ms": 4000.0, "repeat": "read_like"});
    let site: SiteSettings = serde_json::from_value(json!({
        "caps": {"max_attempts": 3},
        "domain": {"cells": 19_000, "width": 1, "shards": 9},
        "request_classes": [class],
        "tick_ms": 5.0,
    }))
    .expect("settings");
    Core::new(&site, 7).expect("sound settings")
}

/// Bytes to lines: all that the watch does by itself.
#[divan::bench(args = LINES)]
fn read_and_parse(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    println!("{lines} lines: {} bytes, {:.1} a line", answer.len(), answer.len() as f64 / lines as f64);
    bencher.bench_local(|| news(read(&answer)));
}

/// Lines to the router's event and the transport's orders, at a start.
#[divan::bench(args = LINES, max_time = 20)]
fn take_a_first_list(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    bencher.with_inputs(|| (core(), news(read(&answer)))).bench_local_values(|(mut core, news)| {
        core.apply_directory_update(news);
        core
    });
}

/// The same where all lines were known, as after a watch that broke.
#[divan::bench(args = LINES, max_time = 20)]
fn take_the_same_list_again(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    let known = || {
        let mut core = core();
        core.apply_directory_update(news(read(&answer)));
        while core.next_command().is_some() {}
        (core, news(read(&answer)))
    };
    bencher.with_inputs(known).bench_local_values(|(mut core, news)| {
        core.apply_directory_update(news);
        core
    });
}

/// Bytes to events and orders, at a start: what the serving thread is held for, and its memory.
#[divan::bench(args = LINES, max_time = 20)]
fn bytes_to_events(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    bencher.with_inputs(core).bench_local_values(|mut core| {
        core.apply_directory_update(news(read(&answer)));
        core
    });
}
