use super::*;
use crate::directory::dns::parse_name;

const ALL_KINDS: [RecordKind; 3] = [RecordKind::Service, RecordKind::Address, RecordKind::Texts];

fn name(label: &str) -> Name {
    parse_name(&format!("{label}._run-store._tcp.test"))
}

fn host(label: &str) -> Name {
    parse_name(&format!("host-{label}.test"))
}

fn listed(label: &str, address: &str) -> ListedRunStore {
    run_store_from_texts(label, address.parse().unwrap(), &[b"group=0".to_vec()]).unwrap()
}

/// Returns the records of a run store on this port.
fn records(label: &str, port: u16, status: &str) -> Vec<Record> {
    let texts = vec![b"group=0".to_vec(), format!("status={status}").into_bytes()];
    vec![
        Record { name: name(label), data: RecordData::Service(port, host(label)) },
        Record { name: name(label), data: RecordData::Texts(texts) },
        Record { name: host(label), data: RecordData::Address([127, 0, 0, 1].into()) },
    ]
}

/// Answers all lookups; `answer` returns the records, or `None` for a failure.
fn look_up(instances: &mut Instances, answer: impl Fn(&StartedLookup) -> Option<Vec<Record>>) {
    instances.request_lookups(&BTreeSet::new());
    while let Some(started) = instances.start_lookup(&RoundTripTime::default()) {
        match answer(&started) {
            Some(records) => {
                let of_kind = |record: &Record| is_of_kind(&record.data, started.lookup.kind);
                let own: Vec<_> = records.into_iter().filter(of_kind).collect();
                instances.apply_answer(&started, &own);
            }
            None => {
                instances.record_failure(&started.lookup, true);
            }
        }
    }
}

fn addresses(instances: &Instances) -> Vec<(String, String)> {
    let line = |run_store: ListedRunStore| {
        (run_store.replica.id.0.to_string(), run_store.address.unwrap().to_string())
    };
    instances.run_stores().into_iter().map(line).collect()
}

fn pair(id: &str, address: &str) -> (String, String) {
    (id.into(), address.into())
}

#[test]
fn names_take_effect_without_the_records_of_the_others() {
    let mut instances = Instances::default();
    let in_use = [listed("s-0", "127.0.0.1:1"), listed("s-1", "127.0.0.1:2")];
    instances.set_names(&[name("s-1"), name("s-2")], &in_use);
    assert_eq!(addresses(&instances), [pair("s-1", "127.0.0.1:2")]);
    assert!(!instances.is_complete());
    look_up(&mut instances, |_| None);
    assert_eq!(addresses(&instances), [pair("s-1", "127.0.0.1:2")], "failures change nothing");
    assert!(instances.is_complete());
    look_up(&mut instances, |started| {
        let (label, port) = if started.name[0].ends_with("s-1") { ("s-1", 3) } else { ("s-2", 4) };
        Some(records(label, port, "ready"))
    });
    assert_eq!(addresses(&instances), [pair("s-1", "127.0.0.1:3"), pair("s-2", "127.0.0.1:4")]);
}

#[test]
fn a_failed_lookup_keeps_the_record_and_an_answer_without_it_removes_the_run_store() {
    for kind in ALL_KINDS {
        let mut instances = Instances::default();
        instances.set_names(&[name("s-0")], &[]);
        look_up(&mut instances, |_| Some(records("s-0", 1, "ready")));
        assert_eq!(addresses(&instances), [pair("s-0", "127.0.0.1:1")]);
        let missing = |answer: Option<Vec<Record>>| {
            move |started: &StartedLookup| match started.lookup.kind == kind {
                true => answer.clone(),
                false => Some(records("s-0", 1, "ready")),
            }
        };
        look_up(&mut instances, missing(None));
        assert_eq!(addresses(&instances), [pair("s-0", "127.0.0.1:1")], "{kind:?}");
        look_up(&mut instances, missing(Some(Vec::new())));
        assert_eq!(addresses(&instances), [], "{kind:?}");
        let line = instances.line(&ReplicaId::from("s-0"));
        assert_eq!((line.replica.state, line.address), (ReplicaState::Gone, None));
        look_up(&mut instances, |_| Some(records("s-0", 2, "ready")));
        assert_eq!(addresses(&instances), [pair("s-0", "127.0.0.1:2")], "{kind:?}");
    }
}

