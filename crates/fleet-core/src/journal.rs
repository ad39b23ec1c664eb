//! A journal in memory: events are appended, views are folded from it.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

pub trait Fold {
    type Event;
    fn fold(&mut self, event: &Self::Event);
}

/// Keeps the view and the newest events; older ones live on in the view only.
#[derive(Debug)]
pub struct Journal<V: Fold> {
    view: V,
    tail: std::collections::VecDeque<V::Event>,
    kept: usize,
    head: u64,
}

impl<V: Fold> Journal<V> {
    pub fn new(view: V, kept: usize) -> Self {
        Journal { view, tail: std::collections::VecDeque::new(), kept, head: 0 }
    }

    pub fn append(&mut self, event: V::Event) -> u64 {
        self.view.fold(&event);
        self.tail.push_back(event);
        while self.tail.len() > self.kept {
            self.tail.pop_front();
        }
        self.head += 1;
        self.head
    }

    /// What no reader of the events has to hear of.
    pub fn amend(&mut self, f: impl FnOnce(&mut V)) {
        f(&mut self.view);
    }

    pub fn view(&self) -> &V {
        &self.view
    }

    pub fn head(&self) -> u64 {
        self.head
    }

    /// The events after `seen`, or none if some of them are no longer kept.
    pub fn since(&self, seen: u64) -> Option<impl Iterator<Item = &V::Event>> {
        let gap = self.head.checked_sub(seen)? as usize;
        let skip = self.tail.len().checked_sub(gap)?;
        Some(self.tail.iter().skip(skip))
    }
}

#[cfg(test)]
#[path = "journal_tests.rs"]
mod tests;
