//! Assembles the running program from its components and connects it to the handover.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::future;
use ironpaddle_trace::file::Source;

use super::reload::Reloader;
use crate::api::{Millis, ReplicaId};
use crate::config::{Api, Config};
use crate::core::drive::{Directory, Driver, RunStores};
use crate::core::{Core, DirectoryUpdate};
use crate::directory::dns_sd::DnsSd;
use crate::directory::list::List;
use crate::directory::watch::Watch;
use crate::directory::Reload;
use crate::front::opensearch::OpenSearch;
use crate::front::platform::Platform;
use crate::handover::{HandoverState, HeldResources, PeerSender, Process};
use crate::http::client_gate::ClientGate;
use crate::http::server::{Handler, Limits, Server};
use crate::log;
use crate::memory::RequestMemory;
use crate::query_ids::IdHash;
use crate::settings::SiteSettings;
use crate::store::peers::Replication;
use crate::store::{self, Store};
use crate::trace::control::Control;
use crate::transport;
use crate::transport::frames::FrameTransport;
use crate::transport::opensearch::SearchTransport;

/// How long a start waits for peers of the replicated store.
const PEER_SYNC_TIMEOUT: Duration = Duration::from_millis(2000);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the shutdown waits until the end of the trace is on disk.
const TRACE_FLUSH_TIMEOUT: Duration = Duration::from_millis(1000);
const DIRECTORY_SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// File descriptors other than those of clients and run stores: standard streams, the reactor, listeners,
/// discovery.
const OTHER_DESCRIPTORS: usize = 24;

/// The running program.
pub struct Program {
    config: Config,
    executor: Rc<LocalExecutor<'static>>,
    pub(super) driver: Rc<Driver>,
    pub(super) server: Rc<Server>,
    pub(super) client_gate: Rc<ClientGate>,
    pub(super) reloader: Reloader,
    /// The socket that clients connect to, until it is closed.
    listener: RefCell<Option<TcpListener>>,
    store: Option<(Rc<Store>, TcpListener)>,
    accepting: RefCell<Option<Task<()>>>,
}

/// The state and the sockets that another process hands over.
pub type Inherited = (HandoverState, Vec<OwnedFd>);

