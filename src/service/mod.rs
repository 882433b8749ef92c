//! The life of the aggregator's process: start or take over, serve, drain and exit.

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
use signals::SignalReceiver;

/// New connections still arrive for a while after SIGTERM. They are accepted for [`KEEP_IDLE`] and this time more.
const ACCEPT_GRACE: Duration = Duration::from_millis(250);
/// The platform kills a process 0.7 s after the longest deadline, of which it counts at most this much.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// How long after that deadline the process waits for its remaining work.
const EXIT_GRACE: Duration = Duration::from_millis(600);
/// The last part of that time, which is reserved for writing final answers.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs an aggregator with the configuration in a file until SIGTERM or SIGINT, then drains it.
///
/// # Errors
/// Returns why it could not start.
pub fn run(path: &Path) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(path, executor.clone())))
}

async fn serve(path: &Path, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    // Before anything else: a signal that is not caught would end the process.
    let mut signals = SignalReceiver::new().map_err(|error| error.to_string())?;
    let config = Config::load(path)?;
    let name = config.name.clone();
    let operator_listener = program::listen_for_operators(&config).await?;
    let handover_socket = handover::socket_path(&name);
    let takeover = new::take_over(&handover_socket, &name).await?;
    let (inherited, old_process) =
        takeover.map(|takeover| ((takeover.state, takeover.sockets), takeover.old_process)).unzip();
    let peer_sender = Rc::new(PeerSender::default());
    let program = Program::new(path, config, executor.clone(), inherited, peer_sender.clone()).await?;
    // Before the first query is accepted, so that the other process is told of it, and the other way round.
    let handover_task = run_handover(handover_socket, old_process, program.clone(), peer_sender.clone());
    executor.spawn(handover_task).detach();
    program.accept();
    if let Some(listener) = operator_listener {
        if let Ok(at) = listener.local_addr() {
            log::line(&format!("operators call {at}"));
        }
        let operator = OperatorApi::new(program.driver.clone(), program.client_gate.clone(), peer_sender);
        executor.spawn(operator.serve(executor.clone(), listener)).detach();
    }
    if let Some(at) = program.address() {
        log::line(&format!("{name} listens on {at}"));
    }

    let handle = |signal| match signal {
        Signal::Usr1 => log::line(&format!("counters {}", program.driver.counters())),
        Signal::Hup => program.reloader.reload(),
        _ => {}
    };
    wait_for_exit_signal(&mut signals, handle).await;
    // Planned shutdown: go on accepting for a while, answer everything, then exit.
    log::line("draining");
    program.client_gate.shut_down();
    let time_left =
        duration_from_millis(program.driver.longest_deadline()).min(MAX_COUNTED_DEADLINE) + EXIT_GRACE;
    let end = Instant::now() + time_left;
    // Every query, open or still to come, gets its answer before the time for the final writes begins.
    program.driver.exit_within(time_left - FINAL_WRITE_TIME);
    let server = program.server.clone();
    let stop_reading = async move {
        Timer::at(end - FINAL_WRITE_TIME).await;
        server.stop_reading();
    };
    executor.spawn(stop_reading).detach();
    let drained = async {
        Timer::after(IDLE_GRACE + ACCEPT_GRACE).await;
        program.close().await;
        while !program.is_done() {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let time_over = async {
        Timer::at(end).await;
    };
    let signals = async {
        loop {
            wait_for_exit_signal(&mut signals, handle).await;
        }
    };
    future::or(drained, future::or(time_over, signals)).await;
    program.end_recording().await;
    log::line(&format!("counters {}", program.driver.counters()));
    Ok(())
}

/// Follows the process that this one takes over from, and then waits for one that takes over from it.
async fn run_handover(
    handover_socket: std::path::PathBuf,
    old_process: Option<new::OldProcess>,
    program: Rc<Program>,
    peer_sender: Rc<PeerSender>,
) {
    if let Some(old_process) = old_process {
        new::follow(old_process, &*program, &peer_sender).await;
    }
    old::serve_handovers(&handover_socket, program, &peer_sender).await;
}

/// Handles signals until one asks the program to exit.
async fn wait_for_exit_signal(signals: &mut SignalReceiver, handle: impl Fn(Signal)) {
    loop {
        match signals.next().await {
            Signal::Term | Signal::Int => return,
            signal => handle(signal),
        }
    }
}
