//! Small scale runs. The tests check outcomes, not times: changes are in force everywhere, queries are answered, and no
//! process is left running.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

const SMALL: [&str; 12] = [
    "--run-stores",
    "40",
    "--hollow",
    "12",
    "--real",
    "2",
    "--in-flight",
    "12",
    "--changes",
    "12",
    "--work",
    "5",
];

fn scale(more: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab"));
    command.arg("scale").args(more);
    command
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("ironpaddle-scale-test-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn results(path: &Path) -> Value {
    serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap()
}

/// Returns all descendants of a process.
fn descendants(of: u32) -> Vec<u32> {
    let mut found = Vec::new();
    for process in std::fs::read_dir("/proc").unwrap().filter_map(Result::ok) {
        let Some(id) = process.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else {
            continue;
        };
        // The process may exit while it is inspected.
        let stat = std::fs::read_to_string(process.path().join("stat")).unwrap_or_default();
        let parent = stat.rsplit(") ").next().and_then(|rest| rest.split(' ').nth(1)?.parse().ok());
        if parent == Some(of) {
            found.push(id);
            found.extend(descendants(id));
        }
    }
    found
}

/// Returns whether a process exists and is not a zombie.
fn is_running(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while !condition() {
        if began.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Starts a long run and returns its process and all descendants, once all of them have started.
fn start_long_run() -> (Child, Vec<u32>) {
    let long = [&SMALL[..], &["--seconds", "60"]].concat();
    let mut command = scale(&long);
    let run = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    // Four stand-ins and two real aggregators.
    assert!(wait_until(Duration::from_secs(20), || descendants(run.id()).len() == 6));
    let all = descendants(run.id());
    (run, all)
}

#[test]
fn every_change_is_eventually_in_force_at_all_aggregators() {
    let folder = folder("small");
    let (json, chart) = (folder.join("results.json"), folder.join("results.svg"));
    let written = ["--seconds", "2", "--json", json.to_str().unwrap(), "--chart", chart.to_str().unwrap()];
    let run = scale(&[&SMALL[..], &written].concat()).output().unwrap();
    let output = String::from_utf8_lossy(&run.stdout).into_owned();
    assert!(run.status.success(), "{output}\n{}", String::from_utf8_lossy(&run.stderr));
    let results = results(&json);
    let changes = &results["changes"];
    assert_eq!(changes["count"], 24, "{output}");
    assert_eq!(changes["everywhere"], true, "{output}");
    assert_eq!(
        changes["hollow_equal"], 12,
        "each holds exactly the list that results from the events: {output}"
    );
    assert_eq!(changes["each"].as_array().unwrap().len(), 24, "each change has a time: {output}");
    let ends = &results["queries"]["ends"];
    assert!(ends["whole"].as_u64() > Some(0), "{output}");
    assert_eq!(ends["wrong"], 0, "{output}");
    assert_eq!(results["ended_in_order"], true, "{output}");
    for role in ["discovery", "hollow", "real", "run stores", "clients"] {
        let used = &results["roles"][role];
        for what in ["memory", "descriptors", "messages_in_per_s", "bytes_out_per_s"] {
            assert!(used[what].as_f64() > Some(0.0), "{role}, {what}: {output}");
        }
    }
    let chart = std::fs::read_to_string(&chart).unwrap();
    assert_eq!(chart.matches("<circle").count(), 24, "a point for each change");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn changes_reach_simulated_and_real_aggregators_through_relays() {
    let folder = folder("relays");
    let json = folder.join("results.json");
    let more = ["--seconds", "1", "--relays", "3", "--json", json.to_str().unwrap()];
    let run = scale(&[&SMALL[..], &more].concat()).output().unwrap();
    let output = String::from_utf8_lossy(&run.stdout).into_owned();
    assert!(run.status.success(), "{output}\n{}", String::from_utf8_lossy(&run.stderr));
    let results = results(&json);
    let (changes, roles) = (&results["changes"], &results["roles"]);
    assert_eq!((&changes["everywhere"], &changes["hollow_equal"]), (&true.into(), &12.into()), "{output}");
    assert_eq!(changes["each"].as_array().unwrap().len(), 12, "the times include real aggregators: {output}");
    assert_eq!(roles["relays"]["members"], 3, "{output}");
    // Only the relays call discovery, once for each change.
    let of = |role: &str, what: &str| roles[role][what].as_f64().unwrap();
    assert!(of("discovery", "messages_out_per_s") * 2.0 < of("hollow", "messages_in_per_s"), "{output}");
    assert!(of("discovery", "messages_in_per_s") > 0.0, "{output}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn same_seed_gives_same_events_and_another_seed_gives_others() {
    let folder = folder("seeds");
    let digest = |name: &str, seed: &str| {
        let json = folder.join(name);
        let sizes =
            ["--run-stores", "30", "--hollow", "2", "--real", "0", "--changes", "40", "--seconds", "0.5"];
        let more = ["--seed", seed, "--json", json.to_str().unwrap()];
        let run = scale(&[&sizes[..], &more].concat()).output().unwrap();
        assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
        results(&json)["changes"]["digest"].as_str().unwrap().to_string()
    };
    let (first, again, other) = (digest("a", "7"), digest("b", "7"), digest("c", "8"));
    assert_eq!(first, again);
    assert_ne!(first, other);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn signal_stops_all_processes_of_a_run() {
    for (signal, killed) in [("TERM", false), ("KILL", true)] {
        let (mut run, all) = start_long_run();
        let sent = Command::new("kill").args(["-s", signal, &run.id().to_string()]).status().unwrap();
        assert!(sent.success());
        let code = run.wait().unwrap().code();
        assert_eq!(code, if killed { None } else { Some(1) }, "{signal}");
        // If the run could not stop them itself, they exit when their standard input is closed.
        let limit = if killed { Duration::from_secs(10) } else { Duration::ZERO };
        assert!(wait_until(limit, || !all.iter().any(|id| is_running(*id))), "{signal}");
    }
}

#[test]
fn invalid_options_are_rejected_with_the_reason() {
    for (options, reason) in [
        (&["--run-stores", "0"][..], "--run-stores must be at least 1"),
        (&["--hollow", "0", "--real", "0"], "together must be at least 1"),
        (&["--in-flight", "0"], "--in-flight must be at least 1"),
        (&["--changes", "-1"], "--changes must be from 0"),
        (&["--changes", "NaN"], "--changes must be from 0"),
        (&["--seconds", "0"], "--seconds must be above 0"),
        (&["--seed", "x"], "--seed"),
        (&["--sweep", "colours"], "--sweep"),
        (&["--slopes", "x.toml"], "--sweep"),
        (&["--real", "400"], "the run needs 404 processes"),
        (&["--run-stores", "100000000"], "GiB of memory, and may use half of the machine's"),
    ] {
        let run = scale(options).output().unwrap();
        let output = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(2), "{options:?}: {output}");
        assert!(output.contains(reason), "{options:?}: {output}");
    }
}

#[test]
fn run_that_needs_too_many_descriptors_is_rejected_and_keeps_the_limit() {
    let run = Command::new("sh")
        .args(["-c", "ulimit -n 200; \"$0\" scale --hollow 300 --real 0; code=$?; ulimit -n; exit $code"])
        .arg(env!("CARGO_BIN_EXE_ironpaddle-lab"))
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&run.stderr);
    assert_eq!(run.status.code(), Some(2), "{output}");
    assert!(
        output.contains(
            "the process that serves the list would need 365 descriptors, and a process may have 200"
        ),
        "{output}"
    );
    assert_eq!(String::from_utf8_lossy(&run.stdout), "200\n");
}

#[test]
fn sweep_writes_a_series_over_all_sizes_and_keeps_other_series() {
    let folder = folder("sweep");
    let slopes = folder.join("slopes.toml");
    let existing = "[[series]]\nname = \"other\"\nx = \"a\"\nunit = \"b\"\ncommand = \"c\"\nfixed = \"d\"\nbuild = \"e\"\npoints = [[1.0, 2.0]]\n";
    std::fs::write(&slopes, existing).unwrap();
    let sizes = ["--run-stores", "20", "--hollow", "2", "--real", "0", "--seconds", "0.5"];
    let more = ["--sweep", "changes", "--slopes", slopes.to_str().unwrap(), "--build", "as tested"];
    let run = scale(&[&sizes[..], &more].concat()).output().unwrap();
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    let text = std::fs::read_to_string(&slopes).unwrap();
    let slopes: toml::Table = text.parse().unwrap();
    let series = slopes["series"].as_array().unwrap();
    assert!(series.iter().any(|series| series["name"].as_str() == Some("other")), "existing series are kept");
    let control = series.iter().find(|series| series["name"].as_str() == Some("control-messages-by-changes"));
    let control = control.expect("a series of messages");
    assert_eq!(control["x"].as_str(), Some("changes a second"));
    assert_eq!(control["build"].as_str(), Some("as tested"));
    assert_eq!(
        control["fixed"].as_str(),
        Some("20 run stores, 2 hollow aggregators, 100 parts in flight at each of 0 real, 0 relays")
    );
    let points = control["points"].as_array().unwrap();
    let xs: Vec<f64> = points.iter().map(|point| point[0].as_float().unwrap()).collect();
    assert_eq!(xs, [0.0, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0]);
    assert!(points.last().unwrap()[1].as_float() > Some(0.0), "{text}");
    std::fs::remove_dir_all(&folder).unwrap();
}
