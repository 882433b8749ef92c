//! A run store that speaks the OpenSearch-style API. Each of its hits names the query and the shard that it was made
//! for, in `_id`.

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
    /// Every so many answers a second copy follows; 0 for never.
    pub copy_every: u64,
    /// How long after the answer the second copy is written.
    pub copy_after: Duration,
}

/// When each run store was given searches, in milliseconds of the record.
#[derive(Default)]
pub struct Runs(Mutex<Vec<(usize, f64)>>);

impl Runs {
    pub fn of(&self, no: usize) -> Vec<f64> {
        self.0.lock().unwrap().iter().filter(|(store, _)| *store == no).map(|(_, at)| *at).collect()
    }
}

pub fn start(no: usize, conduct: Conduct, record: Arc<Record>, runs: Arc<Runs>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answers = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (answers, record, runs) = (answers.clone(), record.clone(), runs.clone());
            thread::spawn(move || serve(no, &stream, conduct, &answers, &record, &runs));
        }
    });
    address
}

fn serve(no: usize, stream: &TcpStream, conduct: Conduct, answers: &AtomicU64, record: &Record, runs: &Runs) {
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
        runs.0.lock().unwrap().push((no, record.now()));
        record.line(&format!("run s-{no} {query}.{shard}"));
        thread::sleep(conduct.work);
        let body = format!(
            "{{\"took\":5,\"timed_out\":false,\"_shards\":{{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}},\
             \"hits\":{{\"total\":{{\"value\":1,\"relation\":\"eq\"}},\"max_score\":1.0,\"hits\":[{{\"_index\":\"runs\",\
             \"_id\":\"{query}.{shard}\",\"_score\":1.0}}]}}}}"
        );
        let bytes = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Opaque-Id: {query}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if write.write_all(bytes.as_bytes()).is_err() {
            return;
        }
        let answered = answers.fetch_add(1, Ordering::Relaxed) + 1;
        if conduct.copy_every > 0 && answered % conduct.copy_every == 0 {
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
