use super::*;

#[test]
fn the_latest_delisted_ids_are_kept_and_serialized_in_order() {
    let id = |no: usize| ReplicaId::from(format!("s-{no}").as_str());
    let mut drains = ManualDrains::default();
    // Each is forgotten twice in a row, as when a line reports it as gone and the next list lacks it.
    (0..MAX_DELISTED + 3).flat_map(|no| [no, no]).for_each(|no| drains.note_delisted(&id(no)));
    let known: Vec<_> = (0..MAX_DELISTED + 3).filter(|no| drains.delisted.contains(&id(*no))).collect();
    assert_eq!(known, (3..MAX_DELISTED + 3).collect::<Vec<_>>());
    let order: VecDeque<_> = known.into_iter().map(id).collect();
    let written = serde_json::to_value(&drains).unwrap();
    assert_eq!(
        written["gone"],
        serde_json::to_value(order).unwrap(),
        "the format that earlier versions read"
    );
    assert_eq!(serde_json::from_value::<ManualDrains>(written).unwrap(), drains);
}
