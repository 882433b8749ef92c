//! The aggregator put together, from its start to its orderly end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

use crate::config::{Api, Config};
use crate::core::drive::{Driver, RunStores};
use crate::core::{Core, News};
use crate::directory::watch::Watch;
use crate::front::opensearch::OpenSearch;
use crate::front::platform::Platform;
use crate::http::server::{Handler, Limits, Server};
use crate::log::{self, Reason};
use crate::transport::frames::Frames;
use crate::transport::opensearch::Searches;
use crate::transport::{self, span};

/// After SIGTERM, new connections still come for a while, and clients go on using those they have.
const KEEP_IDLE: Duration = Duration::from_millis(500);
const KEEP_ACCEPTING: Duration = Duration::from_millis(250);
/// Beyond the longest deadline, what is left to do is not waited for.
const LAST_WAIT: Duration = Duration::from_millis(600);
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Runs an aggregator until SIGTERM or SIGINT, and then to its orderly end.
///
/// # Errors
/// Says why it could not start.
pub fn run(config: &Config) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(config, executor.clone())))
}

async fn serve(config: &Config, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1]).map_err(|e| e.to_string())?;
    let core = Core::new(&config.settings, config.seed()).map_err(|why| format!("key settings: {why}"))?;
    let driver = Driver::new(core, executor.clone());
    let caps = &config.settings.caps;
    let limits = transport::Limits {
        connect: span(caps.connect_timeout_ms.unwrap_or(250.0)),
        keep_alive: span(caps.keepalive_ms.unwrap_or(30_000.0)),
        streams: caps.streams_per_conn.unwrap_or(100).max(1) as usize,
        bundle: config.settings.domain.bundle_max.unwrap_or(1) as usize,
        connections: config.store_connections(),
    };
    let stores: Rc<dyn RunStores> = match config.api {
        Api::Platform => Rc::new(Frames::new(driver.clone(), limits)),
        Api::Opensearch => Rc::new(Searches::new(driver.clone(), limits)),
    };
    let known = Some(config.known.index).filter(|_| !config.known.endpoints.is_empty());
    let watch = Rc::new(Watch::new(driver.clone(), config.discovery, known));
    driver.connect(stores, watch);
    driver.take_news(News::Cached(config.known.listed()));
    executor.spawn(driver.clone().run()).detach();

    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|error| format!("key listen: {}: {error}", config.listen))?;
    let at: SocketAddr = listener.local_addr().map_err(|error| error.to_string())?;
    let limits = Limits::for_connections(config.client_connections());
    let front: Box<dyn Handler> = match config.api {
        Api::Platform => Box::new(Platform::new(driver.clone())),
        Api::Opensearch => {
            Box::new(OpenSearch::new(driver.clone(), config.settings.domain.shards.unwrap_or(1)))
        }
    };
    let server = Server::new(executor.clone(), front, limits);
    let accepting = executor.spawn(server.clone().accept(listener));
    log::line(&format!("{} listens on {at}", config.name));

    loop {
        match signals.next().await {
            Some(Ok(Signal::Usr1)) => log::line(&format!("counters {}", driver.counters())),
            Some(Ok(_)) | None => break,
            Some(Err(error)) => log::line(&format!("signals: {error}")),
        }
    }
    // Planned end: go on accepting, answer everything, then leave.
    log::line("draining");
    server.drain();
    let drained = async {
        Timer::after(KEEP_IDLE).await;
        server.close_idle(Reason::Shutdown);
        Timer::after(KEEP_ACCEPTING).await;
        server.close_idle(Reason::Shutdown);
        drop(accepting);
        while driver.open_queries() > 0 || server.open() > 0 {
            Timer::after(LOOK_EVERY).await;
            server.close_idle(Reason::Shutdown);
        }
    };
    future::or(drained, async {
        Timer::after(span(config.longest_deadline()) + LAST_WAIT).await;
    })
    .await;
    log::line(&format!("counters {}", driver.counters()));
    Ok(())
}
