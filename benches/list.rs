//! Measures the time and peak memory of applying a whole list, by its number of lines: from the bytes of discovery's
//! answer to the core's event for the router.
//!
//! Run `cargo bench --bench list`. The column "max alloc" shows the peak of allocated memory; it does not include the
//! bytes of the answer.

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

/// Returns the HTTP response of discovery with a whole list.
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

/// Parses a response in chunks, as the client reads it.
fn read(answer: &[u8]) -> Message {
    let mut parser = Parser::new(MessageKind::Response(answer.len()));
    for bytes in answer.chunks(8192) {
        parser.push(bytes);
        if let Some(message) = parser.next_message().expect("a valid HTTP response") {
            return message;
        }
    }
    panic!("the response is incomplete")
}

fn directory_update(message: Message) -> DirectoryUpdate {
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
    Core::new(&site, 7).expect("valid settings")
}

/// From bytes to lines: the work of the directory watch alone.
#[divan::bench(args = LINES)]
fn read_and_parse(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    println!("{lines} lines: {} bytes, {:.1} a line", answer.len(), answer.len() as f64 / lines as f64);
    bencher.bench_local(|| directory_update(read(&answer)));
}

/// From lines to the router's event and the transport's commands, for the first list after a start.
#[divan::bench(args = LINES, max_time = 20)]
fn take_a_first_list(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    bencher.with_inputs(|| (core(), directory_update(read(&answer)))).bench_local_values(
        |(mut core, update)| {
            core.apply_directory_update(update);
            core
        },
    );
}

/// The same with a list whose lines are all known, as after a broken watch.
#[divan::bench(args = LINES, max_time = 20)]
fn take_the_same_list_again(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    let known = || {
        let mut core = core();
        core.apply_directory_update(directory_update(read(&answer)));
        while core.next_command().is_some() {}
        (core, directory_update(read(&answer)))
    };
    bencher.with_inputs(known).bench_local_values(|(mut core, update)| {
        core.apply_directory_update(update);
        core
    });
}

/// From bytes to events and commands, for the first list after a start: how long the serving thread is blocked, and
/// the memory that it needs.
#[divan::bench(args = LINES, max_time = 20)]
fn bytes_to_events(bencher: Bencher, lines: usize) {
    let answer = answer(lines);
    bencher.with_inputs(core).bench_local_values(|mut core| {
        core.apply_directory_update(directory_update(read(&answer)));
        core
    });
}
