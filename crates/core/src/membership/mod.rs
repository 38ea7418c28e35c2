//! Membership: the other instances, as their heartbeats describe them.
//!
//! Each member sends heartbeats to all others. A silent member is suspected, and removed later; a restarted one has another
//! boot number. Views may differ for a while, and no guarantee depends on their agreement.

mod contact;
mod watchers;

use std::{collections, net, time};

use crate::{ids, member_heartbeat, planner_key, rendezvous, store_revision, store_tracker, units};

/// Interval between heartbeats in a small fleet.
const SMALL_FLEET_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Members up to which [`SMALL_FLEET_INTERVAL`] holds. Beyond, the interval grows with the fleet, so that the number of
/// heartbeats that a member sends per second stays constant.
const SMALL_FLEET_SIZE: u32 = 12;
/// Missed heartbeats until a member is suspected.
const SUSPECT_HEARTBEATS: u32 = 4;
/// Missed heartbeats until a member is removed.
const REMOVE_HEARTBEATS: u32 = 40;
/// Number of addresses of other members in a full heartbeat.
const NAMED_MEMBERS: usize = 4;
/// Most addresses in one datagram of a reply to a member that knows few other members; 7 bytes each, to keep the
/// datagram unfragmented.
const NEWCOMER_ADDRESSES: usize = 160;
/// Most addresses kept of members from which no heartbeat has arrived yet: twice the largest planned fleet, some 40
/// bytes each.
const MAX_LEARNED_ADDRESSES: usize = 2_400;
/// Most members, twice the largest planned fleet; an unknown one beyond takes the place of a silent one, if there is any.
const MAX_MEMBERS: usize = 2_400;
/// Unanswered calls in a row after which a member cannot be a planner until it shows a sign of life.
const MAX_UNANSWERED: u32 = 2;
/// Minimum age of a planner, a process that assigns requests of other members to engines: a younger one does not know
/// the load of the engines yet.
const PLANNER_AGE: time::Duration = time::Duration::from_millis(1_200);

/// Time without a new member after which a starting process assumes that it knows all members.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(80);
/// Age at which a process that has received no heartbeat from another member assumes that it is alone.
const LONE_TIME: time::Duration = time::Duration::from_millis(350);

/// State of another member, as this process knows it.
#[derive(Debug)]
struct MemberState {
    /// The last full heartbeat, with later short ones merged in. It names no other members.
    heartbeat: member_heartbeat::MemberHeartbeat,
    /// Hash of the name: the member's position on the failure detector's ring. It also decides which of equally suitable
    /// members is the planner of a cell (a group of a service's engines).
    hash: u64,
    /// Time of the last sign of life.
    last_alive: units::MonoTime,
    /// Unanswered calls since the last sign of life.
    unanswered: u32,
    /// When `unanswered` last rose by a call with a time-out.
    timed_out_at: units::MonoTime,
    /// Whether the failure detector suspects the member; reset by any sign of life.
    suspected: bool,
}

impl MemberState {
    /// Whether there was a sign of life within `limit` and no suspicion since.
    fn is_live(&self, now: units::MonoTime, limit: time::Duration) -> bool {
        !self.suspected && now.since(self.last_alive) <= limit
    }
}

/// This process's view of the other members.
#[derive(Debug)]
pub struct MemberView {
    own: ids::InstanceId,
    /// At most [`MAX_MEMBERS`].
    members: collections::BTreeMap<ids::InstanceId, MemberState>,
    /// Index of `members` by boot number.
    by_boot: collections::HashMap<u64, ids::InstanceId>,
    /// Index of `members` by address.
    by_address: collections::HashMap<net::SocketAddrV4, ids::InstanceId>,
    /// Addresses of members from which no heartbeat has arrived yet, and when another member named each address.
    learned_addresses: collections::BTreeMap<net::SocketAddrV4, units::MonoTime>,
    /// Of `learned_addresses`, those that have not been contacted.
    uncontacted: Vec<net::SocketAddrV4>,
    /// Addresses from the settings, to which heartbeats are sent whether or not a member has answered there.
    seeds: Vec<net::SocketAddrV4>,
    /// Largest number of live members since the start of this process, including this one.
    max_size: usize,
    /// When a heartbeat of a previously unknown member last arrived; `None` before the first.
    last_joined: Option<units::MonoTime>,
}

impl MemberView {
    /// A view without members, which knows only the addresses in `seeds`.
    pub fn new(own: ids::InstanceId, seeds: Vec<net::SocketAddrV4>) -> Self {
        Self {
            own,
            members: collections::BTreeMap::new(),
            by_boot: collections::HashMap::new(),
            by_address: collections::HashMap::new(),
            learned_addresses: collections::BTreeMap::new(),
            uncontacted: Vec::new(),
            seeds,
            max_size: 1,
            last_joined: None,
        }
    }