impl Program {
    /// Starts the program with a configuration, or takes over from another process. It does not accept
    /// clients yet.
    ///
    /// # Errors
    /// Returns a message that names the faulty key.
    pub async fn new(
        path: &Path,
        config: Config,
        executor: Rc<LocalExecutor<'static>>,
        inherited: Option<Inherited>,
        peer: Rc<PeerSender>,
    ) -> Result<Rc<Self>, String> {
        let (state, sockets) = inherited.unzip();
        let mut sockets = sockets.unwrap_or_default().into_iter();
        let listener = listen("listen", config.listen, sockets.next()).await?;
        let store = start_store(&config, &executor, sockets.next(), state.as_ref()).await?;
        let site = newest_settings(&config, store.as_ref().map(|(store, _)| &**store))?;
        let mut core = Core::new(&site, config.seed()).map_err(|why| format!("key settings: {why}"))?;
        if let Some(state) = &state {
            let learned_state_read = core
                .restore_takeover_state(&site, state.takeover_state.clone())
                .map_err(|why| format!("key settings: {why}"))?;
            log::line(if learned_state_read {
                "handover: taken over"
            } else {
                "handover: taken over, but the learned state could not be read"
            });
        }
        let driver = match state.as_ref().and_then(|state| state.now) {
            Some(now) => Driver::with_clock_at(core, executor.clone(), now),
            None => Driver::new(core, executor.clone()),
        };
        if let Some(ids) = state.as_ref().and_then(|state| state.takeover_state.query_ids.as_ref()) {
            driver.remember_query_ids(ids);
        }
        if let Some(trace) = &config.trace {
            driver.set_trace_control(Control::new(trace.keep(), source(&config, driver.now())));
            // As in the process that hands over, since operators may have switched recording there.
            let on = state.as_ref().and_then(|state| state.recording).unwrap_or(trace.on);
            if on {
                driver.switch_recording(true).map_err(|why| format!("key trace.dir: {why}"))?;
            }
        }
        let limits = transport::Limits::from_settings(&site, config.run_store_connections(0));
        let stores: Rc<dyn RunStores> = match config.api {
            Api::Platform => Rc::new(FrameTransport::new(driver.clone(), limits)),
            Api::Opensearch => Rc::new(SearchTransport::new(driver.clone(), limits)),
        };
        let saved = store.as_ref().and_then(|(store, _)| saved_list(store));
        let (known, version) = known_list(&config, state.as_ref(), saved.as_ref());
        let (directory, reload) = build_directory(&config, version, &driver)?;
        driver.connect(stores, directory);
        driver.apply_directory_update(DirectoryUpdate::Cached(known.endpoints));
        executor.spawn(driver.clone().run()).detach();
        if let Some((store, _)) = &store {
            executor.spawn(save_directory(store.clone(), driver.clone(), saved)).detach();
        }
        let client_gate = Rc::new(ClientGate::default());
        client_gate.set_closed_by_operator(state.as_ref().is_some_and(|state| state.shut_by_operator));
        let front: Box<dyn Handler> = match config.api {
            Api::Platform => Box::new(Platform::new(driver.clone(), client_gate.clone(), peer)),
            Api::Opensearch => Box::new(OpenSearch::new(driver.clone(), client_gate.clone())),
        };
        let limits = Limits::for_connections(config.client_connections(0));
        let server = Server::new(
            "client",
            executor.clone(),
            front,
            limits,
            RequestMemory::for_limit(config.limits.memory_mb),
            client_gate.clone(),
        );
        executor.spawn(server.clone().drain()).detach();
        let copy = store.as_ref().map(|(store, _)| store.clone());
        let reloader = Reloader::new(path.into(), config.clone(), driver.clone(), reload, copy);
        let program = Rc::new(Program {
            config,
            executor,
            driver,
            server,
            client_gate,
            reloader,
            listener: RefCell::new(Some(listener)),
            store,
            accepting: RefCell::default(),
        });
        program.reserve_for_peer(state.map(|state| state.held));
        Ok(program)
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.borrow().as_ref()?.local_addr().ok()
    }

    /// Starts to accept clients.
    pub fn accept(&self) {
        if let Some(listener) = self.listener.borrow().clone() {
            let accepting = self.executor.spawn(self.server.clone().accept(listener));
            *self.accepting.borrow_mut() = Some(accepting);
        }
    }

    /// Accepts the connections that are already waiting, then stops accepting and listening. If another
    /// process shares the socket, the waiting connections are left to it.
    pub async fn close(&self) {
        let (accepting, listener) = (self.accepting.take(), self.listener.take());
        if let (Some(accepting), Some(listener)) = (accepting, listener) {
            drop(accepting);
            self.server.accept_queued(&listener).await;
        }
    }

    /// Stops trace recording, and waits a moment for the disk.
    pub async fn end_recording(&self) {
        // Only starting can fail.
        let _ = self.driver.switch_recording(false);
        let written = async {
            while self.driver.trace_control().is_some_and(|control| !control.is_done()) {
                Timer::after(POLL_INTERVAL).await;
            }
        };
        future::or(written, async {
            Timer::after(TRACE_FLUSH_TIMEOUT).await;
        })
        .await;
    }

    /// Returns whether no client waits for anything any more.
    pub fn is_done(&self) -> bool {
        self.driver.open_queries() == 0 && self.server.open_connections() == 0
    }
}

impl Process for Program {
    fn name(&self) -> String {
        self.config.name.clone()
    }

