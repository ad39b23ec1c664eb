//! A journal in memory: events are appended, views are folded from it.

/// A view that is made from events alone.
pub trait Fold {
    /// What happens to the view.
    type Event;
    /// Brings one event into the view.
    fn fold(&mut self, event: &Self::Event);
}

/// Keeps the view and the newest events; older ones live on in the view only.
#[derive(Debug)]
pub struct ChangeLog<V: Fold> {
    view: V,
    tail: std::collections::VecDeque<V::Event>,
    capacity: usize,
    head: u64,
}

impl<V: Fold> ChangeLog<V> {
    /// A journal with this view of the events before it, which keeps `capacity` events.
    pub fn new(view: V, capacity: usize) -> Self {
        ChangeLog { view, tail: std::collections::VecDeque::new(), capacity, head: 0 }
    }

    /// Folds an event into the view and keeps it; gives the new head.
    pub fn append(&mut self, event: V::Event) -> u64 {
        self.view.fold(&event);
        self.tail.push_back(event);
        while self.tail.len() > self.capacity {
            self.tail.pop_front();
        }
        self.head += 1;
        self.head
    }

    /// Changes the view by what no reader of the events has to hear of.
    pub fn amend<T>(&mut self, change: impl FnOnce(&mut V) -> T) -> T {
        change(&mut self.view)
    }

    /// The view of all events so far.
    pub fn view(&self) -> &V {
        &self.view
    }

    /// Number of events so far.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// The events after the first `position`; none if some of them are no longer kept, or if there were
    /// never so many.
    pub fn since(&self, position: u64) -> Option<impl Iterator<Item = &V::Event>> {
        let gap = self.head.checked_sub(position)? as usize;
        let skip = self.tail.len().checked_sub(gap)?;
        Some(self.tail.iter().skip(skip))
    }
}

#[cfg(test)]
#[path = "change_log_tests.rs"]
mod tests;
