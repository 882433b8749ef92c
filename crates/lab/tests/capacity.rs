//! The command `capacity`, as it is called: what is at fault is said, with a status of 2.

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
