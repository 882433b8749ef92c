use super::*;

#[test]
fn an_id_is_free_before_it_is_used_and_when_it_need_not_be_remembered() {
    let mut ids = QueryIds::default();
    let id = IdHash::of("a");
    assert!(ids.may_open(0.0, id));
    ids.open(id);
    assert!(!ids.may_open(0.0, id));
    assert!(ids.may_open(0.0, IdHash::of("b")));
    ids.close(0.0, id, false);
    assert!(ids.may_open(0.0, id));
}

#[test]
fn a_remembered_id_is_free_again_after_its_time() {
    let mut ids = QueryIds::default();
    let id = IdHash::of("a");
    ids.open(id);
    ids.close(1000.0, id, true);
    assert!(!ids.may_open(1000.0 + REMEMBERED_FOR, id));
    assert_eq!(ids.in_use(), [id]);
    assert!(ids.may_open(1001.0 + REMEMBERED_FOR, id));
    assert!(ids.in_use().is_empty());
}

/// Guards against memory that grows with the number of ids that clients send.
#[test]
fn the_number_of_remembered_ids_is_bounded_and_the_oldest_are_forgotten_first() {
    let mut ids = QueryIds::default();
    for no in 0..MAX_REMEMBERED + 10 {
        ids.remember(0.0, IdHash::of(&no.to_string()));
        ids.remember(0.0, IdHash::of(&no.to_string()));
    }
    assert_eq!((ids.remembered.len(), ids.in_order.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
    assert!(ids.may_open(0.0, IdHash::of("9")));
    assert!(!ids.may_open(0.0, IdHash::of("10")));
}
