//! Holds the newest accepted settings and never returns to older ones.

use std::{rc, time};

use crate::{settings, units};

/// Result of offering a settings document.
#[derive(Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is newer and now in force.
    Accepted,
    /// The document is the one in force, which confirms that no newer one was available.
    Same,
    /// The document is older than the one in force and was dropped.
    Older,
    /// The document is invalid and was dropped as a whole; contains the error.
    Invalid(String),
}

/// The newest settings that a process has accepted.
#[derive(Debug, Default)]
pub struct LiveSettings {
    /// The settings in force. Invariant: their version never decreases during the life of the process.
    current: Option<SettingsDocument>,
    /// When a source last confirmed or replaced `current`.
    confirmed: units::MonoTime,
    /// Error of the last invalid document, for operators; `None` once a newer document was accepted.
    rejected: Option<String>,
}

/// An accepted document: parsed, and as text for other members.
#[derive(Debug, Clone)]
struct SettingsDocument {
    tree: rc::Rc<settings::SettingsTree>,
    text: rc::Rc<str>,
}

impl LiveSettings {
    /// Parses a document in its published form, and puts it in force if it is valid and newer.
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
            // Two documents with one version are an error of the operators: the one in force stays until a
            // higher version is published.
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

    /// The settings in force; `None` before the first document.
    pub fn tree(&self) -> Option<rc::Rc<settings::SettingsTree>> {
        self.current.as_ref().map(|held| rc::Rc::clone(&held.tree))
    }

    /// The document in force in its published form, to pass on to other members.
    pub fn text(&self) -> Option<rc::Rc<str>> {
        self.current.as_ref().map(|held| rc::Rc::clone(&held.text))
    }

    /// Error of the last invalid document, if none was accepted since.
    pub fn rejected(&self) -> Option<&str> {
        self.rejected.as_deref()
    }

    /// Time since a source last confirmed the settings in force.
    pub fn age(&self, now: units::MonoTime) -> time::Duration {
        now.since(self.confirmed)
    }

    /// Records that a source has nothing newer than the settings in force. `age` is the time since the
    /// source itself last confirmed its settings as the newest.
    pub fn confirm(&mut self, now: units::MonoTime, age: time::Duration) {
        self.confirmed = self.confirmed.max(now.earlier_by(age));
    }

    fn reject(&mut self, error: String) -> OfferOutcome {
        self.rejected = Some(error.clone());
        OfferOutcome::Invalid(error)
    }
}
