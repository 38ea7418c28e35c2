//! Holds the newest accepted settings and never goes back to an older one.

use std::{rc, time};

use crate::{settings, units};

/// What became of an offered document.
#[derive(Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer and in force now.
    Accepted,
    /// It is the one in force; that alone proves the store is fresh.
    Same,
    /// It is older than the one in force and was dropped.
    Older,
    /// It is not valid and was dropped whole.
    Invalid(String),
}

/// The newest settings a process knows of.
#[derive(Debug, Default)]
pub struct LiveSettings {
    /// Invariant: the version of this tree never falls while the process lives.
    current: Option<SettingsDocument>,
    /// When a source last confirmed or replaced `current`.
    confirmed: units::MonoTime,
    /// The last invalid document's version and fault, kept for operators.
    rejected: Option<String>,
}

#[derive(Debug, Clone)]
struct SettingsDocument {
    tree: rc::Rc<settings::SettingsTree>,
    text: rc::Rc<str>,
}

impl LiveSettings {
    /// Offers a document in its published form.
    pub fn offer(&mut self, now: units::MonoTime, text: &str) -> OfferOutcome {
        if let Some(held) = self.current.as_ref().filter(|held| &*held.text == text) {
            debug_assert!(held.tree.version == self.version());
            self.confirmed = now;
            return OfferOutcome::Same;
        }
        let tree = match settings::SettingsTree::parse(text) {
            Ok(tree) => tree,
            Err(error) => return self.reject(error.to_string()),
        };
        if self.current.is_some() && tree.version < self.version() {
            return OfferOutcome::Older;
        }
        if self.current.is_some() && tree.version == self.version() {
            // Two texts under one version are the operators' mistake: the one in force stays until
            // a higher version comes.
            return self.reject(format!("version {} was published twice", tree.version));
        }
        self.confirmed = now;
        self.rejected = None;
        self.current = Some(SettingsDocument { tree: rc::Rc::new(tree), text: text.into() });
        OfferOutcome::Accepted
    }

    /// The version in force; zero before the first document.
    pub fn version(&self) -> settings::SettingsVersion {
        self.current.as_ref().map_or(settings::SettingsVersion(0), |held| held.tree.version)
    }

    /// The tree in force.
    pub fn tree(&self) -> Option<rc::Rc<settings::SettingsTree>> {
        self.current.as_ref().map(|held| rc::Rc::clone(&held.tree))
    }

    /// The document in force in its published form, to hand on to peers.
    pub fn text(&self) -> Option<rc::Rc<str>> {
        self.current.as_ref().map(|held| rc::Rc::clone(&held.text))
    }

    /// The fault of the last document that was not accepted, if none was accepted since.
    pub fn rejected(&self) -> Option<&str> {
        self.rejected.as_deref()
    }

    /// How long ago a source last confirmed what is in force.
    pub fn age(&self, now: units::MonoTime) -> time::Duration {
        now.since(self.confirmed)
    }

    /// Notes that a source, itself confirmed `age` ago, has nothing newer than what is in force.
    pub fn confirm(&mut self, now: units::MonoTime, age: time::Duration) {
        self.confirmed = self.confirmed.max(now.earlier_by(age));
    }

    fn reject(&mut self, fault: String) -> OfferOutcome {
        self.rejected = Some(fault.clone());
        OfferOutcome::Invalid(fault)
    }
}
