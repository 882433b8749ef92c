//! Runs several aggregator processes under faults: links that are cut, delayed, silenced or reset, and processes that
//! are killed, stopped or restarted. The tests check that no rule is broken, with slack for slow machines; they measure
//! nothing.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

/// Returns a new folder for a test.
fn create_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("ironpaddle-fleet-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs a scenario of the lab, see [`run_file`].
fn run_scenario(scenario: &str, more: &[&str]) -> Value {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(format!("{scenario}.txt"));
    run_file(&file, scenario, more)
}

/// Runs the scenario in a file and returns its results, after checking that no rule was broken and all processes shut
/// down cleanly.
fn run_file(file: &Path, name: &str, more: &[&str]) -> Value {
    let folder = create_folder(name);
    let results = folder.join("results.json");
    let process = Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab"))
        .arg("fleet")
        .arg(file)
        .args(["--seed", "3", "--slack", "1500", "--seconds", "8", "--json"])
        .arg(&results)
        .args(more)
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&process.stdout).into_owned();
    assert!(process.status.success(), "{output}\n{}", String::from_utf8_lossy(&process.stderr));
    let value: Value = serde_json::from_slice(&std::fs::read(&results).unwrap()).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(value["broken"], serde_json::json!({}), "{output}");
    for class in ["run-lookup", "run-search", "shift-entry"] {
        assert!(value["classes"][class]["answered"].as_u64() > Some(0), "{class}: {output}");
    }
    value
}

fn sum(results: &Value, what: &str) -> u64 {
    results["classes"].as_object().unwrap().values().filter_map(|class| class[what].as_u64()).sum()
}

#[test]
fn aggregators_cut_off_from_run_stores_or_discovery_break_no_rule() {
    let results = run_scenario("cut-off", &["--aggregators", "3", "--stores", "8"]);
    assert_eq!(sum(&results, "lost"), 0, "all aggregators were reachable for their clients");
    assert!(sum(&results, "answered") < sum(&results, "asked"), "one of them could reach no run store");
}

#[test]
fn crashes_pauses_and_restarts_lose_only_queries_of_killed_aggregators() {
    let results = run_scenario("crashes", &["--aggregators", "3", "--stores", "8"]);
    assert!(sum(&results, "lost") > 0, "queries of a killed process are lost, and only those");
}

#[test]
fn triple_load_while_half_of_the_run_stores_die_breaks_no_rule() {
    let results = run_scenario("overload", &["--aggregators", "3", "--stores", "8", "--rate", "60"]);
    assert_eq!(sum(&results, "lost"), 0);
}

#[test]
fn three_aggregators_take_over_the_clients_of_seven_that_die_at_once() {
    let results = run_scenario("seven-of-ten", &["--aggregators", "10", "--stores", "8"]);
    assert!(sum(&results, "lost") > 0);
}

/// Guards against queries that count as lost because a killed aggregator was expected to listen while its next process
/// still started.
#[test]
fn queries_to_a_killed_aggregator_that_starts_slowly_are_no_violations() {
    let folder = create_folder("slow-start-files");
    let (scenario, program) = (folder.join("scenario.txt"), folder.join("program.sh"));
    std::fs::write(&scenario, "at 2s crash n-0 for 300ms\n").unwrap();
    let lab = env!("CARGO_BIN_EXE_ironpaddle-lab");
    std::fs::write(&program, format!("#!/bin/sh\nsleep 1\nexec '{lab}' aggregator \"$@\"\n")).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    let more = ["--aggregators", "1", "--stores", "8", "--program", program.to_str().unwrap()];
    let results = run_file(&scenario, "slow-start", &more);
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(sum(&results, "lost") > 0, "queries found nobody listening");
}