    fn sockets(&self) -> Option<Vec<OwnedFd>> {
        let listener = self.listener.borrow();
        let store = self.store.iter().map(|(_, listener)| listener);
        let copy = |listener: &TcpListener| listener.as_fd().try_clone_to_owned().ok();
        std::iter::once(listener.as_ref()?).chain(store).map(copy).collect()
    }

    fn state(&self) -> HandoverState {
        let mut list = List::of(self.driver.directory());
        list.index = self.driver.version().unwrap_or(0);
        HandoverState {
            list,
            discovery: self.reloader.discovery(),
            takeover_state: self.driver.takeover_state(),
            now: Some(self.driver.now()),
            shut_by_operator: self.client_gate.is_closed_by_operator(),
            recording: self.driver.trace_control().map(Control::is_on),
            entries: self.store.as_ref().map(|(store, _)| store.entries()).unwrap_or_default(),
            held: self.held(),
        }
    }

    fn held(&self) -> HeldResources {
        let descriptors = OTHER_DESCRIPTORS + self.server.open_connections() + self.driver.connections();
        HeldResources { open: self.driver.open_work(), descriptors }
    }

    fn stop_accepting(&self) {
        drop(self.accepting.take());
        self.client_gate.set_handed_over(true);
    }

    fn resume_accepting(&self) {
        if !self.client_gate.is_shutting_down() {
            log::line("handover: the new process is gone, this one serves again");
            self.client_gate.set_handed_over(false);
            self.accept();
        }
    }

    fn apply_manual_drain(&self, at: Millis, id: &ReplicaId, out: bool) {
        self.driver.apply_manual_drain(at, id, out);
    }

    fn remember_query_id(&self, id: IdHash) {
        self.driver.remember_query_ids(&[id]);
    }

    fn reserve_for_peer(&self, held: Option<HeldResources>) {
        let HeldResources { open, descriptors } = held.unwrap_or_default();
        self.server.set_max_connections(self.config.client_connections(descriptors));
        self.driver.share_limits(open, self.config.run_store_connections(descriptors));
    }
}

/// Returns the description of this process for the trace.
fn source(config: &Config, now: Millis) -> Source {
    Source {
        aggregator: config.name.clone(),
        started: now as u64,
        process: std::process::id(),
        seed: config.seed(),
        program: env!("CARGO_PKG_VERSION").to_string(),
        settings: String::new(),
    }
}

/// Returns a listener at an address: the inherited one, or a new one.
async fn listen(key: &str, address: SocketAddr, inherited: Option<OwnedFd>) -> Result<TcpListener, String> {
    let failed = |error: std::io::Error| format!("key {key}: {address}: {error}");
    let Some(socket) = inherited else {
        return TcpListener::bind(address).await.map_err(failed);
    };
    let listener = TcpListener::try_from(std::net::TcpListener::from(socket)).map_err(failed)?;
    let bound_to = listener.local_addr().map_err(failed)?;
    // Two processes at two addresses would act as two aggregators.
    if bound_to.ip() != address.ip() || (address.port() != 0 && bound_to.port() != address.port()) {
        return Err(format!(
            "key {key}: the running process listens on {bound_to}; a change of address needs a restart"
        ));
    }
    Ok(listener)
}

/// Returns the listener for operators' calls, if one is configured.
pub async fn listen_for_operators(config: &Config) -> Result<Option<TcpListener>, String> {
    match config.operator {
        Some(address) => listen("operator", address, None).await.map(Some),
        None => Ok(None),
    }
}

/// Returns the initial list of run stores, and its version at the configured discovery service. `saved` is the list in
/// the store.
fn known_list(config: &Config, state: Option<&HandoverState>, saved: Option<&List>) -> (List, Option<u64>) {
    if let Some(HandoverState { list, discovery, .. }) = state {
        // Versions of different services cannot be compared.
        let version = Some(list.index).filter(|index| *index > 0 && *discovery == config.discovery);
        return (list.clone(), version);
    }
    let known = &config.known;
    if !known.endpoints.is_empty() {
        return (known.clone(), Some(known.index));
    }
    // No list is known here, so start with the last one that a peer knew.
    (saved.cloned().unwrap_or_default(), None)
}

