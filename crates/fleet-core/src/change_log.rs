//! A bounded in-memory event log with a view that is derived from its events.

/// A view that is derived from events alone.
pub trait Projection {
    /// A single change of the view.
    type Event;
    /// Applies one event to the view.
    fn apply(&mut self, event: &Self::Event);
}

/// Keeps the view and the newest events; older events are only reflected in the view.
#[derive(Debug)]
pub struct ChangeLog<V: Projection> {
    view: V,
    tail: std::collections::VecDeque<V::Event>,
    capacity: usize,
    head: u64,
}

impl<V: Projection> ChangeLog<V> {
    /// Creates an empty log that starts from this view and keeps at most `capacity` events.
    pub fn new(view: V, capacity: usize) -> Self {
        ChangeLog { view, tail: std::collections::VecDeque::new(), capacity, head: 0 }
    }

    /// Applies an event to the view and keeps it; returns the new head.
    pub fn append(&mut self, event: V::Event) -> u64 {
        self.view.apply(&event);
        self.tail.push_back(event);
        while self.tail.len() > self.capacity {
            self.tail.pop_front();
        }
        self.head += 1;
        self.head
    }

    /// Changes the view without recording an event, for changes that readers of the events need not see.
    pub fn update_silently<T>(&mut self, change: impl FnOnce(&mut V) -> T) -> T {
        change(&mut self.view)
    }

    /// The view after all events appended so far.
    pub fn view(&self) -> &V {
        &self.view
    }

    /// Number of events appended so far.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// The events after the first `position`; `None` if some of them are no longer kept or if `position` is beyond
    /// the head.
    pub fn since(&self, position: u64) -> Option<impl Iterator<Item = &V::Event>> {
        let newer_events = self.head.checked_sub(position)? as usize;
        let skip = self.tail.len().checked_sub(newer_events)?;
        Some(self.tail.iter().skip(skip))
    }
}

#[cfg(test)]
#[path = "change_log_tests.rs"]
mod tests;
