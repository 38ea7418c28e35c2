//! The documents a scheduler holds, and those that wait for newer ones.

use std::rc;

use futures::channel::oneshot;
use slipturn_core::{fleet_list, live_settings, settings, units};
use slipturn_net::scheduler_link;

use crate::event;

/// Somebody waiting for newer documents.
struct DocumentWaiter {
    known: scheduler_link::KnownDocuments,
    deadline: units::MonoTime,
    answer: oneshot::Sender<event::DocumentAnswer>,
}

/// What an update brought.
#[derive(Debug, Default)]
pub struct AcceptedDocuments {
    /// Settings that came into force.
    pub settings: Option<rc::Rc<settings::SettingsTree>>,
    /// Whether a list came into force.
    pub list: bool,
}

/// Settings and list, and their watchers.
#[derive(Default)]
pub struct DocumentStore {
    settings: live_settings::LiveSettings,
    /// Invariant: its revision never falls while the process lives.
    list: fleet_list::FleetList,
    list_text: rc::Rc<str>,
    watchers: Vec<DocumentWaiter>,
}

impl DocumentStore {
    /// Numbers of the documents held, to ask only for newer ones.
    pub fn known(&self) -> scheduler_link::KnownDocuments {
        scheduler_link::KnownDocuments {
            settings: self.settings.version().0,
            list: self.list.revision,
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &live_settings::LiveSettings {
        &self.settings
    }

    /// The list in force.
    pub fn list(&self) -> &fleet_list::FleetList {
        &self.list
    }

    /// Processes that wait for newer documents.
    pub fn watcher_count(&self) -> usize {
        self.watchers.len()
    }

    /// Takes in an update; one without settings confirms those held.
    pub fn apply(
        &mut self,
        now: units::MonoTime,
        update: &scheduler_link::DocumentUpdate,
    ) -> AcceptedDocuments {
        let mut accepted = AcceptedDocuments::default();
        match &update.settings {
            Some(text) => accepted.settings = self.apply_settings(now, text),
            None => self.settings.confirm(now, update.age),
        }
        if let Some(text) = &update.list {
            accepted.list = self.apply_list(text);
        }
        self.answer_watchers(now);
        accepted
    }

    /// Has somebody wait for documents newer than those known, until the time given.
    pub fn watch(
        &mut self,
        now: units::MonoTime,
        known: scheduler_link::KnownDocuments,
        deadline: units::MonoTime,
        answer: oneshot::Sender<event::DocumentAnswer>,
    ) {
        self.watchers.push(DocumentWaiter { known, deadline, answer });
        self.answer_watchers(now);
    }

    /// Answers those for whom there is something newer, or whose time is over.
    pub fn answer_watchers(&mut self, now: units::MonoTime) {
        let known = self.known();
        let due = |waiter: &DocumentWaiter| {
            let newer = known.settings > waiter.known.settings || known.list > waiter.known.list;
            newer || waiter.deadline <= now
        };
        let waiters = std::mem::take(&mut self.watchers);
        let (ready, remaining): (Vec<_>, Vec<_>) =
            waiters.into_iter().filter(|waiter| !waiter.answer.is_canceled()).partition(due);
        self.watchers = remaining;
        for waiter in ready {
            let answer = self.newer_than(now, waiter.known);
            // A watcher that has gone needs no answer.
            let _ = waiter.answer.send(answer);
        }
    }

    fn apply_settings(
        &mut self,
        now: units::MonoTime,
        text: &str,
    ) -> Option<rc::Rc<settings::SettingsTree>> {
        match self.settings.offer(now, text) {
            live_settings::OfferOutcome::Accepted => {
                log::info!("settings version {} is in force", self.settings.version());
                return self.settings.tree();
            }
            live_settings::OfferOutcome::Invalid(error) => log::error!("settings refused: {error}"),
            live_settings::OfferOutcome::Older => log::warn!("older settings were dropped"),
            live_settings::OfferOutcome::Same => {}
        }
        None
    }

    fn apply_list(&mut self, text: &str) -> bool {
        match fleet_list::FleetList::parse(text) {
            Ok(list) if list.revision >= self.list.revision => {
                self.list = list;
                self.list_text = text.into();
                true
            }
            Ok(_) => false,
            Err(error) => {
                log::error!("list refused: {error}");
                false
            }
        }
    }

    fn newer_than(
        &self,
        now: units::MonoTime,
        known: scheduler_link::KnownDocuments,
    ) -> event::DocumentAnswer {
        let held = self.known();
        let settings = self.settings.text().filter(|_| held.settings > known.settings);
        let list = (held.list > known.list).then(|| rc::Rc::clone(&self.list_text));
        event::DocumentAnswer {
            settings: settings.map(|text| (held.settings, text)),
            list: list.map(|text| (held.list, text)),
            age: self.settings.age(now),
        }
    }
}
