//! How `.ci/run` handles `KNOWN-RED.txt`, with a fake `cargo` that records its arguments.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// The fake `cargo`: `a::red` fails whenever it runs, `green` passes, and the name `both` is listed twice.
const CARGO: &str = r#"#!/bin/sh
echo "$*" >>calls
case "$*" in
*--list) printf 'a::red: test\ngreen: test\nboth: test\nboth: test\n' ;;
"test --locked --workspace") exit 1 ;;
*"--exact a::red") exit 1 ;;
esac
"#;

struct Run {
    success: bool,
    output: String,
    calls: Vec<String>,
}

fn run(name: &str, known_red: Option<&str>) -> Run {
    let folder = std::env::temp_dir().join(format!("ironpaddle-ci-{}-{name}", std::process::id()));
    fs::create_dir_all(folder.join(".ci")).unwrap();
    fs::copy(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/run"), folder.join(".ci/run")).unwrap();
    fs::write(folder.join("cargo"), CARGO).unwrap();
    fs::set_permissions(folder.join("cargo"), fs::Permissions::from_mode(0o755)).unwrap();
    if let Some(text) = known_red {
        fs::write(folder.join("KNOWN-RED.txt"), text).unwrap();
    }
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").unwrap());
    let result = Command::new("bash").arg(folder.join(".ci/run")).env("PATH", path).output().unwrap();
    let output = [result.stdout, result.stderr].map(|bytes| String::from_utf8(bytes).unwrap()).concat();
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    fs::remove_dir_all(&folder).unwrap();
    Run { success: result.status.success(), output, calls: calls.lines().map(str::to_string).collect() }
}

#[test]
fn without_a_list_or_with_an_empty_one_any_failing_test_fails_the_run() {
    for (name, known_red) in [("none", None), ("empty", Some(""))] {
        let run = run(name, known_red);
        assert!(!run.success, "{name}: a::red fails");
        assert_eq!(run.calls.last().unwrap(), "test --locked --workspace", "{name}");
    }
}

#[test]
fn listed_tests_are_run_and_reported_and_the_others_decide_the_result() {
    let run = run("listed", Some("a::red | it is late | 30\ngreen | it was late | 30\n"));
    assert!(run.success, "{}", run.output);
    let others = "test --locked --workspace -- --exact --skip a::red --skip green";
    assert!(run.calls.iter().any(|call| call == others), "{:?}", run.calls);
    assert!(run.output.contains("known red: a::red fails, as listed"), "{}", run.output);
    assert!(run.output.contains("known red: green passes: take it off the list"), "{}", run.output);
}

#[test]
fn an_invalid_list_of_known_failures_fails_the_run() {
    for (name, text) in [
        ("four", "a::red | x | 1\ngreen | x | 1\nboth | x | 1\nmore | x | 1\n"),
        ("two-fields", "a::red | x\n"),
        ("no-cause", "a::red |  | 1\n"),
        ("four-fields", "a::red | x | 1 | y\n"),
        ("blank-line", "a::red | x | 1\n\n"),
        ("unknown", "red | x | 1\n"),
        ("twice", "both | x | 1\n"),
    ] {
        let run = run(name, Some(text));
        assert!(!run.success && run.output.contains("KNOWN-RED.txt: "), "{name}: {}", run.output);
    }
}
