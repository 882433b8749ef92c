//! Clients that have left before their requests are read.

use std::io::Write;
use std::time::Duration;

use crate::aggregator::Aggregator;
use crate::stand_in::WIRES;

/// Far longer than a request takes to be sent to its run store.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Guards against requests that are sent on although their client had closed its connection before they were read: the
/// close stands behind the input, and was seen only after all of it.
#[test]
fn requests_of_a_client_that_has_left_are_not_sent_on() {
    for wire in WIRES {
        for bytes_behind in [0, 20_000, 50_000, 65_000, 100_000] {
            let aggregator = Aggregator::start(wire, 2);
            assert!(aggregator.ask("run-lookup", &[0], 8000).is_whole(), "{wire:?}");
            aggregator.signal("STOP");
            for _ in 0..10 {
                let mut stream = aggregator.connect();
                let request = aggregator.query_bytes("", "shift-entry", &[0], 8000);
                stream.write_all(request.as_bytes()).unwrap();
                // A long body, as the connection is closed anyway if many requests are behind an open one.
                stream.write_all(b"POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n").unwrap();
                stream.write_all(&vec![b' '; bytes_behind]).unwrap();
            }
            aggregator.signal("CONT");
            std::thread::sleep(SETTLING_TIME);
            let parts = aggregator.backends.read(|state| state.parts.len());
            assert_eq!(parts, 1, "{wire:?}, {bytes_behind} bytes behind: parts of clients that have left");
        }
    }
}
