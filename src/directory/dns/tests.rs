use super::*;

/// Returns a response with a PTR record whose target ends in a compression pointer to the question's name.
fn response() -> Vec<u8> {
    let mut bytes = encode_query(9, &parse_name("_run-store._tcp.test"), RecordType::Ptr).unwrap();
    (bytes[2], bytes[7]) = (0x84, 1);
    bytes.extend_from_slice(&[0xc0, 12, 0, 12, 0, 1, 0, 0, 0, 60, 0, 6, 3, b's', b'-', b'1', 0xc0, 12]);
    bytes
}

#[test]
fn compressed_names_are_read() {
    let response = decode_response(&response()).unwrap();
    assert_eq!((response.id, response.code, response.truncated), (9, 0, false));
    assert!(names_equal(&response.records[0].name, &parse_name("_RUN-STORE._tcp.test.")));
    assert_eq!(response.records[0].data, RecordData::Pointer(parse_name("s-1._run-store._tcp.test")));
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
    assert_eq!(encode_query(1, &["x".repeat(64)], RecordType::Srv), None);
}
