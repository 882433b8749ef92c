use super::*;

#[test]
fn targets_are_decoded() {
    let target = Target::read("/run-search/_search?preference=_shards%3A1%2C2&x=a+b").unwrap();
    assert_eq!(target.path, ["run-search", "_search"]);
    assert_eq!(target.parameters[0], ("preference".into(), "_shards:1,2".into()));
    assert_eq!(target.parameters[1].1, "a b");
    assert_eq!(Target::read("/a%2"), None);
    assert_eq!(Target::read("/a%ff"), None);
}
