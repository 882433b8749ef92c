use super::*;

#[test]
fn times_need_a_unit() {
    assert_eq!(parse_time("250ms"), Some(250.0));
    assert_eq!(parse_time("1.5s"), Some(1500.0));
    assert_eq!(parse_time("250"), None);
    assert_eq!(parse_time("-1s"), None);
    assert_eq!(parse_time("1y"), None);
}

#[test]
fn murmur3_gives_the_published_values() {
    assert_eq!(murmur3(b""), 0);
    assert_eq!(murmur3(b"test"), 0xba6b_d213);
    assert_eq!(murmur3(b"Hello, world!"), 0xc036_3e43);
}
