//! Which other instances are there, from what they say of themselves.
//!
//! Every member repeats a heartbeat to the others. A member that is silent is suspected, then
//! forgotten; one that starts again has another boot number. Views differ for moments: nothing
//! that must hold rests on them.

mod contact;

use std::{collections, net, time};

use crate::{ids, member_beat, planner_key, rendezvous, store_belief, units};

/// Heartbeats of a small fleet are this far apart.
const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Members up to which the interval stays the same; beyond, it grows with their number, so that
/// what one member sends and hears a second stays the same.
const BEAT_MEMBERS: u32 = 12;
/// Heartbeats missed before a member is suspected.
const SUSPECT_BEATS: u32 = 4;
/// Heartbeats missed before a member is forgotten.
const FORGET_BEATS: u32 = 40;
/// Addresses of others named in one heartbeat.
const NAMED_MEMBERS: usize = 4;
/// Addresses named at once to a member that knows few: 7 bytes each, so that the datagram is not
/// split on its way.
const WELCOME_MEMBERS: usize = 160;
/// Addresses heard of that are remembered: twice the members of the largest fleet planned for, some 40 bytes each.
const MAX_HEARSAY: usize = 2_400;
/// Members of a data centre that watch the platform's store in a large fleet: one more than needed,
/// so that the loss of one is not noticed.
const WATCHERS: usize = 2;
/// Data centres with fewer other members than this have all of them watch.
const SMALL_DATA_CENTER: usize = 4;
/// Time after which the next member in order takes a missing watcher's part.
const TAKE_OVER_STEP: time::Duration = time::Duration::from_millis(120);
/// Time after which any member does: by then twelve before it have tried.
const TAKE_OVER_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// The same for a member whose last try has failed, for each one before it in order: while the store is
/// away for all, those first in order go on asking and the others ask ever more seldom, so that their calls do
/// not grow with the number of instances.
const FAILED_STEP: time::Duration = time::Duration::from_millis(400);
/// Longest time until a member tries again, whatever the others do.
const FAILED_LIMIT: time::Duration = time::Duration::from_secs(10);
/// Calls in a row left unanswered that make a member unfit to plan.
const MAX_UNANSWERED: u32 = 2;
/// A member this young is not asked to plan: it does not know yet what the engines are doing.
const PLANNER_AGE: time::Duration = time::Duration::from_millis(1_200);

/// Time without a new member after which a starting process believes to know all.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(80);
/// Time after which a process that nobody has answered believes to be alone: the platform starts all
/// within 0.3 s, those that are asked first among them.
const LONE_TIME: time::Duration = time::Duration::from_millis(350);

#[derive(Debug)]
struct MemberState {
    beat: member_beat::MemberBeat,
    /// Hash of the name: members differ in their order for each planner's key.
    hash: u64,
    heard: units::MonoTime,
    /// Unanswered calls since it was last heard.
    unanswered: u32,
    /// Whether the failure detector suspects it; ends with the first sign of life.
    suspected: bool,
}

impl MemberState {
    /// Whether it was heard within `limit`, and is not suspected since.
    fn is_heard(&self, now: units::MonoTime, limit: time::Duration) -> bool {
        !self.suspected && now.since(self.heard) <= limit
    }
}

/// The other members as this process believes them.
#[derive(Debug)]
pub struct MemberView {
    own: ids::InstanceId,
    members: collections::BTreeMap<ids::InstanceId, MemberState>,
    /// The members by their starts; holds just what `members` says.
    by_boot: collections::HashMap<u64, ids::InstanceId>,
    /// The members by their addresses; holds just what `members` says.
    by_address: collections::HashMap<net::SocketAddrV4, ids::InstanceId>,
    /// Addresses heard of, not yet heard from.
    hearsay: collections::BTreeMap<net::SocketAddrV4, units::MonoTime>,
    /// Those of them that nothing has been said to yet.
    unmet: Vec<net::SocketAddrV4>,
    seeds: Vec<net::SocketAddrV4>,
    /// Most members alive at once since the start, this one included.
    most: usize,
    /// When a member was last heard for the first time; nothing before any.
    grown: Option<units::MonoTime>,
}

