//! SIGHUP: the configuration is read again, and taken whole or not at all.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use super::program::settle_settings;
use crate::config::Config;
use crate::core::drive::Driver;
use crate::directory::Reload;
use crate::log;
use crate::store::Store;

/// What a reload acts on.
pub struct Reloads {
    path: PathBuf,
    /// The configuration of the start, which holds for what only a restart takes up.
    started: Config,
    /// The one last taken.
    last: RefCell<Config>,
    driver: Rc<Driver>,
    directory: Box<dyn Reload>,
    store: Option<Rc<Store>>,
}

impl Reloads {
    /// Reloads of a file, beginning with the configuration that was started with.
    pub fn new(
        path: PathBuf,
        started: Config,
        driver: Rc<Driver>,
        directory: Box<dyn Reload>,
        store: Option<Rc<Store>>,
    ) -> Self {
        Reloads { path, last: RefCell::new(started.clone()), started, driver, directory, store }
    }

    /// Where discovery is asked by now.
    pub fn discovery(&self) -> Option<SocketAddr> {
        self.last.borrow().discovery
    }

    /// Reads the configuration again. One that is at fault changes nothing.
    pub fn reload(&self) {
        let taken = self.take_up();
        self.driver.count(|counters| match taken {
            Ok(()) => counters.config_applied += 1,
            Err(_) => counters.config_rejected += 1,
        });
        match taken {
            Ok(()) => log::line("reload: done"),
            Err(why) => log::line(&format!("reload: the old configuration stays: {why}")),
        }
    }

    fn take_up(&self) -> Result<(), String> {
        let new = Config::load(&self.path)?;
        self.last.borrow().check_no_key_removed(&new)?;
        let site = settle_settings(&new, self.store.as_deref())?;
        // All that may be at fault has been looked at; from here on it is taken.
        self.driver.apply_settings(&site).map_err(|why| format!("key settings: {why}"))?;
        self.directory.reload(&new);
        for key in self.started.needs_restart(&new) {
            log::line(&format!("reload: key {key} has changed and needs a restart"));
        }
        *self.last.borrow_mut() = new;
        Ok(())
    }
}
