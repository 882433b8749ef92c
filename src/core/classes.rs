//! The classes by their places. A place stays what it is for as long as queries of it are held, whatever other
//! settings say meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::api::{Class, Millis};
use crate::settings::SiteSettings;

/// What a class is.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: Arc<str>,
    /// How long clients wait for an answer.
    pub deadline: Millis,
    /// The router's view.
    pub class: Class,
}

/// The classes.
#[derive(Debug, Default)]
pub struct Classes {
    places: Vec<Kind>,
    /// The places of those that may be asked for.
    names: BTreeMap<Arc<str>, usize>,
}

impl Classes {
    /// Takes the classes of some settings. One that was there already keeps its place; another gets the one that
    /// its name had, or any that is not held, or a new one. A place that is neither held nor needed becomes like one that is needed, so
    /// that a class that is gone has no bearing on anything.
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

    /// Places in the order of another process, as what it learned goes by them. None of them is held.
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

    /// The names by place, also of classes that may not be asked for.
    pub fn order(&self) -> Vec<String> {
        self.places.iter().map(|kind| kind.name.to_string()).collect()
    }

    /// The place of a class that may be asked for.
    pub fn named(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// The names that may be asked for.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.keys()
    }

    /// What stands at a place.
    pub fn at(&self, place: usize) -> &Kind {
        &self.places[place]
    }

    /// All places, as the router knows them.
    pub fn for_router(&self) -> Vec<Class> {
        self.places.iter().map(|kind| kind.class.clone()).collect()
    }

    /// The longest time that any query may take.
    pub fn longest_deadline(&self) -> Millis {
        self.places.iter().map(|kind| kind.deadline).fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
