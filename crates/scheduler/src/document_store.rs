//! The documents that a scheduler holds, and the watchers that wait for newer ones.

use std::rc;

use futures::channel::oneshot;
use slipturn_core::{fleet_list, live_settings, settings, units};
use slipturn_net::scheduler_link;

use crate::event;

/// An entry or another scheduler that waits for newer documents.
struct DocumentWatcher {
    known: scheduler_link::KnownDocuments,
    deadline: units::MonoTime,
    answer: oneshot::Sender<event::DocumentAnswer>,
}

/// Documents of an update that came into force.
#[derive(Debug, Default)]
pub struct AcceptedDocuments {
    /// The new settings; `None` if the update contained none, or they were not accepted.
    pub settings: Option<rc::Rc<settings::SettingsTree>>,
    /// Whether the update contained a list that is now in force.
    pub list: bool,
}

/// The settings and the list in force, with their watchers.
#[derive(Default)]
pub struct DocumentStore {
    settings: live_settings::LiveSettings,
    /// The list in force. Invariant: its revision never decreases during the life of the process.
    list: fleet_list::FleetList,
    /// The published text of the list, which is forwarded to watchers.
    list_text: rc::Rc<str>,
    watchers: Vec<DocumentWatcher>,
}

impl DocumentStore {
    /// Version of the settings and revision of the list in force. Sources return only newer
    /// documents.
    pub fn known_versions(&self) -> scheduler_link::KnownDocuments {
        scheduler_link::KnownDocuments {
            settings: self.settings.version().0,
            list: self.list.revision,
        }
    }

    /// The settings in force, with their age and the error of the last rejected ones.
    pub fn settings(&self) -> &live_settings::LiveSettings {
        &self.settings
    }

    /// The list of instances, engines and upstreams in force; empty before the first one is
    /// applied.
    pub fn list(&self) -> &fleet_list::FleetList {
        &self.list
    }

    /// Number of watches that wait for newer documents.
    pub fn watcher_count(&self) -> usize {
        self.watchers.len()
    }

    /// Applies an update from a source and returns the documents that came into force. An update
    /// without settings confirms that those in force are current.
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

    /// Registers a watcher that waits for documents newer than `known`, at most until `deadline`.
    pub fn watch(
        &mut self,
        now: units::MonoTime,
        known: scheduler_link::KnownDocuments,
        deadline: units::MonoTime,
        answer: oneshot::Sender<event::DocumentAnswer>,
    ) {
        self.watchers.push(DocumentWatcher { known, deadline, answer });
        self.answer_watchers(now);
    }

    /// Answers the watchers for which there is a newer document or whose deadline has passed, and
    /// removes the watchers that have disconnected.
    pub fn answer_watchers(&mut self, now: units::MonoTime) {
        let known = self.known_versions();
        let due = |watcher: &DocumentWatcher| {
            let newer = known.settings > watcher.known.settings || known.list > watcher.known.list;
            newer || watcher.deadline <= now
        };
        let watchers = std::mem::take(&mut self.watchers);
        let (ready, remaining): (Vec<_>, Vec<_>) =
            watchers.into_iter().filter(|watcher| !watcher.answer.is_canceled()).partition(due);
        self.watchers = remaining;
        for watcher in ready {
            let answer = self.newer_than(now, watcher.known);
            // A failed send means that the watcher has disconnected and needs no answer.
            let _ = watcher.answer.send(answer);
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
            live_settings::OfferOutcome::Invalid(error) => log::error!("invalid settings: {error}"),
            live_settings::OfferOutcome::Older => log::warn!("ignored older settings"),
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
                log::error!("invalid list: {error}");
                false
            }
        }
    }

    fn newer_than(
        &self,
        now: units::MonoTime,
        known: scheduler_link::KnownDocuments,
    ) -> event::DocumentAnswer {
        let held = self.known_versions();
        let settings = self.settings.text().filter(|_| held.settings > known.settings);
        let list = (held.list > known.list).then(|| rc::Rc::clone(&self.list_text));
        event::DocumentAnswer {
            settings: settings.map(|text| (held.settings, text)),
            list: list.map(|text| (held.list, text)),
            age: self.settings.age(now),
        }
    }
}
