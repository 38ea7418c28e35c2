//! Which members watch the platform's store for changes; the others receive documents from members.

use std::time;

use crate::{member_heartbeat, membership, rendezvous, units};

/// Number of members that watch the store in a large data centre; one of them is redundant.
const WATCHERS: usize = 2;
/// Number of other live members in a data centre below which each of its members watches the store.
const SMALL_DATA_CENTER: usize = 4;
/// Delay until a member replaces a missing watcher, for each member that comes before it in the order of replacement.
const TAKE_OVER_STEP: time::Duration = time::Duration::from_millis(120);
/// Longest delay until a member replaces a missing watcher, whatever its place in the order.
const TAKE_OVER_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// Like [`TAKE_OVER_STEP`], for a member whose last attempt to watch the store failed. While the store is down for all,
/// the first in order keep trying and the others back off, so that the calls do not grow with the fleet.
const FAILED_STEP: time::Duration = time::Duration::from_millis(400);
/// Longest delay until a member whose last attempt failed replaces a missing watcher.
const FAILED_LIMIT: time::Duration = time::Duration::from_secs(10);

impl membership::MemberView {
    /// Whether this member should watch the store, given for how long watchers have been missing and whether its last
    /// attempt failed.
    ///
    /// In a small data centre all members watch. In a large one [`WATCHERS`] do, and missing ones are replaced in the order
    /// of a hash of the names.
    pub fn should_watch(
        &self,
        now: units::MonoTime,
        own: &member_heartbeat::MemberHeartbeat,
        missing_for: time::Duration,
        failed: bool,
    ) -> bool {
        let near: Vec<_> = self
            .alive(now)
            .filter(|heartbeat| heartbeat.data_center == own.data_center && !heartbeat.leaving)
            .collect();
        if near.len() < SMALL_DATA_CENTER {
            return true;
        }
        let order = |heartbeat: &member_heartbeat::MemberHeartbeat| {
            rendezvous::stable_hash(&["watch", heartbeat.name.as_str()])
        };
        let own_order = order(own);
        let before = |wanted: bool| {
            near.iter()
                .filter(|heartbeat| heartbeat.watches == wanted && order(heartbeat) < own_order)
                .count()
        };
        let watching = near.iter().filter(|heartbeat| heartbeat.watches).count();
        if own.watches {
            return before(true) < WATCHERS;
        }
        let (step, limit) =
            if failed { (FAILED_STEP, FAILED_LIMIT) } else { (TAKE_OVER_STEP, TAKE_OVER_LIMIT) };
        let delay = step * u32::try_from(before(false)).unwrap_or(u32::MAX);
        watching < WATCHERS && missing_for >= delay.min(limit)
    }

    /// Whether this member's data centre has too few watchers.
    pub fn watchers_missing(
        &self,
        now: units::MonoTime,
        own: &member_heartbeat::MemberHeartbeat,
    ) -> bool {
        let near = self.alive(now).filter(|heartbeat| heartbeat.data_center == own.data_center);
        near.filter(|heartbeat| heartbeat.watches).count() < WATCHERS
    }
}
