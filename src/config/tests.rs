use super::*;

const SETTINGS: &str = r#""settings":{"domain":{"cells":1,"width":1},
    "request_classes":[{"name":"a","aim_ms":1.0,"repeat":"read_like"}]}"#;

fn parse(rest: &str) -> Result<Config, String> {
    Config::parse(&format!(r#"{{"name":"n","listen":"127.0.0.1:0",{rest}}}"#))
}

#[test]
fn missing_keys_have_defaults() {
    let config = parse(&format!(r#""discovery":"127.0.0.1:1",{SETTINGS}"#)).unwrap();
    assert_eq!((config.limits.sockets, config.api, config.seed()), (1024, Api::Platform, 0));
    for elsewhere in [0, 300, 900] {
        let own = config.client_connections(elsewhere) + config.run_store_connections(elsewhere);
        assert!(
            own + RESERVED_DESCRIPTORS + elsewhere <= 1024,
            "{own} here and {elsewhere} in the other process"
        );
    }
    assert!(config.client_connections(5000) > 0, "at least the minimum, whatever the other process uses");
}

#[test]
fn each_of_many_run_stores_may_have_a_connection() {
    let with = |sockets: usize, run_stores: usize| {
        let line = r#"{"name":"s","group":0,"status":"ready"}"#;
        let known = vec![line; run_stores].join(",");
        let known = format!(r#""known":{{"snapshot":true,"endpoints":[{known}]}}"#);
        parse(&format!(r#""discovery":"127.0.0.1:1","limits":{{"sockets":{sockets}}},{known},{SETTINGS}"#))
            .unwrap()
    };
    for sockets in [512, 544, 640, 1024] {
        let config = with(sockets, 200);
        let (clients, stores) = (config.client_connections(0), config.run_store_connections(0));
        assert!(stores >= 200, "{stores} of {sockets}");
        // At least a third of the descriptors must remain for clients.
        assert!(clients >= sockets / 3, "{clients} of {sockets}");
        assert!(clients + clients / 8 + stores + RESERVED_DESCRIPTORS <= sockets);
    }
    let few = with(1024, 14);
    assert_eq!(
        (few.client_connections(0), few.run_store_connections(0)),
        (640, 192),
        "unchanged with few run stores"
    );
}

#[test]
fn messages_name_the_faulty_key() {
    let discovery = r#""discovery":"127.0.0.1:1""#;
    for (rest, key) in [
        (format!(r#""discovery":"nowhere",{SETTINGS}"#), "key discovery:"),
        (SETTINGS.to_string(), "key discovery:"),
        (
            format!(r#"{discovery},"dns_sd":{{"server":"127.0.0.1:1","service":"_a._tcp"}},{SETTINGS}"#),
            "key dns_sd:",
        ),
        (discovery.to_string(), "key settings:"),
        (format!(r#"{discovery},"seed":"xyz",{SETTINGS}"#), "key seed:"),
        (format!(r#"{discovery},"limits":{{"sockets":3}},{SETTINGS}"#), "key limits.sockets:"),
        (format!(r#"{discovery},"limits":{{"sockets":"many"}},{SETTINGS}"#), "key limits.sockets:"),
        (format!(r#"{discovery},"api":"opensearch",{SETTINGS}"#), "key settings.domain.shards:"),
        (format!(r#"{discovery},"api":"soap",{SETTINGS}"#), "key api:"),
        (format!(r#"{discovery},"settings":{{"domain":{{"cells":"x"}}}}"#), "key settings.domain.cells:"),
        (
            format!(
                r#"{discovery},"settings":{{"caps":{{"streams_per_conn":0}},"domain":{{"cells":1,"width":1}},
                "request_classes":[{{"name":"a","aim_ms":1.0,"repeat":"read_like"}}]}}"#
            ),
            "key settings.caps.streams_per_conn:",
        ),
        (
            format!(r#"{discovery},"store":{{"listen":"10.0.0.1:1","peers":[]}},{SETTINGS}"#),
            "key store.listen:",
        ),
        (
            format!(r#"{discovery},"store":{{"listen":"127.0.0.1:1","peers":["10.0.0.1:1"]}},{SETTINGS}"#),
            "key store.peers:",
        ),
    ] {
        let message = parse(&rest).map(|_| ()).unwrap_err();
        assert!(message.starts_with(key), "expected {key}, got: {message}");
    }
}

#[test]
fn a_reload_names_the_keys_that_need_a_restart() {
    let old = parse(&format!(r#""discovery":"127.0.0.1:1",{SETTINGS}"#)).unwrap();
    let moved = parse(&format!(r#""discovery":"127.0.0.1:2",{SETTINGS}"#)).unwrap();
    assert_eq!(old.needs_restart(&moved), [""; 0], "a reload applies another address of discovery");
    let other = SETTINGS.replace("1.0", "2.0");
    let changed =
        parse(&format!(r#""dns_sd":{{"server":"127.0.0.1:1","service":"_a._tcp"}},"seed":"7",{other}"#));
    assert_eq!(old.needs_restart(&changed.unwrap()), ["dns_sd"]);
}

#[test]
fn a_reload_with_a_missing_key_is_refused() {
    let class = |rest: &str| format!(r#"{{"name":"a","aim_ms":1.0,"repeat":"read_like"{rest}}}"#);
    let file = |classes: &[String], caps: &str, domain: &str| {
        let classes = classes.join(",");
        let domain = format!(r#"{{"cells":1,"width":1{domain}}}"#);
        parse(&format!(
            r#""discovery":"127.0.0.1:1","seed":"7","settings":{{"domain":{domain},"caps":{{{caps}}},
            "request_classes":[{classes}]}}"#
        ))
        .unwrap()
    };
    let (long, keyed) = (class(r#","deadline_ms":9"#), class(r#","deadline_ms":9,"window_ms":5"#));
    let one = std::slice::from_ref(&long);
    let most = r#""max_attempts":3"#;
    let old = file(&[long.clone(), keyed.clone()], most, "");
    for (new, fault) in [
        (file(one, most, ""), None),
        (file(&[long.clone(), keyed.clone(), long.clone()], r#""max_attempts":1"#, r#","shards":3"#), None),
        (file(&[long.clone(), class("")], most, ""), Some("settings.request_classes.1.deadline_ms")),
        (file(&[class(r#","deadline_ms":null"#)], most, ""), Some("settings.request_classes.0.deadline_ms")),
        (file(one, "", ""), Some("settings.caps.max_attempts")),
    ] {
        let fault = fault.map(|key| format!("key {key}: is missing, and was set before"));
        assert_eq!(old.check_no_key_removed(&new).err(), fault);
    }
    let bare = parse(r#""discovery":"127.0.0.1:1","store":{"listen":"127.0.0.1:1","peers":[]}"#);
    assert_eq!(
        old.check_no_key_removed(&bare.unwrap()).err().unwrap(),
        "key settings: is missing, and was set before"
    );
}

#[test]
fn the_example_file_for_operators_is_valid() {
    let config = Config::parse(include_str!("../../deploy/operator.json")).unwrap();
    assert_eq!(config.api, Api::Opensearch);
    assert!(config.store.is_some() && config.dns_sd.is_some());
}
