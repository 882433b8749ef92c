use super::*;

/// A response with a PTR whose target ends in a pointer to the question's name.
fn response() -> Vec<u8> {
    let mut bytes = query(9, &name("_run-store._tcp.test"), Kind::Ptr).unwrap();
    (bytes[2], bytes[7]) = (0x84, 1);
    bytes.extend_from_slice(&[0xc0, 12, 0, 12, 0, 1, 0, 0, 0, 60, 0, 6, 3, b's', b'-', b'1', 0xc0, 12]);
    bytes
}

#[test]
fn compressed_names_are_read() {
    let read = read(&response()).unwrap();
    assert_eq!((read.id, read.code, read.cut), (9, 0, false));
    assert!(same(&read.records[0].name, &name("_RUN-STORE._tcp.test.")));
    assert_eq!(read.records[0].data, Data::Pointer(name("s-1._run-store._tcp.test")));
}

#[test]
fn what_is_cut_or_leads_in_circles_is_malformed() {
    let whole = response();
    for length in 0..whole.len() {
        assert_eq!(read(&whole[..length]), None, "{length} bytes");
    }
    let mut circle = whole.clone();
    let last = circle.len() - 1;
    circle[last] = last as u8 - 5;
    assert_eq!(read(&circle), None);
    let mut asked = whole;
    asked[2] = 0;
    assert_eq!(read(&asked), None, "a query is no response");
    assert_eq!(query(1, &["x".repeat(64)], Kind::Srv), None);
}