#[test]
fn a_drain_takes_effect_while_the_location_cannot_be_queried() {
    let mut instances = Instances::default();
    instances.set_names(&[name("s-0")], &[listed("s-0", "127.0.0.1:1")]);
    look_up(&mut instances, |started| {
        (started.lookup.kind == RecordKind::Texts).then(|| records("s-0", 9, "draining"))
    });
    let run_store = &instances.run_stores()[0];
    assert_eq!(run_store.replica.state, ReplicaState::Draining);
    assert_eq!(run_store.address, Some(([127, 0, 0, 1], 1).into()));
}

#[test]
fn a_new_host_counts_once_its_address_is_known() {
    let mut instances = Instances::default();
    instances.set_names(&[name("s-0")], &[]);
    look_up(&mut instances, |_| Some(records("s-0", 1, "ready")));
    let moved = |started: &StartedLookup| match started.lookup.kind {
        RecordKind::Service => {
            Some(vec![Record { name: name("s-0"), data: RecordData::Service(2, host("new")) }])
        }
        RecordKind::Address => None,
        RecordKind::Texts => Some(records("s-0", 1, "ready")),
    };
    look_up(&mut instances, moved);
    assert_eq!(addresses(&instances), [pair("s-0", "127.0.0.1:1")]);
    look_up(&mut instances, |started| match started.lookup.kind {
        RecordKind::Address => {
            Some(vec![Record { name: host("new"), data: RecordData::Address([127, 0, 0, 2].into()) }])
        }
        _ => moved(started),
    });
    assert_eq!(addresses(&instances), [pair("s-0", "127.0.0.2:2")]);
}

#[test]
fn an_address_is_kept_while_it_is_one_of_several() {
    let mut instances = Instances::default();
    instances.set_names(&[name("s-0")], &[]);
    let with_addresses = |last: [u8; 2]| {
        move |started: &StartedLookup| {
            let mut answer = records("s-0", 1, "ready");
            if started.lookup.kind == RecordKind::Address {
                let record =
                    |last| Record { name: host("s-0"), data: RecordData::Address([127, 0, 0, last].into()) };
                answer = last.map(record).into();
            }
            Some(answer)
        }
    };
    for (answered, used) in [([1, 2], 1), ([2, 1], 1), ([3, 2], 3)] {
        look_up(&mut instances, with_addresses(answered));
        assert_eq!(addresses(&instances), [pair("s-0", &format!("127.0.0.{used}:1"))]);
    }
}

#[test]
fn records_that_come_along_are_not_looked_up() {
    let mut instances = Instances::default();
    instances.set_names(&[name("s-0"), name("s-1")], &[]);
    let known = instances.apply_additional(&records("s-0", 1, "ready"));
    assert_eq!(addresses(&instances), [pair("s-0", "127.0.0.1:1")]);
    instances.request_lookups(&known);
    let started: Vec<_> = std::iter::from_fn(|| instances.start_lookup(&RoundTripTime::default()))
        .map(|started| started.name)
        .collect();
    assert_eq!(started, [name("s-1"), name("s-1")]);
}

#[test]
fn an_answer_about_a_former_host_or_instance_is_ignored() {
    let mut instances = Instances::default();
    instances.set_names(&[name("s-0")], &[]);
    look_up(&mut instances, |_| Some(records("s-0", 1, "ready")));
    let lookup = Lookup { instance: ReplicaId::from("s-0"), kind: RecordKind::Address };
    let former = StartedLookup { lookup, name: host("former") };
    assert!(!instances.apply_answer(&former, &[]));
    assert_eq!(addresses(&instances).len(), 1);
    instances.set_names(&[], &[]);
    let current = StartedLookup { name: host("s-0"), ..former };
    assert!(!instances.apply_answer(&current, &records("s-0", 1, "ready")));
    assert_eq!(addresses(&instances), []);
}

#[test]
fn a_txt_record_describes_a_run_store() {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let texts = |texts: &[&str]| texts.iter().map(|text| text.as_bytes().to_vec()).collect::<Vec<_>>();
    let listed =
        run_store_from_texts("s-1", address, &texts(&["Group=4", "status=draining", "since_ms=9"])).unwrap();
    let replica = listed.replica;
    assert_eq!((replica.cell, replica.state, replica.started), (4, ReplicaState::Draining, Some(9.0)));
    assert_eq!((replica.weight, listed.address), (1.0, Some(address)));
    assert_eq!(
        run_store_from_texts("s-1", address, &texts(&["zone=z"])),
        None,
        "a run store without a group holds no shard"
    );
    assert_eq!(run_store_from_texts("s-1", address, &texts(&["group=many"])), None);
}
