//! A run store that speaks the OpenSearch-style API. Each of its hits names the query and the shard that it was made
//! for, in `_id`.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{answer, read_message};
use crate::record::Record;

/// How a run store treats its answers.
#[derive(Clone, Copy)]
pub struct Conduct {
    /// Work of a search.
    pub work: Duration,
    /// Every so many searches are turned away with 429, unrun; 0 for never.
    pub turn_away_every: u64,
    /// Every so many answers a second copy follows; 0 for never.
    pub copy_every: u64,
    /// How long after the answer the second copy is written.
    pub copy_after: Duration,
}

/// A search as a run store got it.
struct Run {
    store: usize,
    /// In milliseconds of the record.
    at: f64,
    /// The id of the search, a dot and the shard.
    part: String,
    /// Whether it ran, or was turned away.
    ran: bool,
}

/// All searches that run stores got.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    fn note(&self, store: usize, at: f64, part: &str, ran: bool) {
        self.0.lock().unwrap().push(Run { store, at, part: part.to_string(), ran });
    }

    /// When a run store got searches.
    pub fn of(&self, no: usize) -> Vec<f64> {
        self.0.lock().unwrap().iter().filter(|run| run.store == no).map(|run| run.at).collect()
    }

    /// The parts that ran more than once, of the searches whose ids have a prefix.
    pub fn ran_twice(&self, prefix: &str) -> Vec<String> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.0.lock().unwrap().iter().filter(|run| run.ran && run.part.starts_with(prefix)) {
            *counts.entry(run.part.clone()).or_default() += 1;
        }
        counts.into_iter().filter(|(_, count)| *count > 1).map(|(part, _)| part).collect()
    }
}

fn is_nth(no: u64, every: u64) -> bool {
    every > 0 && no % every == 0
}

pub fn start(no: usize, conduct: Conduct, record: Arc<Record>, runs: Arc<Runs>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Searches and answers so far.
    let counts = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (counts, record, runs) = (counts.clone(), record.clone(), runs.clone());
            thread::spawn(move || serve(no, &stream, conduct, &counts, &record, &runs));
        }
    });
    address
}

fn serve(
    no: usize,
    stream: &TcpStream,
    conduct: Conduct,
    (searches, answers): &(AtomicU64, AtomicU64),
    record: &Record,
    runs: &Runs,
) {
    let _ = stream.set_nodelay(true);
    let mut read = BufReader::new(stream.try_clone().unwrap());
    let mut write = stream;
    while let Ok(Some(request)) = read_message(&mut read) {
        if !request.first.contains("/_search?") {
            if write.write_all(&answer("200 OK", "{}")).is_err() {
                return;
            }
            continue;
        }
        let query = request.header("x-opaque-id").unwrap_or("").to_string();
        let shard = request
            .first
            .split("_shards:")
            .nth(1)
            .and_then(|rest| rest.split(['&', ' ']).next())
            .unwrap_or("");
        let no_of_search = searches.fetch_add(1, Ordering::Relaxed) + 1;
        let turned_away = is_nth(no_of_search, conduct.turn_away_every);
        runs.note(no, record.now(), &format!("{query}.{shard}"), !turned_away);
        record.line(&format!("{} s-{no} {query}.{shard}", if turned_away { "turn away" } else { "run" }));
        let (status, body) = if turned_away {
            (
                "429 Too Many Requests",
                r#"{"error":{"type":"rejected_execution_exception"},"status":429}"#.to_string(),
            )
        } else {
            thread::sleep(conduct.work);
            let body = format!(
                "{{\"took\":5,\"timed_out\":false,\"_shards\":{{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}},\
                 \"hits\":{{\"total\":{{\"value\":1,\"relation\":\"eq\"}},\"max_score\":1.0,\"hits\":[{{\"_index\":\"runs\",\
                 \"_id\":\"{query}.{shard}\",\"_score\":1.0}}]}}}}"
            );
            ("200 OK", body)
        };
        let bytes = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Opaque-Id: {query}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if write.write_all(bytes.as_bytes()).is_err() {
            return;
        }
        if is_nth(answers.fetch_add(1, Ordering::Relaxed) + 1, conduct.copy_every) {
            thread::sleep(conduct.copy_after);
            if read.buffer().is_empty() && nothing_waits(stream) {
                record.line(&format!("copy s-{no} {query}.{shard}"));
                if write.write_all(bytes.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }
}

/// Returns whether the peer has sent nothing that is not yet read.
fn nothing_waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
