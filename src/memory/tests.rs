use super::*;

const KB: usize = 1024;

#[test]
fn small_requests_are_read_when_the_pool_is_used_up() {
    let mut memory = RequestMemory::with_pool(100 * KB);
    memory.record(0, CONNECTION_ALLOWANCE + 100 * KB);
    assert_eq!(memory.readable(CONNECTION_ALLOWANCE + 100 * KB), 0);
    assert_eq!(memory.readable(CONNECTION_ALLOWANCE), 0);
    assert_eq!(memory.readable(CONNECTION_ALLOWANCE - 1), 1);
    assert_eq!(memory.readable(0), CONNECTION_ALLOWANCE);
}

/// Guards against a pool that shrinks or grows over time: whatever connections do, it is whole again when all have ended.
#[test]
fn the_pool_is_whole_again_when_all_connections_have_ended() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut memory = RequestMemory::for_limit(32.0);
    let whole = memory.clone();
    let mut used = [0; 200];
    for _ in 0..10_000 {
        let connection = random.usize(..used.len());
        let now = if random.bool() { random.usize(..200 * KB) } else { 0 };
        memory.record(used[connection], now);
        used[connection] = now;
        let from_pool: usize = used.iter().map(|bytes| bytes.saturating_sub(CONNECTION_ALLOWANCE)).sum();
        assert_eq!(memory.pool_free(), whole.pool_free().saturating_sub(from_pool));
    }
    used.iter().for_each(|bytes| memory.record(*bytes, 0));
    assert_eq!(memory, whole);
}
