//! The commands `capacity` and `measure` on the command line: invalid input exits with status 2 and names the reason.

use std::process::Command;

fn called(arguments: &[&str]) -> (Option<i32>, String) {
    let done =
        Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab")).arg("capacity").args(arguments).output().unwrap();
    (done.status.code(), String::from_utf8_lossy(&done.stderr).into_owned())
}

#[test]
fn bad_arguments_and_bad_files_end_with_2_and_the_reason() {
    let folder = std::env::temp_dir().join(format!("ironpaddle-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let bad = folder.join("slopes.toml");
    std::fs::write(&bad, "[[series]]\nname = 'a'\n").unwrap();
    let bad = bad.to_str().unwrap();
    for (arguments, reason) in [
        (vec!["--nothing"], "unexpected argument"),
        (vec!["--slopes", "/nowhere/slopes.toml"], "/nowhere/slopes.toml: "),
        (vec!["--slopes", bad], "missing field"),
    ] {
        let (status, said) = called(&arguments);
        assert_eq!(status, Some(2), "{said}");
        assert!(said.contains(reason), "{said}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn what_is_measured_of_a_real_aggregator_can_be_fitted() {
    let measured = |arguments: &[&str]| {
        let done = Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab"))
            .arg("measure")
            .args(arguments)
            .output()
            .unwrap();
        (done.status.code(), String::from_utf8(done.stdout).unwrap(), String::from_utf8(done.stderr).unwrap())
    };
    for bad in [
        vec!["connections", "--at", "0", "--build", "b"],
        vec!["connections", "--at", "3,6"],
        vec!["nothing"],
    ] {
        assert_eq!(measured(&bad).0, Some(2), "{bad:?}");
    }
    let (status, said, why) = measured(&["connections", "--at", "3,9", "--seconds", "1", "--build", "b"]);
    assert_eq!(status, Some(0), "{why}");
    let file: toml::Table = said.parse().unwrap();
    let descriptors = &file["series"][0];
    assert_eq!(descriptors["name"].as_str(), Some("descriptors-by-connections"));
    let point = |no: usize, place: usize| descriptors["points"][no][place].as_float().unwrap();
    // On a slow machine a run store may seem unresponsive, and the aggregator opens another connection to it.
    assert!(point(0, 0) >= 3.0 && point(1, 0) >= 9.0, "a connection to each run store: {said}");
    let others = [point(0, 1) - point(0, 0), point(1, 1) - point(1, 0)];
    assert_eq!(others[0], others[1], "a descriptor for each connection: {said}");
}
