use super::*;
use crate::http::parse::{MessageKind, Parser};

fn response(head: &str) -> Message {
    let mut parser = Parser::new(MessageKind::Response(100));
    parser.push(format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n").as_bytes());
    parser.next_message().unwrap().unwrap()
}

#[test]
fn a_response_is_matched_by_the_id_that_it_returns() {
    let mut ids = RequestIds::default();
    ids.add("first");
    ids.add("second");
    let matched = |head: &str| ids.match_response(&response(head), "second");
    assert_eq!(matched("X-Opaque-Id: second\r\n"), ResponseMatch::Own);
    assert_eq!(matched("X-Opaque-Id: first\r\n"), ResponseMatch::Surplus);
    assert_eq!(matched("X-Opaque-Id: third\r\n"), ResponseMatch::Unknown);
    assert_eq!(matched(""), ResponseMatch::Unknown);
}

#[test]
fn a_response_without_an_id_belongs_to_the_only_request_of_its_connection() {
    let mut ids = RequestIds::default();
    ids.add("first");
    assert_eq!(ids.match_response(&response(""), "first"), ResponseMatch::Own);
    assert_eq!(ids.match_response(&response("X-Opaque-Id: other\r\n"), "first"), ResponseMatch::Unknown);
}

#[test]
fn a_connection_carries_an_id_once_and_a_limited_number_of_ids() {
    let mut ids = RequestIds::default();
    for number in 0..MAX_REQUESTS {
        let id = number.to_string();
        assert!(ids.allow(&id), "{id}");
        ids.add(&id);
        assert!(!ids.allow(&id), "{id}");
    }
    assert!(ids.is_exhausted() && !ids.allow("another"));
}
