use super::*;

fn push(inbox: &mut Inbox, bytes: &[u8]) {
    inbox.push(bytes, Instant::now(), |_| None);
}

/// Guards against requests that take many times the memory of their bytes: 100 short header lines took 28 times theirs.
#[test]
fn received_requests_take_little_more_memory_than_their_bytes() {
    let head = |lines: usize| format!("POST / HTTP/1.1\r\n{}", "a:\r\n".repeat(lines));
    let short_requests = "GET / HTTP/1.0\n\n".repeat(500);
    for (name, bytes, allowed) in [
        ("a head with many fields", head(98) + "Content-Length: 9\r\n\r\n", 2_500),
        ("a head without an end", head(3_900), 2 * 15_617),
        ("half a body", format!("{}Content-Length: 65536\r\n\r\n{}", head(1), "a".repeat(65_000)), 66_500),
        (
            "half a chunk",
            format!("{}Transfer-Encoding: chunked\r\n\r\nfff0\r\n{}", head(1), "a".repeat(65_000)),
            66_500,
        ),
        ("short requests", short_requests, 500 * 16 + MAX_PARSED_REQUESTS * 300),
    ] {
        let mut inbox = Inbox::default();
        for piece in bytes.as_bytes().chunks(8192) {
            push(&mut inbox, piece);
        }
        assert!(inbox.memory() <= allowed, "{name}: {} bytes of memory", inbox.memory());
    }
}

#[test]
fn requests_that_are_not_parsed_ahead_are_returned_in_order() {
    let mut inbox = Inbox::default();
    let requests = 3 * MAX_PARSED_REQUESTS + 5;
    let bytes: String = (0..requests).map(|no| format!("GET /{no} HTTP/1.1\r\n\r\n")).collect();
    push(&mut inbox, bytes.as_bytes());
    assert!(inbox.is_full());
    for no in 0..requests {
        assert!(inbox.has_complete(), "request {no}");
        let request = inbox.next_request(|_| None).unwrap().unwrap();
        assert_eq!(request.message.start.1, format!("/{no}"));
    }
    assert_eq!(inbox.next_request(|_| None), Ok(None));
    assert!(inbox.is_empty());
    assert_eq!(inbox.memory(), 0);
}

#[test]
fn a_discarded_request_takes_no_memory_and_its_end_is_found() {
    let mut inbox = Inbox::default();
    push(
        &mut inbox,
        format!("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n{}", "a".repeat(50_000)).as_bytes(),
    );
    inbox.discard();
    assert!(inbox.memory() < 1000, "{} bytes", inbox.memory());
    assert_eq!(inbox.bytes_after_first(&[b'a'; 9_000]), None);
    assert!(inbox.memory() < 1000, "{} bytes", inbox.memory());
    assert_eq!(inbox.bytes_after_first(&[b'a'; 1_007]), Some(7));
}
