//! A journal in memory: events are appended, views are folded from it.

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
mod tests {
    use super::*;

    #[derive(Default)]
    struct Sum(i64);
    impl Fold for Sum {
        type Event = i64;
        fn fold(&mut self, e: &i64) {
            self.0 += e;
        }
    }

    #[test]
    fn view_is_the_fold_and_the_tail_is_bounded() {
        let mut j = Journal::new(Sum::default(), 2);
        for i in 1..=4 {
            j.append(i);
        }
        assert_eq!(j.view().0, 10);
        assert_eq!(j.since(2).unwrap().copied().collect::<Vec<_>>(), vec![3, 4]);
        assert!(j.since(1).is_none());
        assert!(j.since(5).is_none());
        assert_eq!(j.head(), 4);
    }
}
