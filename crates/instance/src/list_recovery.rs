//! Recovery of the list after the store was restored from an older copy, which begins a new era.
//!
//! The first list of an era lacks the last changes of the era before. Until their writers have repeated them,
//! upstreams and evacuations that the copy lacks stay in force, and starts (lives of an upstream's process) that had
//! been removed stay out of use.

use std::{collections, time};

use serde::{Deserialize, Serialize};
use slipturn_core::{ids, list_recovery, store_revision, units, upstream_notice};

use crate::{adapter, compressed_bytes, fleet_state, peer_message, raw_state};

/// State of a list's recovery from the restore of the store, as one instance reports it to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// Time in milliseconds since it became known that the store was restored from an older copy.
    pub age_ms: u64,
    /// Names and documents of upstreams that stay in use although the store's older copy lacks them.
    pub kept: Vec<(String, String)>,
    /// Starts (lives of the process) of upstreams that the store's older copy lists but that are not used, as they had
    /// been removed before.
    pub withheld: Vec<ids::UpstreamId>,
    /// Evacuated data centres that the store's older copy does not list.
    pub evacuated: Vec<ids::DataCenterId>,
    /// Leaving upstreams that the store's older copy does not list as leaving.
    pub leaving: Vec<peer_message::LeavingReport>,
}

/// Age reported for a recovery that has ended; longer than any recovery lasts, so that the receiver ends its own.
const ENDED_RECOVERY_AGE: time::Duration = time::Duration::from_secs(3_600);

impl RecoveryReport {
    /// Report for a list whose recovery has ended.
    pub(crate) fn ended() -> Self {
        Self { age_ms: units::whole_millis(ENDED_RECOVERY_AGE), ..Self::default() }
    }
}

impl fleet_state::FleetState {
    /// Whether `revision` belongs to a later era than the list in force: the store was restored from an older copy
    /// since.
    pub(crate) fn is_later_era(&self, revision: store_revision::StoreRevision) -> bool {
        self.has_list() && self.list.revision().era < revision.era
    }

    /// Report of the recovery in progress, for another member; `None` if there is none, or if its first list has not
    /// been read yet.
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

    /// Reports of leaving upstreams that the list does not show as leaving, for another member.
    pub(crate) fn leaving_reports(&self, now: units::MonoTime) -> Vec<peer_message::LeavingReport> {
        let report = |(upstream, notice): (&ids::UpstreamId, upstream_notice::LeavingNotice)| {
            let age_ms = units::whole_millis(now.since(notice.since));
            peer_message::LeavingReport { upstream: upstream.clone(), age_ms }
        };
        self.list.relisted_leaving().map(report).collect()
    }

    /// All upstreams that result from the documents of another member, which already has the list of a later era, begun
    /// when the store was restored from an older copy.
    ///
    /// Fails if applying the member's changes does not result in its list.
    pub(crate) fn upstreams_after(
        &self,
        documents: &mut adapter::RawDocuments,
    ) -> Result<collections::BTreeMap<String, String>, compressed_bytes::CompressionError> {
        if let Some(upstreams) = documents.upstreams.take() {
            return Ok(upstreams);
        }
        let upstreams = self.raw.changed_upstreams(std::mem::take(&mut documents.changes));
        let found = raw_state::digest(&upstreams);
        match documents.digest {
            Some(expected) if expected != found => {
                compressed_bytes::DigestSnafu { expected, found }.fail()
            }
            _ => Ok(upstreams),
        }
    }

    /// Adopts the state that another member keeps in force from before the store was restored from an older copy.
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

    /// Stores the documents of upstreams that stay in use although the store's older copy lacks them.
    pub(crate) fn keep_documents(&mut self, before: &collections::BTreeMap<String, String>) {
        let kept = self.list.recovery().map(|state| state.kept).unwrap_or_default();
        let document = |name: &std::sync::Arc<str>| {
            let text = before.get(&**name).or_else(|| self.raw.kept.get(&**name))?;
            Some((name.to_string(), text.clone()))
        };
        self.raw.kept = kept.iter().filter_map(document).collect();
    }

    /// Applies the changes of the list that are due, such as the removal of upstreams that stayed missing, and logs the
    /// end of the recovery.
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

    /// Logs that the list of a later era has been put into force.
    pub(crate) fn log_era_change(&self, before: store_revision::StoreRevision, source: &str) {
        let state = self.list.recovery().unwrap_or_default();
        log::warn!(
            source, before:%, revision:% = self.list.revision(), kept = state.kept.len(),
            withheld = state.withheld.len(), evacuated = state.evacuated.len(),
            leaving = self.list.relisted_leaving().count(); "list.era_changed"
        );
    }
}
