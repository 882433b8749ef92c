//! Measures the cost of a step of the decision module, and the memory of its state, over a grid of run stores and parts
//! in flight.
//!
//! `cargo bench --bench scale -- [--stores 60,600] [--in-flight 100,1000] [--limit SECONDS] [--series FILE]` prints a
//! table; the file holds the series from which slopes are fitted. A grid cell whose load is not built within the limit
//! is printed as such and skipped. Figures are in `docs/measurements/scale.md`.

mod load;

use std::alloc::{GlobalAlloc, Layout, System};
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use ironpaddle::api::{Event, ListUpdate, ReplicaState};
use load::{Load, TICK};

/// The number of bytes that are allocated.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a count of the allocated bytes.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The name and unit of each measure.
const MEASURES: [(&str, &str); 5] =
    [("quiet_tick", "us"), ("step", "us"), ("changed_line", "us"), ("whole_list", "us"), ("state", "bytes")];
/// The maximum number of samples of each measure.
const SAMPLES: usize = 300;
/// The time after which sampling stops, if there are at least three samples.
const SAMPLING_TIME: Duration = Duration::from_millis(800);
/// The maximum number of quiet ticks. With more, a part would be in flight for so long that it counts as silent.
const MAX_QUIET_TICKS: usize = 30;

/// Returns the median time of a step in us, without the time to create its events.
fn median(load: &mut Load, samples: usize, make: impl Fn(&mut Load) -> Vec<Event>) -> f64 {
    let (started, mut durations) = (Instant::now(), Vec::new());
    while durations.len() < samples && (durations.len() < 3 || started.elapsed() < SAMPLING_TIME) {
        let events = make(load);
        let step_started = Instant::now();
        load.play(events);
        durations.push(step_started.elapsed().as_secs_f64() * 1e6);
    }
    durations.sort_by(f64::total_cmp);
    durations[durations.len() / 2]
}

/// Returns the events of a tick in which nothing happens.
fn quiet_tick(load: &mut Load) -> Vec<Event> {
    load.now += TICK;
    vec![Event::Wake]
}

/// Returns a list with one changed line: alternately a run store starts to drain and becomes active again.
fn changed_line(load: &mut Load) -> Vec<Event> {
    load.next += 1;
    let state = if load.next.is_multiple_of(2) { ReplicaState::Active } else { ReplicaState::Draining };
    let no = (load.next / 2 * 7919) % u64::from(load.run_stores);
    vec![Event::List(ListUpdate::Changes(vec![load.line(no as u32, state)]))]
}

/// Measures one grid cell; the figures are in the order of [`MEASURES`]. Returns `None` if the load is not built in
/// time.
fn measure_cell(run_stores: u32, in_flight: usize, limit: Duration) -> Option<[f64; 5]> {
    let before = ALLOCATED.load(Relaxed);
    let mut load = Load::new(run_stores, in_flight, false, limit)?;
    let state_bytes = ALLOCATED.load(Relaxed) - before;
    let step = median(&mut load, SAMPLES, Load::turnover);
    let tick = median(&mut load, MAX_QUIET_TICKS, quiet_tick);
    let line = median(&mut load, SAMPLES, changed_line);
    let list = median(&mut load, 9, |load| vec![Event::List(ListUpdate::Full(load.lines()))]);
    Some([tick, step, line, list, state_bytes as f64])
}

fn parse_numbers(text: &str) -> Vec<u32> {
    text.split(',').map(|number| number.parse().expect("whole numbers separated by commas")).collect()
}

fn main() {
    let (mut stores, mut flights) = (vec![60, 600, 6000, 57_000], vec![100, 1000, 5600, 10_000]);
    let (mut limit, mut series) = (Duration::from_secs(20), None);
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        let mut value = || args.next().unwrap_or_else(|| panic!("{arg} needs a value"));
        match arg.as_str() {
            "--stores" => stores = parse_numbers(&value()),
            "--in-flight" => flights = parse_numbers(&value()),
            "--limit" => limit = Duration::from_secs(value().parse().expect("whole seconds")),
            "--series" => series = Some(value()),
            // Passed by `cargo bench`.
            "--bench" => {}
            _ => panic!("unknown argument: {arg}"),
        }
    }
    println!("| run stores | in flight | quiet tick, us | step, us | changed line, us | whole list, ms | state, MB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut cells = Vec::new();
    for &store in &stores {
        for &flight in &flights {
            let Some(figures) = measure_cell(store, flight as usize, limit) else {
                println!("| {store} | {flight} | not built within {} s | | | | |", limit.as_secs());
                continue;
            };
            let [tick, step, line, list, state_bytes] = figures;
            let (list_ms, state_mb) = (list / 1e3, state_bytes / 1e6);
            println!(
                "| {store} | {flight} | {tick:.1} | {step:.1} | {line:.1} | {list_ms:.2} | {state_mb:.2} |"
            );
            cells.push((store, flight, figures));
        }
    }
    if let Some(file) = series {
        std::fs::write(&file, format_series(&cells, &stores, &flights)).expect("the file can be written");
    }
}

/// Formats the figures as TOML series along each axis, with the other axis fixed.
fn format_series(cells: &[(u32, u32, [f64; 5])], stores: &[u32], flights: &[u32]) -> String {
    let mut text = String::new();
    for (at, (measure, unit)) in MEASURES.iter().enumerate() {
        let mut put = |axis: &str, x: &str, fixed: String, points: Vec<(u32, f64)>| {
            let points: Vec<_> = points.iter().map(|(x, y)| format!("[{x}, {y:.2}]")).collect();
            let name = format!("module_{measure}_by_{axis}");
            write!(
                text,
                "[[series]]\nname = \"{name}\"\nx = \"{x}\"\nunit = \"{unit}\"\ncommand = \"cargo bench --bench scale\"\n\
                 fixed = \"{fixed}, a tick of {TICK} ms, three holders a block\"\npoints = [{}]\n\n",
                points.join(", ")
            )
            .expect("text can be written");
        };
        for fixed_value in flights {
            let along = cells.iter().filter(|(_, flight, _)| flight == fixed_value);
            let points = along.map(|(store, _, figures)| (*store, figures[at])).collect();
            put(
                &format!("stores_at_{fixed_value}"),
                "run stores",
                format!("{fixed_value} parts in flight"),
                points,
            );
        }
        for fixed_value in stores {
            let along = cells.iter().filter(|(store, _, _)| store == fixed_value);
            let points = along.map(|(_, flight, figures)| (*flight, figures[at])).collect();
            put(
                &format!("in_flight_at_{fixed_value}"),
                "parts in flight",
                format!("{fixed_value} run stores"),
                points,
            );
        }
    }
    text
}
