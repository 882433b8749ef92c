use super::*;

fn lookup(instance: &str, kind: RecordKind) -> Lookup {
    Lookup { instance: ReplicaId::from(instance), kind }
}

/// Starts all queued lookups and returns them in order.
fn started(order: &mut RecordOrder, state_share: f64) -> Vec<(String, RecordKind)> {
    let next = || order.start_next(state_share).map(|lookup| (lookup.instance.0.to_string(), lookup.kind));
    std::iter::from_fn(next).collect()
}

#[test]
fn state_checks_have_their_share() {
    let (state, service) = (RecordKind::Texts, RecordKind::Service);
    for (share, expected) in [
        (0.5, [service, state, service, state, service, state]),
        (0.34, [service, service, state, service, service, state]),
        (0.9, [service, state, state, state, state, state]),
    ] {
        let mut order = RecordOrder::default();
        for instance in 0..6 {
            order.request(lookup(&instance.to_string(), service), Purpose::CheckLocation);
            order.request(lookup(&instance.to_string(), state), Purpose::CheckState);
        }
        let kinds: Vec<_> = started(&mut order, share).into_iter().map(|(_, kind)| kind).collect();
        assert_eq!(kinds[..6], expected, "share {share}");
        assert_eq!(kinds.len(), 12);
    }
}

#[test]
fn new_instances_come_before_moves_and_hold_up_no_drain() {
    let mut order = RecordOrder::default();
    for instance in 0..3 {
        order.request(lookup(&format!("new-{instance}"), RecordKind::Service), Purpose::Discover);
    }
    order.request(lookup("old", RecordKind::Address), Purpose::CheckLocation);
    order.request(lookup("old", RecordKind::Texts), Purpose::CheckState);
    let instances: Vec<_> = started(&mut order, 0.5).into_iter().map(|(instance, _)| instance).collect();
    assert_eq!(instances, ["new-0", "old", "new-1", "new-2", "old"]);
}

#[test]
fn a_lookup_is_queued_once_until_it_has_ended() {
    let mut order = RecordOrder::default();
    let texts = lookup("a", RecordKind::Texts);
    order.request(texts.clone(), Purpose::CheckState);
    order.request(texts.clone(), Purpose::CheckState);
    assert_eq!(order.start_next(0.5), Some(texts.clone()));
    order.request(texts.clone(), Purpose::CheckState);
    assert_eq!(order.start_next(0.5), None, "it is in progress");
    order.end(&texts);
    order.request(texts.clone(), Purpose::Discover);
    order.request_first(lookup("b", RecordKind::Address), Purpose::Discover);
    assert_eq!(started(&mut order, 0.5).len(), 2);
}
