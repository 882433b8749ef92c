//! The watch on the discovery service: one call after the other on a kept connection.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::{Reload, Target};
use crate::api::Millis;
use crate::asking::{CALL_TIMEOUT, WATCH_GRACE, WATCH_WAIT};
use crate::config::Config;
use crate::core::drive::{Directory, Driver};
use crate::core::DirectoryUpdate;
use crate::directory::list::{List, MOST_BYTES};
use crate::http::client::{within, Client};
use crate::http::parse::Message;
use crate::http::write;
use crate::log::{self, Reason};

const CONNECT: Duration = Duration::from_millis(1000);

/// A watch that its core starts, again after each failure.
pub struct Watch {
    driver: Rc<Driver>,
    address: Target<SocketAddr>,
    /// The version that is known; `None` before any.
    index: Cell<Option<u64>>,
    on: Cell<bool>,
    /// Whether the last call was a watch that was never answered.
    silent: Cell<bool>,
}

impl Watch {
    /// A watch that is not on yet. It goes on from the version that is already known, if any.
    pub fn new(driver: Rc<Driver>, address: SocketAddr, known: Option<u64>) -> Rc<Self> {
        let address = Target::new(address);
        Rc::new(Watch {
            driver,
            address,
            index: Cell::new(known),
            on: Cell::new(false),
            silent: Cell::new(false),
        })
    }

    async fn run(self: Rc<Self>) {
        let (address, why) = loop {
            let address = self.address.settle();
            let mut client = None;
            let followed = async { Some(self.follow(address, &mut client).await) };
            let moved = async {
                self.address.moved().await;
                None
            };
            // A reload ends whatever call is out: an address that is given up may never answer it. It is looked
            // at first, as an answer taken in after it would bring back the old address's version.
            match future::or(moved, followed).await {
                Some(why) => break (address, why),
                None => self.ended(address, Reason::Retired, "discovery has moved"),
            }
        };
        self.ended(address, why.kind().into(), &why.to_string());
        // The core decides when to ask again.
        self.on.set(false);
        self.driver.apply_directory_update(if self.silent.get() {
            DirectoryUpdate::Silent
        } else {
            DirectoryUpdate::Failed
        });
    }

    fn ended(&self, address: SocketAddr, reason: Reason, why: &str) {
        log::ended("discovery", Some(address), reason, format_args!("index={:?} {why}", self.index.get()));
    }

    /// Follows the list until a call fails.
    async fn follow(&self, address: SocketAddr, client: &mut Option<Client>) -> io::Error {
        loop {
            let kept = client.is_some();
            let mut answer = self.call(address, client).await;
            // A kept connection may have been closed meanwhile, which is no failure of the service. A new
            // one keeps the watch unbroken. What the service has answered is not asked again at once: it has
            // said that it has too much to do, and all aggregators would ask twice just then.
            if kept && answer.as_ref().is_err_and(closed) {
                self.ended(address, Reason::PeerClosed, "the kept connection was closed");
                *client = None;
                answer = self.call(address, client).await;
            }
            match answer {
                Ok(list) => {
                    self.index.set(Some(list.index));
                    self.driver.apply_directory_update(list.news());
                }
                Err(error) => return error,
            }
        }
    }

    async fn call(&self, address: SocketAddr, client: &mut Option<Client>) -> io::Result<List> {
        self.silent.set(false);
        let open = client.take();
        // One call both tells what changed and begins the watch: a first one that only asks would be a second
        // call of each aggregator just when all start.
        let answer = match self.index.get() {
            None => whole_list(address, open).await,
            Some(index) => {
                let changes = within(ms(WATCH_WAIT + WATCH_GRACE), changes(address, open, index)).await;
                let unanswered = changes.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::TimedOut);
                self.silent.set(unanswered);
                changes
            }
        };
        let (open, answer) = answer?;
        if answer.start.1 != "200" {
            return Err(io::Error::other(format!("status {}", answer.start.1)));
        }
        let list = serde_json::from_slice(&answer.body)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        if answer.keep_alive {
            *client = Some(open);
        } else {
            self.ended(address, Reason::Done, "one call was all that it was for");
        }
        Ok(list)
    }
}

/// An answer, and the connection that it came on.
type Answered = (Client, Message);

/// Asks for what has changed since a version, once something has. What connecting takes is taken off the wait, so that the
/// call is over when one on a kept connection would be.
async fn changes(address: SocketAddr, open: Option<Client>, index: u64) -> io::Result<Answered> {
    let begun = Instant::now();
    let open = connected(address, open).await?;
    let wait = ms(WATCH_WAIT).saturating_sub(begun.elapsed()).as_millis();
    ask(address, open, &format!("/v1/servers?after={index}&wait_ms={wait}")).await
}

/// Asks for the whole list. One call that is not answered in its time may hang for good, or the service may be slow: it is
/// asked once more, on another connection, and whichever answer comes first counts.
async fn whole_list(address: SocketAddr, open: Option<Client>) -> io::Result<Answered> {
    let call = |open| async move { ask(address, connected(address, open).await?, "/v1/servers").await };
    let again = async {
        Timer::after(ms(CALL_TIMEOUT)).await;
        match call(None).await {
            Ok(answered) => Ok(answered),
            // The first one may still be answered.
            Err(_) => future::pending().await,
        }
    };
    within(ms(CALL_TIMEOUT + CALL_TIMEOUT), future::or(call(open), again)).await
}

async fn connected(address: SocketAddr, open: Option<Client>) -> io::Result<Client> {
    match open {
        Some(open) => Ok(open),
        None => Client::connect(address, CONNECT, MOST_BYTES).await,
    }
}

async fn ask(address: SocketAddr, mut open: Client, target: &str) -> io::Result<Answered> {
    open.write(&write::request("GET", target, &address.to_string(), &[], &[])).await?;
    let answer = open.read().await?;
    Ok((open, answer))
}

fn ms(span: Millis) -> Duration {
    Duration::from_secs_f64(span / 1000.0)
}

/// Whether a call failed with its connection, and not by an answer or by its time.
fn closed(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

impl Directory for Rc<Watch> {
    fn watch(&self) {
        if !self.on.replace(true) {
            self.driver.executor().spawn(self.clone().run()).detach();
        }
    }

    fn version(&self) -> Option<u64> {
        self.index.get()
    }
}

impl Reload for Rc<Watch> {
    fn reload(&self, config: &Config) {
        if config.discovery.is_some_and(|address| self.address.set(address)) {
            // Versions are each service's own: the first call there asks for the whole list.
            self.index.set(None);
            self.watch();
        }
    }
}
