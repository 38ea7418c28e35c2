//! Lists of a later era of the store: what they replace, and what stays in force beside them.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use slipturn_core::{ids, list_recovery, store_revision, units, upstream_notice};

use crate::{adapter, fleet_state, packed_bytes, peer_message, raw_state};

/// What an instance tells another of its recovery.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// How long ago the era became known, milliseconds.
    pub age_ms: u64,
    /// Upstreams in use that the copy lacks, with their documents.
    pub kept: Vec<(String, String)>,
    /// Starts that the copy lists and that are not in use.
    pub withheld: Vec<ids::UpstreamId>,
    /// Evacuated data centres that the copy does not list.
    pub evacuated: Vec<ids::DataCenterId>,
    /// Upstreams that leave and that the copy does not list as leaving.
    pub leaving: Vec<peer_message::LeavingReport>,
}

/// Age told of a recovery that has ended.
const ENDED_AGE: time::Duration = time::Duration::from_secs(3_600);

impl RecoveryReport {
    /// Of a list that no recovery belongs to any more.
    pub(crate) fn ended() -> Self {
        Self { age_ms: units::whole_millis(ENDED_AGE), ..Self::default() }
    }
}

impl fleet_state::FleetState {
    /// Whether a revision belongs to a later era than the list in force.
    pub(crate) fn is_later_era(&self, revision: store_revision::StoreRevision) -> bool {
        self.is_listed() && self.list.revision().era < revision.era
    }

    /// The recovery in progress, for another member.
    pub(crate) fn recovery_report(&self, now: units::MonoTime) -> Option<RecoveryReport> {
        let state = self.list.recovery()?;
        let document = |identifier: &std::sync::Arc<str>| {
            let text = self.raw.kept.get(&**identifier)?;
            Some((identifier.to_string(), text.clone()))
        };
        Some(RecoveryReport {
            age_ms: fleet_state::rounded_age(now.since(state.since)),
            kept: state.kept.iter().filter_map(document).collect(),
            withheld: state.withheld,
            evacuated: state.evacuated,
            leaving: self.leaving_reports(now),
        })
    }

    /// Upstreams that leave and that the list does not name as leaving, for another member.
    pub(crate) fn leaving_reports(&self, now: units::MonoTime) -> Vec<peer_message::LeavingReport> {
        let report = |(upstream, notice): (&ids::UpstreamId, upstream_notice::LeavingNotice)| {
            let age_ms = units::whole_millis(now.since(notice.since));
            peer_message::LeavingReport { upstream: upstream.clone(), age_ms }
        };
        self.list.relisted_leaving().map(report).collect()
    }

    /// All upstreams after the documents of another member, which lead into a later era.
    pub(crate) fn upstreams_of_era(
        &self,
        documents: &mut adapter::RawDocuments,
    ) -> Result<collections::BTreeMap<String, String>, packed_bytes::PackError> {
        if let Some(upstreams) = documents.upstreams.take() {
            return Ok(upstreams);
        }
        let upstreams = self.raw.changed_upstreams(std::mem::take(&mut documents.changes));
        let found = raw_state::digest(&upstreams);
        match documents.digest {
            Some(expected) if expected != found => {
                packed_bytes::DigestSnafu { expected, found }.fail()
            }
            _ => Ok(upstreams),
        }
    }

    /// Takes over what another member keeps in force of the era before.
    pub(crate) fn adopt_recovery(&mut self, now: units::MonoTime, report: RecoveryReport) {
        let identifiers = report.kept.iter().map(|(name, _)| name.as_str().into());
        let state = list_recovery::RecoveryState {
            since: now.earlier_by(time::Duration::from_millis(report.age_ms)),
            kept: identifiers.collect(),
            withheld: report.withheld,
            evacuated: report.evacuated,
        };
        self.list.adopt_recovery(now, state);
        self.raw.kept = report.kept.into_iter().collect();
    }

    /// Remembers the documents of upstreams that stay in use although the copy lacks them.
    pub(crate) fn keep_documents(&mut self, before: &collections::BTreeMap<String, String>) {
        let kept = self.list.recovery().map(|state| state.kept).unwrap_or_default();
        let document = |name: &std::sync::Arc<str>| {
            let text = before.get(&**name).or_else(|| self.raw.kept.get(&**name))?;
            Some((name.to_string(), text.clone()))
        };
        self.raw.kept = kept.iter().filter_map(document).collect();
    }

    /// Ends what is due: doubts of upstreams that vanished, and the recovery.
    pub fn tick(&mut self, now: units::MonoTime) {
        let recovering = self.list.is_recovering();
        let evacuated: Vec<_> = self.list.evacuated().filter(|_| recovering).cloned().collect();
        if self.list.tick(now) {
            log::info!("list.doubtful_gone");
        }
        if !recovering || self.list.is_recovering() {
            return;
        }
        self.raw.kept.clear();
        log::info!(revision:% = self.list.revision(); "list.recovered");
        let in_force: collections::BTreeSet<_> = self.list.evacuated().collect();
        for data_center in evacuated.iter().filter(|name| !in_force.contains(name)) {
            log::info!(data_center:%, source = "recovery"; "data_center.restored");
        }
    }

    /// Logs that the list of a later era is in force.
    pub(crate) fn log_recovery(&self, before: store_revision::StoreRevision, source: &str) {
        let state = self.list.recovery().unwrap_or_default();
        log::warn!(
            source, before:%, revision:% = self.list.revision(), kept = state.kept.len(),
            withheld = state.withheld.len(), evacuated = state.evacuated.len(),
            leaving = self.list.relisted_leaving().count(); "list.era_changed"
        );
    }
}
