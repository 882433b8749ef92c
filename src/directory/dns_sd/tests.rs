use super::*;
use crate::api::ReplicaState;

#[test]
fn a_txt_record_describes_a_run_store() {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let texts = |texts: &[&str]| texts.iter().map(|text| text.as_bytes().to_vec()).collect::<Vec<_>>();
    let listed =
        listed_run_store("s-1", address, &texts(&["Group=4", "status=draining", "since_ms=9"])).unwrap();
    let replica = listed.replica;
    assert_eq!((replica.cell, replica.state, replica.started), (4, ReplicaState::Draining, Some(9.0)));
    assert_eq!((replica.weight, listed.address), (1.0, Some(address)));
    assert_eq!(
        listed_run_store("s-1", address, &texts(&["zone=z"])),
        None,
        "a run store without a group holds no shard"
    );
    assert_eq!(listed_run_store("s-1", address, &texts(&["group=many"])), None);
}