impl MemberView {
    /// A view that knows only where to start asking.
    pub fn new(own: ids::InstanceId, seeds: Vec<net::SocketAddrV4>) -> Self {
        Self {
            own,
            members: collections::BTreeMap::new(),
            by_boot: collections::HashMap::new(),
            by_address: collections::HashMap::new(),
            hearsay: collections::BTreeMap::new(),
            unmet: Vec::new(),
            seeds,
            most: 1,
            grown: None,
        }
    }

    /// Replaces the addresses to start asking at.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Time between two heartbeats.
    pub fn beat_interval(&self) -> time::Duration {
        Self::beat_interval_of(self.members.len() + 1)
    }

    /// Time between two heartbeats of each of so many members.
    pub fn beat_interval_of(members: usize) -> time::Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        BEAT_INTERVAL * members.div_ceil(BEAT_MEMBERS).max(1)
    }

    /// Whom to send the next heartbeat to.
    pub fn targets(&self, own: net::SocketAddrV4) -> Vec<net::SocketAddrV4> {
        let known = self.members.values().map(|member| member.beat.address);
        let mut targets: Vec<_> =
            known.chain(self.hearsay.keys().copied()).chain(self.seeds.iter().copied()).collect();
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| *target != own);
        targets
    }

    /// Some addresses to name in a heartbeat; others each time.
    pub fn named(&self, sequence: u64) -> Vec<net::SocketAddrV4> {
        let addresses = self.addresses();
        let count = addresses.len();
        let start = (sequence as usize).wrapping_mul(NAMED_MEMBERS) % count.max(1);
        addresses.iter().cycle().skip(start).take(NAMED_MEMBERS.min(count)).copied().collect()
    }

    /// All addresses in portions, for a member whose heartbeat shows that it knows few; nothing
    /// for others. So whoever starts is known to all after one exchange with one of them, also
    /// where all start at once and heartbeats are seconds apart.
    pub fn welcome(&self, beat: &member_beat::MemberBeat) -> Vec<Vec<net::SocketAddrV4>> {
        if beat.others.len() >= NAMED_MEMBERS {
            return Vec::new();
        }
        let mut addresses = self.addresses();
        addresses.retain(|address| *address != beat.address);
        addresses.chunks(WELCOME_MEMBERS).map(<[_]>::to_vec).collect()
    }

    /// Addresses heard of since the last call, to say something to at once.
    pub fn take_unmet(&mut self, own: net::SocketAddrV4) -> Vec<net::SocketAddrV4> {
        let mut unmet = std::mem::take(&mut self.unmet);
        unmet.retain(|address| *address != own);
        unmet
    }

    fn addresses(&self) -> Vec<net::SocketAddrV4> {
        let known = self.members.values().map(|member| member.beat.address);
        known.chain(self.hearsay.keys().copied()).collect()
    }

    /// Takes a heartbeat in; returns whether its member was not known before, or started again.
    pub fn hear(&mut self, now: units::MonoTime, beat: member_beat::MemberBeat) -> bool {
        if beat.name == self.own {
            return false;
        }
        self.hearsay.remove(&beat.address);
        for address in &beat.others {
            let heard_of = self.knows(*address) || self.hearsay.contains_key(address);
            if !heard_of && self.hearsay.len() < MAX_HEARSAY {
                self.hearsay.insert(*address, now);
                self.unmet.push(*address);
            }
        }
        let known = self.members.get(&beat.name);
        let stale = known.is_some_and(|known| {
            known.beat.boot == beat.boot && known.beat.sequence >= beat.sequence
        });
        if stale {
            return false;
        }
        if known.is_none() {
            self.grown = Some(now);
        }
        let joined = known.is_none_or(|known| known.beat.boot != beat.boot);
        let name = beat.name.clone();
        let hash = rendezvous::stable_hash(&[name.as_str()]);
        let state = MemberState { beat, hash, heard: now, unanswered: 0, suspected: false };
        self.insert(name, state);
        if joined {
            self.most = self.most.max(self.alive(now).count() + 1);
        }
        joined
    }

    fn insert(&mut self, name: ids::InstanceId, state: MemberState) {
        let (boot, address) = (state.beat.boot, state.beat.address);
        if let Some(before) = self.members.insert(name.clone(), state) {
            self.by_boot.remove(&before.beat.boot);
            self.by_address.remove(&before.beat.address);
        }
        self.by_boot.insert(boot, name.clone());
        self.by_address.insert(address, name);
    }

    fn remove(&mut self, name: &ids::InstanceId) {
        if let Some(removed) = self.members.remove(name) {
            self.by_boot.remove(&removed.beat.boot);
            self.by_address.remove(&removed.beat.address);
        }
    }

    /// Takes in a heartbeat of a member that was heard before; `false` where it was not.
    pub fn hear_alive(&mut self, now: units::MonoTime, alive: &member_beat::AliveBeat) -> bool {
        let name = self.by_boot.get(&alive.boot);
        let Some(member) = name.and_then(|name| self.members.get_mut(name)) else {
            return false;
        };
        if alive.sequence > member.beat.sequence {
            member.beat = member_beat::MemberBeat {
                sequence: alive.sequence,
                plans: alive.plans,
                leaving: alive.leaving,
                watches: alive.watches,
                routes: alive.routes,
                list: alive.list,
                ..member.beat.clone()
            };
            member.heard = now;
            member.unanswered = 0;
            member.suspected = false;
        }
        true
    }

    /// Whether a member with this address was heard.
    pub fn knows(&self, address: net::SocketAddrV4) -> bool {
        self.by_address.contains_key(&address)
    }

    /// Forgets members that have been silent for long, and names them.
    pub fn tick(&mut self, now: units::MonoTime) -> Vec<ids::InstanceId> {
        let limit = self.beat_interval() * FORGET_BEATS;
        self.hearsay.retain(|_, since| now.since(*since) < limit);
        let silent: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| now.since(member.heard) > limit)
            .map(|(name, _)| name.clone())
            .collect();
        silent.iter().for_each(|name| self.remove(name));
        silent
    }

    /// Members that were heard lately.
    pub fn alive(&self, now: units::MonoTime) -> impl Iterator<Item = &member_beat::MemberBeat> {
        let limit = self.beat_interval() * SUSPECT_BEATS;
        self.members
            .values()
            .filter(move |member| member.is_heard(now, limit))
            .map(|member| &member.beat)
    }

    /// Whether a process that started at time 0 knows how large the fleet is, as far as members can tell
    /// it: members that start together greet each other within some hundred milliseconds, and none was
    /// new for a while.
    ///
    /// Before that each takes its data centre for a small one, and would ask the platform's store itself.
    pub fn is_settled(&self, now: units::MonoTime) -> bool {
        match self.grown {
            Some(grown) => now.since(grown) >= SETTLE_TIME,
            None => now.since(units::MonoTime::default()) >= LONE_TIME,
        }
    }

    /// Members believed to exist, this one included, alive or silent for moments only.
    pub fn size(&self) -> usize {
        (self.members.len() + 1).max(self.most.div_ceil(2))
    }

    /// The member that plans for a cell of engines; `None` when that is this process.
    ///
    /// Members that know what the engines are doing go first; where all have just started, one of
    /// them is still better than each for itself. Then more processor, then the name's hash.
    pub fn planner(
        &self,
        now: units::MonoTime,
        key: &planner_key::PlannerKey,
        own: &member_beat::MemberBeat,
    ) -> Option<member_beat::MemberBeat> {
        let limit = self.beat_interval() * SUSPECT_BEATS;
        let fit = |member: &&MemberState| {
            let beat = &member.beat;
            beat.routes > 0
                && !beat.leaving
                && member.unanswered < MAX_UNANSWERED
                && member.is_heard(now, limit)
        };
        let others = self.members.values().filter(fit).map(|member| (&member.beat, member.hash));
        let me = Some((own, rendezvous::stable_hash(&[own.name.as_str()])));
        let me = me.filter(|(own, _)| own.routes > 0 && !own.leaving);
        let key = rendezvous::stable_hash(&[&key.to_string()]);
        let score = |(beat, hash): &(&member_beat::MemberBeat, u64)| {
            (beat.plans, beat.cpu, rendezvous::mixed_hash(key ^ hash))
        };
        let (best, _) = others.chain(me).max_by_key(score)?;
        (best.name != own.name).then(|| best.clone())
    }

    /// Members that know the newest routes, where these are newer than `version`: those of this
    /// data centre, or any. Whoever asks should pick one at random, as many ask at once.
    pub fn routes_sources(
        &self,
        now: units::MonoTime,
        version: u64,
        near: &ids::DataCenterId,
    ) -> Vec<&member_beat::MemberBeat> {
        self.sources(now, near, version, |beat| beat.routes)
    }

    /// Members that know routes and a list of upstreams, of whichever version, for one that knows nothing: those of
    /// this data centre, or any. While changes follow each other only few have the newest.
    pub fn any_sources(
        &self,
        now: units::MonoTime,
        near: &ids::DataCenterId,
    ) -> Vec<&member_beat::MemberBeat> {
        let is_source = |beat: &&member_beat::MemberBeat| beat.routes > 0 && beat.list > 0;
        nearest(self.alive(now).filter(is_source).collect(), near)
    }

    /// Whether this much processor is the most that any member has: planners are chosen among those.
    pub fn is_largest(&self, now: units::MonoTime, cpu: u32) -> bool {
        self.alive(now).all(|beat| beat.cpu <= cpu)
    }

    /// The same for the list of upstreams.
    pub fn list_sources(
        &self,
        now: units::MonoTime,
        revision: u64,
        near: &ids::DataCenterId,
    ) -> Vec<&member_beat::MemberBeat> {
        self.sources(now, near, revision, |beat| beat.list)
    }

    /// Newest versions of routes and of the list that other members have.
    pub fn newest(&self, now: units::MonoTime) -> store_belief::DocumentVersions {
        let none = store_belief::DocumentVersions::default();
        self.alive(now).fold(none, |newest, beat| store_belief::DocumentVersions {
            routes: newest.routes.max(beat.routes),
            list: newest.list.max(beat.list),
        })
    }

    fn sources(
        &self,
        now: units::MonoTime,
        near: &ids::DataCenterId,
        known: u64,
        version: impl Fn(&member_beat::MemberBeat) -> u64,
    ) -> Vec<&member_beat::MemberBeat> {
        let newest = self.alive(now).map(&version).max().filter(|newest| *newest > known);
        let Some(newest) = newest else {
            return Vec::new();
        };
        nearest(self.alive(now).filter(|beat| version(beat) == newest).collect(), near)
    }

    /// Whether this member should watch the platform's store itself, given how long it has seen
    /// too few others do so, and whether its last try failed.
    ///
    /// In a small fleet all do. In a large one [`WATCHERS`] in each data centre do and the others
    /// learn from them; where fewer are left, the next in order take over, one after the other.
    pub fn should_watch(
        &self,
        now: units::MonoTime,
        own: &member_beat::MemberBeat,
        missing_for: time::Duration,
        failed: bool,
    ) -> bool {
        let near: Vec<_> = self
            .alive(now)
            .filter(|beat| beat.data_center == own.data_center && !beat.leaving)
            .collect();
        if near.len() < SMALL_DATA_CENTER {
            return true;
        }
        let order = |beat: &member_beat::MemberBeat| {
            rendezvous::stable_hash(&["watch", beat.name.as_str()])
        };
        let mine = order(own);
        let before = |wanted: bool| {
            near.iter().filter(|beat| beat.watches == wanted && order(beat) < mine).count()
        };
        let watching = near.iter().filter(|beat| beat.watches).count();
        if own.watches {
            return before(true) < WATCHERS;
        }
        let (step, limit) =
            if failed { (FAILED_STEP, FAILED_LIMIT) } else { (TAKE_OVER_STEP, TAKE_OVER_LIMIT) };
        let turn = step * u32::try_from(before(false)).unwrap_or(u32::MAX);
        watching < WATCHERS && missing_for >= turn.min(limit)
    }

    /// Whether fewer members than wanted watch the store in this member's data centre.
    pub fn watchers_missing(&self, now: units::MonoTime, own: &member_beat::MemberBeat) -> bool {
        let near = self.alive(now).filter(|beat| beat.data_center == own.data_center);
        near.filter(|beat| beat.watches).count() < WATCHERS
    }

    /// Whether a process that started `age` ago may plan for others.
    pub fn old_enough(age: time::Duration) -> bool {
        age >= PLANNER_AGE
    }
}

/// Those of a data centre, or all where it has none.
fn nearest<'a>(
    all: Vec<&'a member_beat::MemberBeat>,
    near: &ids::DataCenterId,
) -> Vec<&'a member_beat::MemberBeat> {
    let own: Vec<_> = all.iter().copied().filter(|beat| beat.data_center == *near).collect();
    if own.is_empty() { all } else { own }
}
