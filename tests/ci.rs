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
    ok: bool,
    said: String,
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
    let output = Command::new("bash").arg(folder.join(".ci/run")).env("PATH", path).output().unwrap();
    let said = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).unwrap()).concat();
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    fs::remove_dir_all(&folder).unwrap();
    Run { ok: output.status.success(), said, calls: calls.lines().map(str::to_string).collect() }
}

#[test]
fn without_a_list_or_with_an_empty_one_every_test_decides() {
    for (name, known) in [("none", None), ("empty", Some(""))] {
        let run = run(name, known);
        assert!(!run.ok, "{name}: a::red fails");
        assert_eq!(run.calls.last().unwrap(), "test --locked --workspace", "{name}");
    }
}

#[test]
fn a_listed_test_is_run_and_told_of_and_all_others_decide() {
    let run = run("listed", Some("a::red | it is late | 30\ngreen | it was late | 30\n"));
    assert!(run.ok, "{}", run.said);
    let others = "test --locked --workspace -- --exact --skip a::red --skip green";
    assert!(run.calls.iter().any(|call| call == others), "{:?}", run.calls);
    assert!(run.said.contains("known red: a::red fails, as listed"), "{}", run.said);
    assert!(run.said.contains("known red: green passes: take it off the list"), "{}", run.said);
}

#[test]
fn a_list_that_is_too_long_malformed_or_names_no_single_test_fails() {
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
        assert!(!run.ok && run.said.contains("KNOWN-RED.txt: "), "{name}: {}", run.said);
    }
}
