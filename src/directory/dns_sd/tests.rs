use super::*;

#[test]
fn a_text_record_tells_a_run_stores_line() {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let texts = |texts: &[&str]| texts.iter().map(|text| text.as_bytes().to_vec()).collect::<Vec<_>>();
    let told = line("s-1", address, &texts(&["Group=4", "status=draining", "since_ms=9"])).unwrap();
    assert_eq!((told.group, told.status.as_str(), told.since_ms, told.weight), (4, "draining", 9.0, 1.0));
    assert_eq!(line("s-1", address, &texts(&["zone=z"])), None, "without a group it holds no shard");
    assert_eq!(line("s-1", address, &texts(&["group=many"])), None);
}
