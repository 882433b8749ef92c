//! The same actions on the same events: random histories play as they did when `tests/histories.txt` was made, and the
//! indexes equal a recount throughout.

#[path = "common/histories.rs"]
mod histories;

use histories::play;

const HISTORIES: u64 = 4000;
const STEPS: usize = 200;

/// What some of the work gives, in the order of the seeds, by all cores.
fn of_all<T: Send>(seeds: u64, work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let workers = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let work = &work;
    let mut all: Vec<(u64, T)> = std::thread::scope(|scope| {
        let share = |worker| {
            move || (worker..seeds).step_by(workers as usize).map(|s| (s, work(s))).collect::<Vec<_>>()
        };
        let started: Vec<_> = (0..workers).map(|worker| scope.spawn(share(worker))).collect();
        started.into_iter().flat_map(|worker| worker.join().expect("it plays to its end")).collect()
    });
    all.sort_by_key(|(seed, _)| *seed);
    all.into_iter().map(|(_, done)| done).collect()
}

/// A digest of each history's actions stands in the file, eight to a line. Where decisions are meant to change, what is
/// played now is the new file.
#[test]
fn random_histories_play_as_they_did() {
    let played = of_all(HISTORIES, |seed| format!("{:08x}", play(seed, STEPS, |_| ()) as u32));
    let now: String = played.chunks(8).map(|line| line.join(" ") + "\n").collect();
    let before = include_str!("histories.txt");
    if now != before {
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("histories.txt");
        std::fs::write(&file, &now).expect("it can be written");
        let differ =
            played.iter().zip(before.split_whitespace()).filter(|(now, before)| now != before).count();
        panic!("{differ} of {HISTORIES} differ; as played now: {}", file.display());
    }
}

#[test]
fn indexes_equal_a_recount_after_every_step() {
    let differs = of_all(400, |seed| {
        let mut differs = None;
        play(seed + 1_000_000, STEPS, |router| {
            differs = differs.take().or_else(|| router.verify_indexes().err());
        });
        differs.map(|differs| format!("{seed}: {differs}"))
    });
    assert_eq!(differs.into_iter().flatten().next(), None);
}
