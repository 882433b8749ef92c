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
fn random_lives_break_no_rule() {
    for seed in ["2", "11"] {
        let process =
            soak(&["--seeds", "1", "--seed", seed, "--seconds", "8", "--slack", "1000", "--api", "both"]);
        let text = String::from_utf8_lossy(&process.stdout).into_owned();
        assert!(process.status.success(), "{text}\n{}", String::from_utf8_lossy(&process.stderr));
        assert!(text.contains("2 lives, a rule was broken in 0"), "{text}");
        let answered = |line: &str| line.split("answered ").nth(1)?.parse::<u64>().ok();
        let counts: Vec<_> = text.lines().filter_map(answered).collect();
        assert!(counts.len() == 2 && counts.iter().all(|count| *count > 0), "{text}");
    }
}

#[test]
fn invalid_arguments_exit_with_2_and_the_reason() {
    for (arguments, why) in [
        (&["--seed", "1"][..], "--seeds"),
        (&["--seeds", "0", "--seed", "1"], "0"),
        (&["--seeds", "1", "--seed", "x"], "--seed"),
        (&["--seeds", "1", "--seed", "1", "--seconds", "1"], "a life lasts"),
        (&["--seeds", "1", "--seed", "1", "--api", "smtp"], "smtp"),
    ] {
        let process = soak(arguments);
        let text = String::from_utf8_lossy(&process.stderr);
        assert_eq!(process.status.code(), Some(2), "{text}");
        assert!(text.contains(why), "{text}");
    }
}

/// Counts the running aggregators of the soak that keeps its temporary files in this folder.
fn running_aggregators(folder: &std::path::Path) -> usize {
    let named = folder.display().to_string();
    let processes = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok);
    let commands =
        processes.filter_map(|process| std::fs::read_to_string(process.path().join("cmdline")).ok());
    commands.filter(|command| command.contains("config.json") && command.contains(&named)).count()
}

#[test]
fn signal_stops_all_processes_of_a_soak() {
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
    until("it starts aggregators", &|| running_aggregators(&folder) >= 3);
    let id = rustix::process::Pid::from_child(&soak);
    rustix::process::kill_process(id, rustix::process::Signal::TERM).unwrap();
    assert_eq!(soak.wait().unwrap().code(), Some(1));
    until("they end with it", &|| running_aggregators(&folder) == 0);
    std::fs::remove_dir_all(&folder).unwrap();
}
