//! A stand-in for a run store with the OpenSearch-style API, which serves each search.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::read_message;
use crate::record::Record;

/// A running stand-in.
pub struct SearchStore {
    pub name: String,
    pub address: SocketAddr,
    searches: Arc<Mutex<Vec<f64>>>,
}

impl SearchStore {
    /// Starts a stand-in. `work` is how long a search takes.
    pub fn start(name: &str, work: Duration, record: &Arc<Record>) -> io::Result<SearchStore> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let searches = Arc::new(Mutex::new(Vec::new()));
        let (kept, record, own) = (searches.clone(), record.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (kept, record, name) = (kept.clone(), record.clone(), own.clone());
                thread::spawn(move || {
                    let _ = serve(stream, &name, work, &kept, &record);
                });
            }
        });
        Ok(SearchStore { name: name.to_string(), address, searches })
    }

    /// Returns when searches arrived.
    pub fn searches(&self) -> Vec<f64> {
        self.searches.lock().map(|all| all.clone()).unwrap_or_default()
    }
}

fn serve(
    mut stream: TcpStream,
    name: &str,
    work: Duration,
    kept: &Mutex<Vec<f64>>,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let request = read_message(&mut stream, &mut buffer)?;
        let id = request.header("x-opaque-id").unwrap_or("").to_string();
        let body = if request.first.contains("/_search?") {
            if let Ok(mut kept) = kept.lock() {
                kept.push(record.now());
            }
            record.line(&format!("{name} got {} for {id}", request.first));
            thread::sleep(work);
            format!(
                "{{\"took\":1,\"timed_out\":false,\"_shards\":{{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}},\
                 \"hits\":{{\"total\":{{\"value\":1,\"relation\":\"eq\"}},\"max_score\":1.0,\
                 \"hits\":[{{\"_index\":\"run-lookup\",\"_id\":\"{name}\",\"_score\":1.0}}]}}}}"
            )
        } else {
            "{}".to_string()
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Opaque-Id: {id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes())?;
    }
}
