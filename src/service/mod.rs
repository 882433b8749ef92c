//! The aggregator put together, from its start to its orderly end.

pub mod reload;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

use crate::config::{Api, Config};
use crate::core::drive::{Directory, Driver, RunStores};
use crate::core::{Core, News};
use crate::directory::dns_sd::DnsSd;
use crate::directory::list::List;
use crate::directory::watch::Watch;
use crate::directory::Reload;
use crate::front::opensearch::OpenSearch;
use crate::front::platform::Platform;
use crate::http::door::Door;
use crate::http::server::{Handler, Limits, Server, KEEP_IDLE};
use crate::log;
use crate::operator::Operator;
use crate::settings::Info;
use crate::store::peers::Peers;
use crate::store::{self, Store};
use crate::transport::frames::Frames;
use crate::transport::opensearch::Searches;
use crate::transport::{self, span};
use reload::Reloads;

/// After SIGTERM, new connections still come for a while beyond the time for idle ones.
const KEEP_ACCEPTING: Duration = Duration::from_millis(250);
/// Beyond the longest deadline, what is left to do is not waited for.
const LAST_WAIT: Duration = Duration::from_millis(600);
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// How long a start waits for the peers of the store.
const PEERS_WAIT: Duration = Duration::from_millis(2000);
const KEEP_DIRECTORY_EVERY: Duration = Duration::from_millis(500);

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
    let kinds = [Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup];
    let mut signals = Signals::new(kinds).map_err(|e| e.to_string())?;
    let config = &Config::load(path)?;
    let store = start_store(config, &executor).await?;
    let info = settle_settings(config, store.as_deref())?;
    let core = Core::new(&info, config.seed()).map_err(|why| format!("key settings: {why}"))?;
    let driver = Driver::new(core, executor.clone());
    let limits = transport::Limits::of(&info, config.store_connections());
    let stores: Rc<dyn RunStores> = match config.api {
        Api::Platform => Rc::new(Frames::new(driver.clone(), limits)),
        Api::Opensearch => Rc::new(Searches::new(driver.clone(), limits)),
    };
    let mut known = config.known.clone();
    if known.endpoints.is_empty() {
        // Nothing is known here: what a peer last knew is a better start than nothing.
        known = store.as_ref().and_then(|store| last_directory(store)).unwrap_or(known);
    }
    let (listing, reload) = directory(config, &driver)?;
    driver.connect(stores, listing);
    driver.take_news(News::Cached(known.listed()));
    executor.spawn(driver.clone().run()).detach();
    if let Some(store) = store.clone() {
        executor.spawn(keep_directory(store, driver.clone())).detach();
    }

    let listener = bind("listen", config.listen).await?;
    let operators = match config.operator {
        Some(address) => Some(bind("operator", address).await?),
        None => None,
    };
    let at: SocketAddr = listener.local_addr().map_err(|error| error.to_string())?;
    let limits = Limits::for_connections(config.client_connections());
    let door = Rc::new(Door::default());
    let front: Box<dyn Handler> = match config.api {
        Api::Platform => Box::new(Platform::new(driver.clone(), door.clone())),
        Api::Opensearch => Box::new(OpenSearch::new(driver.clone(), door.clone())),
    };
    let server = Server::new("client", executor.clone(), front, limits, door.clone());
    let accepting = executor.spawn(server.clone().accept(listener));
    executor.spawn(server.clone().drain()).detach();
    if let Some(listener) = operators {
        if let Ok(at) = listener.local_addr() {
            log::line(&format!("operators call {at}"));
        }
        executor
            .spawn(Operator::new(driver.clone(), door.clone()).serve(executor.clone(), listener))
            .detach();
    }
    log::line(&format!("{} listens on {at}", config.name));

    let reloads = Reloads::new(path.into(), config.clone(), driver.clone(), reload, store);
    let attend = |signal| match signal {
        Signal::Usr1 => log::line(&format!("counters {}", driver.counters())),
        Signal::Hup => reloads.reload(),
        _ => {}
    };
    until_told_to_end(&mut signals, attend).await;
    // Planned end: go on accepting, answer everything, then leave.
    log::line("draining");
    door.leave();
    let drained = async {
        Timer::after(KEEP_IDLE + KEEP_ACCEPTING).await;
        drop(accepting);
        while driver.open_queries() > 0 || server.open() > 0 {
            Timer::after(LOOK_EVERY).await;
        }
    };
    let last = async {
        Timer::after(span(driver.longest_deadline()) + LAST_WAIT).await;
    };
    let signals = async {
        loop {
            until_told_to_end(&mut signals, attend).await;
        }
    };
    future::or(drained, future::or(last, signals)).await;
    log::line(&format!("counters {}", driver.counters()));
    Ok(())
}