/// A directory for the core, and the interface that reloads it.
type ReloadableDirectory = (Rc<dyn Directory>, Box<dyn Reload>);

/// Returns the directory that the configuration names, and the interface that points it elsewhere at a
/// reload.
fn build_directory(
    config: &Config,
    version: Option<u64>,
    driver: &Rc<Driver>,
) -> Result<ReloadableDirectory, String> {
    if let Some(name) = &config.dns_sd {
        let dns = DnsSd::new(driver.clone(), name.clone());
        return Ok((Rc::new(dns.clone()), Box::new(dns)));
    }
    let address = config.discovery.ok_or("key discovery: is missing, and so is dns_sd")?;
    let watch = Watch::new(driver.clone(), address, version);
    Ok((Rc::new(watch.clone()), Box::new(watch)))
}

/// Starts the replicated store, if configured. Its entries come from the process that hands over, or else
/// from peers, which the start waits for briefly.
async fn start_store(
    config: &Config,
    executor: &Rc<LocalExecutor<'static>>,
    inherited: Option<OwnedFd>,
    state: Option<&HandoverState>,
) -> Result<Option<(Rc<Store>, TcpListener)>, String> {
    let Some(store_config) = &config.store else { return Ok(None) };
    let listener = listen("store.listen", store_config.listen, inherited).await?;
    let store = Rc::new(Store::new(&config.name));
    if let Ok(at) = listener.local_addr() {
        log::line(&format!("store meets peers on {at}"));
    }
    let peers = Replication::start(store.clone(), executor.clone(), listener.clone(), &store_config.peers);
    if let Some(state) = state {
        for entry in &state.entries {
            store.merge(entry.clone());
        }
        return Ok(Some((store, listener)));
    }
    let synced = async {
        while peers.initial_syncs_done() < store_config.peers.len() {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    future::or(synced, async {
        Timer::after(PEER_SYNC_TIMEOUT).await;
    })
    .await;
    Ok(Some((store, listener)))
}

/// Returns the settings of the highest version: those of the configuration file or those in the store. The
/// file's settings are first put into the store.
pub fn newest_settings(config: &Config, store: Option<&Store>) -> Result<SiteSettings, String> {
    let own = config.settings.as_ref().map(|settings| settings.get());
    if let (Some(store), Some(store_config)) = (store, &config.store) {
        if let Some(own) = own {
            store.put(store::SETTINGS, store_config.settings_version, own.to_string());
        }
        if let Some(entry) = store.get(store::SETTINGS) {
            log::line(&format!("settings of version {} from {}", entry.version, entry.origin));
            return config.parse_settings(&entry.value);
        }
    }
    config.parse_settings(own.ok_or("key settings: is missing, and no peer holds any")?)
}

/// Returns the list that this process or a peer saved in the store.
fn saved_list(store: &Store) -> Option<List> {
    serde_json::from_str(&store.get(store::DIRECTORY)?.value).ok()
}

/// Writes the directory's list to the store whenever it changes. `saved` is the list that was in the store when this
/// process chose the one to start with.
async fn save_directory(store: Rc<Store>, driver: Rc<Driver>, saved: Option<List>) {
    // A list that this process took from the store is not news: saved anew, it would replace a newer one that a peer
    // has saved meanwhile. Without any, nothing is saved before the first list.
    let mut saved = saved.unwrap_or_else(|| List::of(Vec::new()));
    loop {
        let list = List::of(driver.directory());
        if list != saved {
            if let Ok(text) = serde_json::to_string(&list) {
                store.put(store::DIRECTORY, driver.now() as u64, text);
            }
            saved = list;
        }
        Timer::after(DIRECTORY_SAVE_INTERVAL).await;
    }
}
