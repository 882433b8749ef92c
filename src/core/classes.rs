//! The classes by index. An index keeps its class as long as queries of that class are open, even if other
//! settings are applied in the meantime, and loses it once the last of them has ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::api::{Class, Millis};
use crate::settings::SiteSettings;

/// A class of queries.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassEntry {
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
    entries: Vec<ClassEntry>,
    /// The indexes of the classes in the current settings.
    indexes: BTreeMap<Arc<str>, usize>,
    /// The index of the first class of the current settings.
    first: usize,
    /// The indexes that keep a class that is not in the current settings.
    removed: BTreeSet<usize>,
}

impl Classes {
    /// Applies the classes of the settings. An unchanged class keeps its index; a new or changed class gets
    /// the index that its name had, or any unused index, or a new one. An index that is neither in use nor
    /// needed is released, see [`Classes::release_unused`].
    pub fn apply_settings(&mut self, site: &SiteSettings, in_use: impl Fn(usize) -> bool) {
        let router_classes = site.router_settings().classes;
        let wanted: Vec<ClassEntry> = site
            .request_classes
            .iter()
            .zip(router_classes)
            .map(|(settings, class)| ClassEntry {
                name: settings.name.as_str().into(),
                deadline: settings.deadline_ms(),
                class,
            })
            .collect();
        let unchanged = |entry: &ClassEntry| self.entries.iter().position(|known| known == entry);
        let kept: Vec<_> = wanted.iter().filter_map(unchanged).collect();
        let mut taken: Vec<bool> =
            (0..self.entries.len()).map(|index| in_use(index) || kept.contains(&index)).collect();
        self.indexes.clear();
        for entry in &wanted {
            let unchanged = self.entries.iter().position(|known| known == entry);
            let is_free = |index: &usize| !taken[*index];
            let same_name =
                (0..self.entries.len()).filter(is_free).find(|index| self.entries[*index].name == entry.name);
            let any_free = || (0..self.entries.len()).find(is_free);
            let index = unchanged.or(same_name).or_else(any_free).unwrap_or(self.entries.len());
            if index == self.entries.len() {
                self.entries.push(entry.clone());
                taken.push(true);
            }
            self.entries[index] = entry.clone();
            taken[index] = true;
            self.indexes.insert(entry.name.clone(), index);
        }
        self.first = wanted.first().map_or(0, |entry| self.indexes[&entry.name]);
        let in_settings: BTreeSet<usize> = self.indexes.values().copied().collect();
        self.removed = (0..self.entries.len()).filter(|index| !in_settings.contains(index)).collect();
        self.release_unused(in_use);
    }

    /// Releases the indexes of removed classes that are no longer in use, and returns whether there were any.
    /// They get a copy of the first class of the settings, so that a removed class has no influence on
    /// anything, but not its name, so that they are never taken for that class.
    pub fn release_unused(&mut self, in_use: impl Fn(usize) -> bool) -> bool {
        let unused: Vec<usize> = self.removed.iter().copied().filter(|index| !in_use(*index)).collect();
        for index in &unused {
            self.entries[*index] = ClassEntry { name: "".into(), ..self.entries[self.first].clone() };
            self.removed.remove(index);
        }
        !unused.is_empty()
    }

    /// Restores the order of another process's classes, as the state that its router has learned refers to
    /// their indexes. No index is in use yet.
    pub fn restore_order(&mut self, names: &[String], site: &SiteSettings) {
        *self = Classes::default();
        self.apply_settings(site, |_| false);
        let mut entries = self.entries.clone();
        entries.truncate(names.len());
        entries.resize(names.len(), self.entries[0].clone());
        for (entry, name) in entries.iter_mut().zip(names) {
            entry.name = name.as_str().into();
        }
        self.entries = entries;
        self.apply_settings(site, |_| false);
    }

    /// Returns the names by index, including classes that are no longer in the settings; an empty name for an
    /// index that is not in use.
    pub fn names_by_index(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.name.to_string()).collect()
    }

    /// Returns the names of the classes of [`Classes::router_classes`], in the same order.
    pub fn router_class_names(&self) -> Vec<Arc<str>> {
        let name = |entry: &ClassEntry| match &*entry.name {
            "" => self.entries[self.first].name.clone(),
            _ => entry.name.clone(),
        };
        self.entries.iter().map(name).collect()
    }

    /// Returns the index of a class in the current settings.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.indexes.get(name).copied()
    }

    /// Returns the names of the classes in the current settings.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.indexes.keys()
    }

    /// Returns the class at an index.
    pub fn get(&self, index: usize) -> &ClassEntry {
        &self.entries[index]
    }

    /// Returns the classes of all indexes in the router's form.
    pub fn router_classes(&self) -> Vec<Class> {
        self.entries.iter().map(|entry| entry.class.clone()).collect()
    }

    /// Returns the longest deadline of the classes in the current settings.
    pub fn longest_deadline(&self) -> Millis {
        self.indexes.values().map(|index| self.entries[*index].deadline).fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
