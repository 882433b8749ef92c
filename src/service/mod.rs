//! The aggregator's life: start or take over, serve, and end in order.

pub mod program;
pub mod reload;
pub mod signals;

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::Signal;
use futures_lite::future;

use crate::config::Config;
use crate::handover::{self, new, old, PeerSender};
use crate::http::server::IDLE_GRACE;
use crate::log;
use crate::operator::OperatorApi;
use crate::transport::duration_from_millis;
use program::Program;
use signals::Told;

/// After SIGTERM, new connections still come for a while beyond the time for idle ones.
const KEEP_ACCEPTING: Duration = Duration::from_millis(250);
/// The platform kills what has not ended after the longest deadline, of which it counts so much at most, and 0.7 s more.
const MOST_COUNTED: Duration = Duration::from_millis(3000);
/// Beyond that deadline, what is left to do is not waited for.
const LAST_WAIT: Duration = Duration::from_millis(600);
/// The part of it in which last answers are written.
const LAST_WRITE: Duration = Duration::from_millis(100);
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Runs an aggregator by the configuration in a file until SIGTERM or SIGINT, and then to its orderly end.
///
/// # Errors
/// Says why it could not start.
pub fn run(path: &Path) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(path, executor.clone())))
}

async fn serve(path: &Path, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    // Before anything else: a signal that is not caught would end the process.
    let mut signals = Told::new().map_err(|error| error.to_string())?;
    let config = Config::load(path)?;
    let name = config.name.clone();
    let operators = program::operators(&config).await?;
    let meeting = handover::socket_path(&name);
    let taken = new::take_over(&meeting, &name).await?.map(new::Takeover::into_parts);
    let (inherited, link) = taken.map(|(state, sockets, link)| ((state, sockets), link)).unzip();
    let program = Program::new(path, config, executor.clone(), inherited).await?;
    program.accept();
    let wire = Rc::new(PeerSender::default());
    let others = stay_in_step(meeting, link, program.clone(), wire.clone());
    executor.spawn(others).detach();
    if let Some(listener) = operators {
        if let Ok(at) = listener.local_addr() {
            log::line(&format!("operators call {at}"));
        }
        let operator = OperatorApi::new(program.driver.clone(), program.client_gate.clone(), wire);
        executor.spawn(operator.serve(executor.clone(), listener)).detach();
    }
    if let Some(at) = program.address() {
        log::line(&format!("{name} listens on {at}"));
    }

    let attend = |signal| match signal {
        Signal::Usr1 => log::line(&format!("counters {}", program.driver.counters())),
        Signal::Hup => program.reloads.reload(),
        _ => {}
    };
    until_told_to_end(&mut signals, attend).await;
    // Planned end: go on accepting, answer everything, then leave.
    log::line("draining");
    program.client_gate.shut_down();
    let left = duration_from_millis(program.driver.longest_deadline()).min(MOST_COUNTED) + LAST_WAIT;
    let end = Instant::now() + left;
    // Whatever is taken, now or later, is answered before.
    program.driver.end_by(left - LAST_WRITE);
    let server = program.server.clone();
    let stop_reading = async move {
        Timer::at(end - LAST_WRITE).await;
        server.stop_reading();
    };
    executor.spawn(stop_reading).detach();
    let drained = async {
        Timer::after(IDLE_GRACE + KEEP_ACCEPTING).await;
        program.close().await;
        while !program.is_done() {
            Timer::after(LOOK_EVERY).await;
        }
    };
    let last = async {
        Timer::at(end).await;
    };
    let signals = async {
        loop {
            until_told_to_end(&mut signals, attend).await;
        }
    };
    future::or(drained, future::or(last, signals)).await;
    program.end_recording().await;
    log::line(&format!("counters {}", program.driver.counters()));
    Ok(())
}

/// Follows the process that this one takes over from, and then waits for one that takes over from it.
async fn stay_in_step(
    meeting: std::path::PathBuf,
    link: Option<(handover::link::Link, handover::link::LineReader)>,
    program: Rc<Program>,
    wire: Rc<PeerSender>,
) {
    if let Some(link) = link {
        new::follow(link, &*program, &wire).await;
    }
    old::serve_handovers(&meeting, program, &wire).await;
}

/// Attends to signals until one of them ends the program.
async fn until_told_to_end(signals: &mut Told, attend: impl Fn(Signal)) {
    loop {
        match signals.next().await {
            Signal::Term | Signal::Int => return,
            signal => attend(signal),
        }
    }
}
