//! The classes by index. An index keeps its class as long as queries of that class are open, even if other
//! settings are applied in the meantime.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::api::{Class, Millis};
use crate::settings::SiteSettings;

/// A class of queries.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// The name of the class.
    pub name: Arc<str>,
    /// How long clients wait for an answer.
    pub deadline: Millis,
    /// The class as the router sees it.
    pub class: Class,
}

/// All classes by index, and the indexes of those in the current settings.
#[derive(Debug, Default)]
pub struct Classes {
    places: Vec<Kind>,
    /// The indexes of the classes in the current settings.
    names: BTreeMap<Arc<str>, usize>,
}

impl Classes {
    /// Applies the classes of the settings. An unchanged class keeps its index; a new or changed class gets
    /// the index that its name had, or any unused index, or a new one. An index that is neither in use nor
    /// needed gets a copy of the first class of the settings, so that a removed class has no influence on
    /// anything.
    pub fn take(&mut self, site: &SiteSettings, held: impl Fn(usize) -> bool) {
        let told = site.router_settings().classes;
        let kinds: Vec<Kind> = site
            .request_classes
            .iter()
            .zip(told)
            .map(|(told, class)| Kind {
                name: told.name.as_str().into(),
                deadline: told.deadline_ms(),
                class,
            })
            .collect();
        let first = |kind: &Kind| self.places.iter().position(|known| known == kind);
        let kept: Vec<_> = kinds.iter().filter_map(first).collect();
        let mut taken: Vec<bool> = (0..self.places.len()).map(|at| held(at) || kept.contains(&at)).collect();
        self.names.clear();
        for kind in &kinds {
            let same = self.places.iter().position(|known| known == kind);
            let free = |at: &usize| !taken[*at];
            let named = (0..self.places.len()).filter(free).find(|at| self.places[*at].name == kind.name);
            let any = || (0..self.places.len()).find(free);
            let at = same.or(named).or_else(any).unwrap_or(self.places.len());
            if at == self.places.len() {
                self.places.push(kind.clone());
                taken.push(true);
            }
            self.places[at] = kind.clone();
            taken[at] = true;
            self.names.insert(kind.name.clone(), at);
        }
        for (place, taken) in self.places.iter_mut().zip(taken) {
            if let (false, Some(kind)) = (taken, kinds.first()) {
                *place = kind.clone();
            }
        }
    }

    /// Restores the order of another process's classes, as the state that its router has learned refers to
    /// their indexes. No index is in use yet.
    pub fn in_order(&mut self, names: &[String], site: &SiteSettings) {
        *self = Classes::default();
        self.take(site, |_| false);
        let mut places = self.places.clone();
        places.truncate(names.len());
        places.resize(names.len(), self.places[0].clone());
        for (place, name) in places.iter_mut().zip(names) {
            place.name = name.as_str().into();
        }
        self.places = places;
        self.take(site, |_| false);
    }

    /// Returns the names by index, including classes that are no longer in the settings.
    pub fn order(&self) -> Vec<String> {
        self.places.iter().map(|kind| kind.name.to_string()).collect()
    }

    /// Returns the index of a class in the current settings.
    pub fn named(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the names of the classes in the current settings.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.keys()
    }

    /// Returns the class at an index.
    pub fn at(&self, place: usize) -> &Kind {
        &self.places[place]
    }

    /// Returns the classes of all indexes in the router's form.
    pub fn for_router(&self) -> Vec<Class> {
        self.places.iter().map(|kind| kind.class.clone()).collect()
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Millis {
        self.places.iter().map(|kind| kind.deadline).fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
