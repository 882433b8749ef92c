//! A short soak with fixed seeds on both protocols, and the arguments of the command. The long soak is run by hand
//! (`docs/measurements/soak.md`).

use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn soak(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab")).arg("soak").args(arguments).output();
    output.unwrap()
}

/// The seeds are chosen for lives in which aggregators exit under load, with injected system call faults, and for one
/// life with an upgrade.
#[test]
fn lives_that_were_drawn_break_no_rule() {
    for seed in ["2", "11"] {
        let played =
            soak(&["--seeds", "1", "--seed", seed, "--seconds", "8", "--slack", "1000", "--api", "both"]);
        let said = String::from_utf8_lossy(&played.stdout).into_owned();
        assert!(played.status.success(), "{said}\n{}", String::from_utf8_lossy(&played.stderr));
        assert!(said.contains("2 lives, a rule was broken in 0"), "{said}");
        let answered = |line: &str| line.split("answered ").nth(1)?.parse::<u64>().ok();
        let counts: Vec<_> = said.lines().filter_map(answered).collect();
        assert!(counts.len() == 2 && counts.iter().all(|count| *count > 0), "{said}");
    }
}

#[test]
fn arguments_at_fault_end_it_with_2_and_the_reason() {
    for (arguments, why) in [
        (&["--seed", "1"][..], "--seeds"),
        (&["--seeds", "0", "--seed", "1"], "0"),
        (&["--seeds", "1", "--seed", "x"], "--seed"),
        (&["--seeds", "1", "--seed", "1", "--seconds", "1"], "a life lasts"),
        (&["--seeds", "1", "--seed", "1", "--api", "smtp"], "smtp"),
    ] {
        let ended = soak(arguments);
        let said = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(ended.status.code(), Some(2), "{said}");
        assert!(said.contains(why), "{said}");
    }
}

/// Counts the running aggregators of the soak that keeps its temporary files in this folder.
fn left(folder: &std::path::Path) -> usize {
    let named = folder.display().to_string();
    let processes = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok);
    let commands =
        processes.filter_map(|process| std::fs::read_to_string(process.path().join("cmdline")).ok());
    commands.filter(|command| command.contains("config.json") && command.contains(&named)).count()
}

#[test]
fn a_signal_ends_all_that_a_soak_has_started() {
    let folder = std::env::temp_dir().join(format!("ironpaddle-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut soak = Command::new(env!("CARGO_BIN_EXE_ironpaddle-lab"))
        .args(["soak", "--seeds", "1", "--seed", "3", "--api", "platform"])
        .env("TMPDIR", &folder)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let until = |what: &str, reached: &dyn Fn() -> bool| {
        let begun = Instant::now();
        while !reached() {
            assert!(begun.elapsed() < Duration::from_secs(30), "{what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    until("it starts aggregators", &|| left(&folder) >= 3);
    let id = rustix::process::Pid::from_child(&soak);
    rustix::process::kill_process(id, rustix::process::Signal::TERM).unwrap();
    assert_eq!(soak.wait().unwrap().code(), Some(1));
    until("they end with it", &|| left(&folder) == 0);
    std::fs::remove_dir_all(&folder).unwrap();
}
