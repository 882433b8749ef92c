use super::*;

fn question(name: &str, record_type: RecordType) -> Question {
    Question { name: parse_name(name), record_type }
}

/// Returns a response with a PTR record whose target ends in a compression pointer to the question's name.
fn response() -> Vec<u8> {
    let mut bytes = encode_query(9, &question("_run-store._tcp.test", RecordType::Ptr)).unwrap();
    (bytes[2], bytes[7]) = (0x84, 1);
    bytes.extend_from_slice(&[0xc0, 12, 0, 12, 0, 1, 0, 0, 0, 60, 0, 6, 3, b's', b'-', b'1', 0xc0, 12]);
    bytes
}

#[test]
fn compressed_names_are_read() {
    let response = decode_response(&response()).unwrap();
    assert_eq!((response.id, response.code, response.truncated), (9, 0, false));
    assert!(names_equal(&response.answers[0].name, &parse_name("_RUN-STORE._tcp.test.")));
    assert_eq!(response.answers[0].data, RecordData::Pointer(parse_name("s-1._run-store._tcp.test")));
}

#[test]
fn truncated_responses_and_pointer_loops_are_malformed() {
    let whole = response();
    for length in 0..whole.len() {
        assert_eq!(decode_response(&whole[..length]), None, "{length} bytes");
    }
    let mut pointer_loop = whole.clone();
    let last = pointer_loop.len() - 1;
    pointer_loop[last] = last as u8 - 5;
    assert_eq!(decode_response(&pointer_loop), None);
    let mut query = whole;
    query[2] = 0;
    assert_eq!(decode_response(&query), None, "a query is not a response");
    assert_eq!(encode_query(1, &question(&"x".repeat(64), RecordType::Srv)), None);
}

/// Returns a response without answers, with this response code and these record types in the authority section.
fn negative_response(code: u8, authorities: &[u8]) -> Response {
    let mut bytes = encode_query(9, &question("_run-store._tcp.test", RecordType::Ptr)).unwrap();
    (bytes[2], bytes[3], bytes[9]) = (0x84, code, authorities.len() as u8);
    for record_type in authorities {
        bytes.extend_from_slice(&[0xc0, 12, 0, *record_type, 0, 1, 0, 0, 0, 60, 0, 0]);
    }
    decode_response(&bytes).unwrap()
}

#[test]
fn only_an_answer_of_the_server_says_that_there_are_no_records() {
    let asked = question("_run-store._tcp.test", RecordType::Ptr);
    let (soa, ns) = (6, 2);
    for (code, authorities) in [(0, &[][..]), (3, &[]), (0, &[soa]), (3, &[soa]), (0, &[soa, ns])] {
        let response = negative_response(code, authorities);
        assert_eq!(response.into_records(&asked), Ok(Vec::new()), "code {code}, {authorities:?}");
    }
    for (code, authorities) in [(1, &[][..]), (2, &[]), (2, &[soa]), (4, &[]), (5, &[]), (0, &[ns])] {
        let response = negative_response(code, authorities);
        assert!(response.into_records(&asked).is_err(), "code {code}, {authorities:?}");
    }
    let other = question("_run-store._tcp.other", RecordType::Ptr);
    let records = decode_response(&response()).unwrap();
    assert!(records.clone().into_records(&other).is_err(), "records of another name");
    assert_eq!(records.into_records(&asked).unwrap().len(), 1);
}

#[test]
fn a_response_belongs_to_the_query_with_its_id_and_question() {
    let asked = question("_run-store._tcp.test", RecordType::Ptr);
    let response = decode_response(&response()).unwrap();
    assert!(response.is_response_to(9, &asked));
    assert!(!response.is_response_to(8, &asked));
    assert!(!response.is_response_to(9, &question("_run-store._tcp.test", RecordType::Srv)));
    assert!(!response.is_response_to(9, &question("s-1.test", RecordType::Ptr)));
    let mut without_question = negative_response(0, &[]);
    without_question.question = None;
    assert!(!without_question.is_response_to(9, &asked));
}

#[test]
fn a_truncated_response_is_recognized_wherever_it_is_cut() {
    let mut bytes = response();
    bytes[2] |= 0x02;
    let question_end = bytes.len() - 18;
    for length in question_end..bytes.len() {
        let response = decode_response(&bytes[..length]).unwrap();
        assert!(response.truncated && response.answers.is_empty(), "{length} bytes");
    }
}
