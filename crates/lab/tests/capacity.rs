//! The commands `capacity` and `measure` on the command line: invalid input exits with status 2 and names the reason.

use std::process::Command;

fn run_capacity(arguments: &[&str]) -> (Option<i32>, String) {
    let process =
        Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab")).arg("capacity").args(arguments).output().unwrap();
    (process.status.code(), String::from_utf8_lossy(&process.stderr).into_owned())
}

#[test]
fn invalid_arguments_and_files_exit_with_2_and_the_reason() {
    let folder = std::env::temp_dir().join(format!("ironpaddle-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let invalid = folder.join("slopes.toml");
    std::fs::write(&invalid, "[[series]]\nname = 'a'\n").unwrap();
    let invalid = invalid.to_str().unwrap();
    for (arguments, reason) in [
        (vec!["--nothing"], "unexpected argument"),
        (vec!["--slopes", "/nowhere/slopes.toml"], "/nowhere/slopes.toml: "),
        (vec!["--slopes", invalid], "missing field"),
    ] {
        let (status, output) = run_capacity(&arguments);
        assert_eq!(status, Some(2), "{output}");
        assert!(output.contains(reason), "{output}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn measured_series_of_a_real_aggregator_parse_and_match_its_connections() {
    let measured = |arguments: &[&str]| {
        let process = Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab"))
            .arg("measure")
            .args(arguments)
            .output()
            .unwrap();
        (
            process.status.code(),
            String::from_utf8(process.stdout).unwrap(),
            String::from_utf8(process.stderr).unwrap(),
        )
    };
    for invalid in [
        vec!["connections", "--at", "0", "--build", "b"],
        vec!["connections", "--at", "3,6"],
        vec!["nothing"],
    ] {
        assert_eq!(measured(&invalid).0, Some(2), "{invalid:?}");
    }
    let (status, output, errors) =
        measured(&["connections", "--at", "3,9", "--seconds", "1", "--build", "b"]);
    assert_eq!(status, Some(0), "{errors}");
    let file: toml::Table = output.parse().unwrap();
    let descriptors = &file["series"][0];
    assert_eq!(descriptors["name"].as_str(), Some("descriptors-by-connections"));
    let point = |no: usize, place: usize| descriptors["points"][no][place].as_float().unwrap();
    // On a slow machine a run store may seem unresponsive, and the aggregator opens another connection to it.
    assert!(point(0, 0) >= 3.0 && point(1, 0) >= 9.0, "a connection to each run store: {output}");
    let others = [point(0, 1) - point(0, 0), point(1, 1) - point(1, 0)];
    assert_eq!(others[0], others[1], "a descriptor for each connection: {output}");
}