async fn bind(key: &str, address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|error| format!("key {key}: {address}: {error}"))
}

/// Attends to signals until one of them ends the program.
async fn until_told_to_end(signals: &mut Signals, attend: impl Fn(Signal)) {
    loop {
        match signals.next().await {
            Some(Ok(Signal::Term | Signal::Int)) => return,
            Some(Ok(signal)) => attend(signal),
            Some(Err(error)) => log::line(&format!("signals: {error}")),
            None => future::pending().await,
        }
    }
}

/// A directory for the core, and the same for reloads.
type Listing = (Rc<dyn Directory>, Box<dyn Reload>);

/// The directory that the configuration names, and what moves it at a reload.
fn directory(config: &Config, driver: &Rc<Driver>) -> Result<Listing, String> {
    if let Some(place) = &config.dns_sd {
        let dns = DnsSd::new(driver.clone(), place.clone());
        return Ok((Rc::new(dns.clone()), Box::new(dns)));
    }
    let address = config.discovery.ok_or("key discovery: is missing, and so is dns_sd")?;
    let known = Some(config.known.index).filter(|_| !config.known.endpoints.is_empty());
    let watch = Watch::new(driver.clone(), address, known);
    Ok((Rc::new(watch.clone()), Box::new(watch)))
}

/// Starts the replicated store, if it is configured, and waits a moment for what its peers hold.
async fn start_store(
    config: &Config,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<Option<Rc<Store>>, String> {
    let Some(place) = &config.store else { return Ok(None) };
    let listener = bind("store.listen", place.listen).await?;
    let store = Rc::new(Store::new(&config.name));
    if let Ok(at) = listener.local_addr() {
        log::line(&format!("store meets peers on {at}"));
    }
    let peers = Peers::start(store.clone(), executor.clone(), listener, &place.peers);
    let settled = async {
        while peers.settled() < place.peers.len() {
            Timer::after(LOOK_EVERY).await;
        }
    };
    future::or(settled, async {
        Timer::after(PEERS_WAIT).await;
    })
    .await;
    Ok(Some(store))
}

/// The settings of the highest version: this file's or the store's, which gets this file's.
fn settle_settings(config: &Config, store: Option<&Store>) -> Result<Info, String> {
    let own = config.settings.as_ref().map(|settings| settings.get());
    if let (Some(store), Some(place)) = (store, &config.store) {
        if let Some(own) = own {
            store.put(store::SETTINGS, place.settings_version, own.to_string());
        }
        if let Some(entry) = store.get(store::SETTINGS) {
            log::line(&format!("settings of version {} from {}", entry.version, entry.origin));
            return config.settings(&entry.value);
        }
    }
    config.settings(own.ok_or("key settings: is missing, and no peer holds any")?)
}

fn last_directory(store: &Store) -> Option<List> {
    serde_json::from_str(&store.get(store::DIRECTORY)?.value).ok()
}

/// Writes the directory to the store whenever it has changed.
async fn keep_directory(store: Rc<Store>, driver: Rc<Driver>) {
    let mut kept = List::default();
    loop {
        let list = List::of(&driver.directory());
        if list != kept && !list.endpoints.is_empty() {
            if let Ok(text) = serde_json::to_string(&list) {
                store.put(store::DIRECTORY, driver.now() as u64, text);
            }
            kept = list;
        }
        Timer::after(KEEP_DIRECTORY_EVERY).await;
    }
}