    /// Replaces the seeds after the settings were reloaded.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Interval between two heartbeats of this process, from the number of members that it knows.
    pub fn heartbeat_interval(&self) -> time::Duration {
        Self::heartbeat_interval_of(self.members.len() + 1)
    }

    /// Interval between heartbeats in a fleet of this many members.
    pub fn heartbeat_interval_of(members: usize) -> time::Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        SMALL_FLEET_INTERVAL * members.div_ceil(SMALL_FLEET_SIZE).max(1)
    }

    /// Targets of the next heartbeat: members, learned addresses and seeds, without the `own` address.
    pub fn targets(&self, own: net::SocketAddrV4) -> Vec<net::SocketAddrV4> {
        let known = self.members.values().map(|member| member.heartbeat.address);
        let mut targets: Vec<_> = known
            .chain(self.learned_addresses.keys().copied())
            .chain(self.seeds.iter().copied())
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != own);
        targets
    }

    /// Addresses to include in the full heartbeat with this sequence number, in rotation.
    pub fn sample_addresses(&self, sequence: u64) -> Vec<net::SocketAddrV4> {
        let addresses = self.addresses();
        let count = addresses.len();
        let start = (sequence as usize).wrapping_mul(NAMED_MEMBERS) % count.max(1);
        addresses.iter().cycle().skip(start).take(NAMED_MEMBERS.min(count)).copied().collect()
    }

    /// All known addresses, one chunk for each datagram, for the sender of a heartbeat that names fewer than
    /// `NAMED_MEMBERS` addresses; empty for other senders. So a starting member can contact all others after one
    /// exchange, however long the heartbeat interval is.
    pub fn addresses_for_newcomer(
        &self,
        heartbeat: &member_heartbeat::MemberHeartbeat,
    ) -> Vec<Vec<net::SocketAddrV4>> {
        if heartbeat.others.len() >= NAMED_MEMBERS {
            return Vec::new();
        }
        let mut addresses = self.addresses();
        addresses.retain(|address| *address != heartbeat.address);
        addresses.chunks(NEWCOMER_ADDRESSES).map(<[_]>::to_vec).collect()
    }

    /// Takes the learned addresses that have not been contacted yet.
    pub fn take_uncontacted(&mut self, own: net::SocketAddrV4) -> Vec<net::SocketAddrV4> {
        let mut uncontacted = std::mem::take(&mut self.uncontacted);
        uncontacted.retain(|address| *address != own);
        uncontacted
    }

    /// Addresses of all members, also of those from which no heartbeat has arrived yet.
    fn addresses(&self) -> Vec<net::SocketAddrV4> {
        let known = self.members.values().map(|member| member.heartbeat.address);
        known.chain(self.learned_addresses.keys().copied()).collect()
    }

    /// Applies a full heartbeat; returns whether its sender is new or restarted.
    pub fn receive(
        &mut self,
        now: units::MonoTime,
        heartbeat: member_heartbeat::MemberHeartbeat,
    ) -> bool {
        if heartbeat.name == self.own {
            return false;
        }
        self.learned_addresses.remove(&heartbeat.address);
        for address in &heartbeat.others {
            let is_known = self.knows(*address) || self.learned_addresses.contains_key(address);
            if !is_known && self.learned_addresses.len() < MAX_LEARNED_ADDRESSES {
                self.learned_addresses.insert(*address, now);
                self.uncontacted.push(*address);
            }
        }
        let known = self.members.get(&heartbeat.name);
        let stale = known.is_some_and(|known| {
            known.heartbeat.boot == heartbeat.boot && known.heartbeat.sequence >= heartbeat.sequence
        });
        if stale {
            return false;
        }
        if known.is_none() && !self.make_room(now) {
            return false;
        }
        let known = self.members.get(&heartbeat.name);
        if known.is_none() {
            self.last_joined = Some(now);
        }
        let joined = known.is_none_or(|known| known.heartbeat.boot != heartbeat.boot);
        let name = heartbeat.name.clone();
        let hash = rendezvous::stable_hash(&[name.as_str()]);
        let state = MemberState {
            heartbeat: member_heartbeat::MemberHeartbeat { others: Vec::new(), ..heartbeat },
            hash,
            last_alive: now,
            unanswered: 0,
            timed_out_at: now,
            suspected: false,
        };
        self.insert(name, state);
        if joined {
            self.max_size = self.max_size.max(self.alive(now).count() + 1);
        }
        joined
    }

    /// Makes room for another member; returns false if [`MAX_MEMBERS`] are known and all of them are live.
    fn make_room(&mut self, now: units::MonoTime) -> bool {
        if self.members.len() < MAX_MEMBERS {
            return true;
        }
        let limit = self.heartbeat_interval() * SUSPECT_HEARTBEATS;
        let silent = self.members.iter().filter(|(_, member)| !member.is_live(now, limit));
        let oldest = silent.min_by_key(|(_, member)| member.last_alive);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return false;
        };
        self.remove(&name);
        true
    }

    /// Inserts or replaces a member, with the indexes by boot number and address.
    fn insert(&mut self, name: ids::InstanceId, state: MemberState) {
        let (boot, address) = (state.heartbeat.boot, state.heartbeat.address);
        if let Some(before) = self.members.insert(name.clone(), state) {
            self.by_boot.remove(&before.heartbeat.boot);
            self.by_address.remove(&before.heartbeat.address);
        }
        self.by_boot.insert(boot, name.clone());
        self.by_address.insert(address, name);
    }

    /// Removes a member, with the indexes by boot number and address.
    fn remove(&mut self, name: &ids::InstanceId) {
        if let Some(removed) = self.members.remove(name) {
            self.by_boot.remove(&removed.heartbeat.boot);
            self.by_address.remove(&removed.heartbeat.address);
        }
    }

    /// Applies a short heartbeat; returns false if this start of its sender is not known, so that a full one must be
    /// requested.
    pub fn receive_alive(
        &mut self,
        now: units::MonoTime,
        alive: &member_heartbeat::ShortHeartbeat,
    ) -> bool {
        let name = self.by_boot.get(&alive.boot);
        let Some(member) = name.and_then(|name| self.members.get_mut(name)) else {
            return false;
        };
        if alive.sequence > member.heartbeat.sequence {
            member.heartbeat = member_heartbeat::MemberHeartbeat {
                sequence: alive.sequence,
                plans: alive.plans,
                leaving: alive.leaving,
                watches: alive.watches,
                routes: alive.routes,
                list: alive.list,
                ..member.heartbeat.clone()
            };
            member.last_alive = now;
            member.unanswered = 0;
            member.suspected = false;
        }
        true
    }

    /// Whether this is the address of a member from which a heartbeat has arrived.
    pub fn knows(&self, address: net::SocketAddrV4) -> bool {
        self.by_address.contains_key(&address)
    }

    /// Removes members that have been silent for `REMOVE_HEARTBEATS` intervals, and returns their names. Learned
    /// addresses are dropped after the same time if no heartbeat arrived from there.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<ids::InstanceId> {
        let limit = self.heartbeat_interval() * REMOVE_HEARTBEATS;
        self.learned_addresses.retain(|_, since| now.since(*since) < limit);
        let silent: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| now.since(member.last_alive) > limit)
            .map(|(name, _)| name.clone())
            .collect();
        silent.iter().for_each(|name| self.remove(name));
        silent
    }

    /// Last heartbeats of the live members: those neither suspected nor silent for more than `SUSPECT_HEARTBEATS`
    /// intervals.
    pub fn alive(
        &self,
        now: units::MonoTime,
    ) -> impl Iterator<Item = &member_heartbeat::MemberHeartbeat> {
        let limit = self.heartbeat_interval() * SUSPECT_HEARTBEATS;
        self.members
            .values()
            .filter(move |member| member.is_live(now, limit))
            .map(|member| &member.heartbeat)
    }

    /// Whether a process that started at time 0 knows the size of the fleet: members that start together learn of each
    /// other within some hundred milliseconds. Until then each process would consider its data centre a small one and
    /// watch the store.
    pub fn is_settled(&self, now: units::MonoTime) -> bool {
        match self.last_joined {
            Some(last_joined) => now.since(last_joined) >= SETTLE_TIME,
            None => now.since(units::MonoTime::default()) >= LONE_TIME,
        }
    }

    /// Estimated number of members, including this one and those that are silent for a short time. It is at least half
    /// of the largest number so far, so that a member that loses contact with all others does not use quotas as if it
    /// were alone.
    pub fn size(&self) -> usize {
        (self.members.len() + 1).max(self.max_size.div_ceil(2))
    }

    /// The planner of a cell (a group of a service's engines): the member that assigns requests to these engines.
    /// `None` means this process.
    ///
    /// Prefers members that know the load of the engines, then those with more CPU, then by hash.
    pub fn planner(
        &self,
        now: units::MonoTime,
        key: &planner_key::PlannerKey,
        own: &member_heartbeat::MemberHeartbeat,
    ) -> Option<member_heartbeat::MemberHeartbeat> {
        let limit = self.heartbeat_interval() * SUSPECT_HEARTBEATS;
        let may_plan = |member: &&MemberState| {
            let heartbeat = &member.heartbeat;
            heartbeat.routes > 0
                && !heartbeat.leaving
                && member.unanswered < MAX_UNANSWERED
                && member.is_live(now, limit)
        };
        let others =
            self.members.values().filter(may_plan).map(|member| (&member.heartbeat, member.hash));
        let this = Some((own, rendezvous::stable_hash(&[own.name.as_str()])));
        let this = this.filter(|(own, _)| own.routes > 0 && !own.leaving);
        let key = rendezvous::stable_hash(&[&key.to_string()]);
        let score = |(heartbeat, hash): &(&member_heartbeat::MemberHeartbeat, u64)| {
            (heartbeat.plans, heartbeat.cpu, rendezvous::mixed_hash(key ^ hash))
        };
        let (best, _) = others.chain(this).max_by_key(score)?;
        (best.name != own.name).then(|| best.clone())
    }

    /// Members with the newest routes beyond `version`, in this data centre or else in any. Callers should pick one at
    /// random, as many processes request documents at once.
    pub fn routes_sources(
        &self,
        now: units::MonoTime,
        version: u64,
        near: &ids::DataCenterId,
    ) -> Vec<&member_heartbeat::MemberHeartbeat> {
        self.sources(now, near, version, |heartbeat| heartbeat.routes)
    }

    /// Members with any version of both documents, in this data centre or else in any, for a process without documents.
    /// They need not have the newest versions, which only few members have during a series of changes.
    pub fn any_sources(
        &self,
        now: units::MonoTime,
        near: &ids::DataCenterId,
    ) -> Vec<&member_heartbeat::MemberHeartbeat> {
        let is_source = |heartbeat: &&member_heartbeat::MemberHeartbeat| {
            heartbeat.routes > 0 && !heartbeat.list.is_none()
        };
        nearest(self.alive(now).filter(is_source).collect(), near)
    }

    /// Whether no live member has more CPU than `cpu`, in thousandths of a core. Planners, which assign requests of
    /// other members to engines, are chosen among the largest members.
    pub fn is_largest(&self, now: units::MonoTime, cpu: u32) -> bool {
        self.alive(now).all(|heartbeat| heartbeat.cpu <= cpu)
    }

    /// Members with the newest list beyond `revision`; see [`Self::routes_sources`].
    pub fn list_sources(
        &self,
        now: units::MonoTime,
        revision: store_revision::StoreRevision,
        near: &ids::DataCenterId,
    ) -> Vec<&member_heartbeat::MemberHeartbeat> {
        self.sources(now, near, revision, |heartbeat| heartbeat.list)
    }

    /// Newest version of each document that any live member has.
    pub fn newest(&self, now: units::MonoTime) -> store_tracker::DocumentVersions {
        let none = store_tracker::DocumentVersions::default();
        self.alive(now).fold(none, |newest, heartbeat| store_tracker::DocumentVersions {
            routes: newest.routes.max(heartbeat.routes),
            list: newest.list.max(heartbeat.list),
        })
    }

    /// Members with the newest version beyond `known`, in this data centre or else in any.
    fn sources<V: Ord>(
        &self,
        now: units::MonoTime,
        near: &ids::DataCenterId,
        known: V,
        version: impl Fn(&member_heartbeat::MemberHeartbeat) -> V,
    ) -> Vec<&member_heartbeat::MemberHeartbeat> {
        let newest = self.alive(now).map(&version).max().filter(|newest| *newest > known);
        let Some(newest) = newest else {
            return Vec::new();
        };
        nearest(self.alive(now).filter(|heartbeat| version(heartbeat) == newest).collect(), near)
    }

    /// Whether a process of this age may be a planner; a younger one does not know the load of the engines yet.
    pub fn is_old_enough_to_plan(age: time::Duration) -> bool {
        age >= PLANNER_AGE
    }
}

/// Those of the members `all` that are in the data centre `near`, or all of them if none is.
fn nearest<'a>(
    all: Vec<&'a member_heartbeat::MemberHeartbeat>,
    near: &ids::DataCenterId,
) -> Vec<&'a member_heartbeat::MemberHeartbeat> {
    let own: Vec<_> =
        all.iter().copied().filter(|heartbeat| heartbeat.data_center == *near).collect();
    if own.is_empty() { all } else { own }
}
