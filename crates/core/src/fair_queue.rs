//! Weighted fair queueing by tokens: fair between customers, shortest first within a customer.
//!
//! The next item is the one with the smallest finish tag, which is the customer's usage so far plus the item's cost,
//! both divided by the customer's weight. So the items of a customer that floods the queue come after all others, and
//! a short item of an idle customer comes first. An item that has waited past its `overdue` time goes before all
//! others, so that long items still finish in time.

use std::collections;

use crate::{ids, units};

/// A queued item with the properties that determine its order.
#[derive(Debug, Clone)]
pub struct QueueItem<T> {
    /// Customer that the item belongs to.
    pub customer: ids::CustomerId,
    /// Weight of the customer; above zero.
    pub weight: f64,
    /// Cost of serving the item, by which its customer's usage increases.
    pub cost: units::TokenCount,
    /// Time from which the item goes before items that are not overdue.
    pub overdue: units::MonoTime,
    /// The queued value, returned with the item when it is removed.
    pub payload: T,
}

/// A queue of items of several customers, ordered by overdue time and by finish tag.
#[derive(Debug)]
pub struct FairQueue<T> {
    items: Vec<QueueItem<T>>,
    /// Usage of each customer, in tokens divided by weight.
    ///
    /// Invariants: contains all customers with queued items. With a customer's first queued item, its usage is raised
    /// to `virtual_time` if it is lower, so that idle time earns no credit. While items are queued, only service
    /// increases the usage.
    used: collections::HashMap<ids::CustomerId, f64>,
    /// Virtual time: the smallest usage among waiting customers. Never decreases.
    virtual_time: f64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { items: Vec::new(), used: collections::HashMap::new(), virtual_time: 0.0 }
    }
}

impl<T> FairQueue<T> {
    /// Adds an item. The usage of a customer that had no queued items is raised to the virtual time if it is lower.
    pub fn push(&mut self, item: QueueItem<T>) {
        let is_waiting = self.items.iter().any(|other| other.customer == item.customer);
        if !is_waiting {
            let start = self.start_tag(&item.customer);
            self.used.insert(item.customer.clone(), start);
        }
        self.items.push(item);
    }

    /// Number of queued items of all customers, overdue or not.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over the queued items in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &QueueItem<T>> {
        self.items.iter()
    }

    /// Removes and returns the first item in the order of service for which `fits` is true.
    ///
    /// The second argument of `fits` is whether the item is overdue. Items that are not overdue and for which
    /// `yields` is true come after all others.
    pub fn pop_where(
        &mut self,
        now: units::MonoTime,
        yields: impl Fn(&T) -> bool,
        mut fits: impl FnMut(&QueueItem<T>, bool) -> bool,
    ) -> Option<QueueItem<T>> {
        let first = self.order(now, yields).into_iter().find(|index| {
            let item = &self.items[*index];
            fits(item, item.overdue <= now)
        });
        first.map(|index| self.take(index))
    }

    /// Removes and returns all items for which `matches` is true.
    pub fn remove_where(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<QueueItem<T>> {
        let (removed, remaining) = self.items.drain(..).partition(|item| matches(&item.payload));
        self.items = remaining;
        self.advance_virtual_time();
        removed
    }

    /// Total cost of the items that would be served before a new item of `customer` with `cost`.
    pub fn cost_ahead(
        &self,
        now: units::MonoTime,
        customer: &ids::CustomerId,
        weight: f64,
        cost: units::TokenCount,
    ) -> units::TokenCount {
        let finish_tag = self.start_tag(customer) + cost.0 as f64 / weight;
        let ahead =
            |item: &&QueueItem<T>| item.overdue <= now || self.finish_tag(item) <= finish_tag;
        self.items.iter().filter(ahead).map(|item| item.cost).sum()
    }

    fn order(&self, now: units::MonoTime, yields: impl Fn(&T) -> bool) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        let key = |index: &usize| {
            let item = &self.items[*index];
            let waiting = item.overdue > now;
            let urgency = if waiting { units::MonoTime(u64::MAX) } else { item.overdue };
            let yields = waiting && yields(&item.payload);
            ((waiting, urgency, yields), self.finish_tag(item))
        };
        order.sort_by(|left, right| {
            let (left, right) = (key(left), key(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        });
        order
    }

    fn take(&mut self, index: usize) -> QueueItem<T> {
        let item = self.items.remove(index);
        let used = self.used.entry(item.customer.clone()).or_insert(self.virtual_time);
        *used += item.cost.0 as f64 / item.weight;
        self.advance_virtual_time();
        item
    }

    fn advance_virtual_time(&mut self) {
        let waiting: collections::HashSet<_> =
            self.items.iter().map(|item| &item.customer).collect();
        let least = waiting.iter().filter_map(|customer| self.used.get(*customer)).copied();
        let least = least.min_by(f64::total_cmp);
        // If the queue is empty, the virtual time rises to the highest usage, so that all customers start equal.
        let least = least.or_else(|| self.used.values().copied().max_by(f64::total_cmp));
        self.virtual_time = self.virtual_time.max(least.unwrap_or(self.virtual_time));
        // An idle customer behind the virtual time is treated like a new one, so its usage can be dropped.
        let virtual_time = self.virtual_time;
        self.used.retain(|customer, used| *used > virtual_time || waiting.contains(customer));
    }

    /// Start tag of a customer's next item: its usage if it has queued items, otherwise at least the virtual time.
    fn start_tag(&self, customer: &ids::CustomerId) -> f64 {
        let used = self.used.get(customer).copied();
        let is_waiting = self.items.iter().any(|item| item.customer == *customer);
        match used {
            Some(used) if is_waiting => used,
            used => used.unwrap_or(self.virtual_time).max(self.virtual_time),
        }
    }

    fn finish_tag(&self, item: &QueueItem<T>) -> f64 {
        let used = self.used.get(&item.customer).copied().unwrap_or(self.virtual_time);
        used + item.cost.0 as f64 / item.weight
    }
}
