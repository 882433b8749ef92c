//! Reloads on SIGHUP: the configuration is read again and applied as a whole or not at all.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use super::program::newest_settings;
use crate::config::Config;
use crate::core::drive::Driver;
use crate::directory::Reload;
use crate::log;
use crate::store::Store;

/// Reloads the configuration and applies it to the driver, the directory and the store.
pub struct Reloader {
    path: PathBuf,
    /// The configuration at the start; it stays in force for keys that only a restart applies.
    started: Config,
    /// The configuration that was applied last.
    applied: RefCell<Config>,
    driver: Rc<Driver>,
    directory: Box<dyn Reload>,
    store: Option<Rc<Store>>,
}

impl Reloader {
    /// Returns a reloader for a file that was started with the given configuration.
    pub fn new(
        path: PathBuf,
        started: Config,
        driver: Rc<Driver>,
        directory: Box<dyn Reload>,
        store: Option<Rc<Store>>,
    ) -> Self {
        Reloader { path, applied: RefCell::new(started.clone()), started, driver, directory, store }
    }

    /// Returns the address of the discovery service at present.
    pub fn discovery(&self) -> Option<SocketAddr> {
        self.applied.borrow().discovery
    }

    /// Reads and applies the configuration again. A faulty one changes nothing.
    pub fn reload(&self) {
        let result = self.apply();
        self.driver.count(|counters| match result {
            Ok(()) => counters.config_applied += 1,
            Err(_) => counters.config_rejected += 1,
        });
        match result {
            Ok(()) => log::line("reload: done"),
            Err(why) => log::line(&format!("reload: the old configuration stays: {why}")),
        }
    }

    fn apply(&self) -> Result<(), String> {
        let new = Config::load(&self.path)?;
        self.applied.borrow().check_no_key_removed(&new)?;
        let site = newest_settings(&new, self.store.as_deref())?;
        // Everything that can be faulty has been checked; the rest cannot fail.
        self.driver.apply_settings(&site).map_err(|why| format!("key settings: {why}"))?;
        self.directory.reload(&new);
        for key in self.started.needs_restart(&new) {
            log::line(&format!("reload: key {key} has changed and needs a restart"));
        }
        *self.applied.borrow_mut() = new;
        Ok(())
    }
}
