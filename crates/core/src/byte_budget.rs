//! The budget for bytes that callers and members make an instance hold: heads, buffers and bodies of requests, and
//! buffers of relayed connections.
//!
//! Each kind has a limit of its own, so that one kind cannot exhaust the memory of another. Within a kind, an owner may
//! use as many bytes as a multiple of those that are free ("dynamic threshold"): an owner that is alone gets most of
//! the limit, and with more owners the share of each shrinks, while some bytes always stay free for the next one. So
//! no share has to be configured for each customer.
//!
//! Reservations that do not fit wait in order, within bounds, and are rejected at once beyond them. The caller of this
//! module has a clock: it cancels a reservation that has waited for too long by releasing it.

use std::{collections, fmt};

use crate::{ids, units};

/// Part of the machine's memory that the budget covers. An attempt holds a second copy of a body while it is written to
/// an upstream, so the budget may take up half of the memory; a sixth is left below the bound of two thirds for the
/// process itself.
const BUDGET_FRACTION: f64 = 0.25;
/// Part of the budget for requests that are arriving. It is a limit of its own so that slow senders cannot use up the
/// bytes of requests that have arrived.
const ARRIVING_FRACTION: f64 = 0.125;
/// Part of the budget for requests that have arrived.
const REQUEST_FRACTION: f64 = 0.25;
/// Part of the budget for relayed connections; the rest is for bodies.
const RELAYED_FRACTION: f64 = 0.125;
/// Bytes that a customer may use for each free byte: alone it gets four fifths of a limit.
const CUSTOMER_FACTOR: u64 = 4;
/// Bytes that all callers without a known key together may use for each free byte: half of a limit.
const ANONYMOUS_FACTOR: u64 = 1;
/// Most waiting reservations of a kind. Granting looks at all of them.
const MAX_WAITING: usize = 256;
/// Free part of a limit below which senders must make progress: the smallest part that one customer leaves free is a
/// fifth.
const SCARCE_FRACTION: f64 = 0.25;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ByteKind {
    /// Heads and read buffers of requests that have not arrived completely.
    Arriving,
    /// Heads of requests that have arrived, and buffers of their answers, which callers may read slowly.
    Request,
    /// Buffers of connections that are relayed for members.
    Relayed,
    /// Bodies of requests.
    Body,
}

impl ByteKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Arriving, Self::Request, Self::Relayed, Self::Body];

    /// Name of the kind in metrics and status.
    pub fn label(self) -> &'static str {
        match self {
            Self::Arriving => "arriving",
            Self::Request => "request",
            Self::Relayed => "relayed",
            Self::Body => "body",
        }
    }
}

/// Whose request the bytes belong to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ByteOwner {
    /// All callers without a known key, and callers whose key has not been checked yet.
    Anonymous,
    /// A customer.
    Customer(ids::CustomerId),
    /// The other members, for which connections are relayed.
    Members,
}

impl ByteOwner {
    fn factor(&self) -> u64 {
        match self {
            Self::Anonymous => ANONYMOUS_FACTOR,
            Self::Customer(_) | Self::Members => CUSTOMER_FACTOR,
        }
    }

    /// Largest number of bytes that the owner may use while no other owner uses any.
    fn largest_share(&self, limit: u64) -> u64 {
        limit * self.factor() / (self.factor() + 1)
    }
}

impl fmt::Display for ByteOwner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Anonymous => write!(f, "(anonymous)"),
            Self::Customer(customer) => write!(f, "{customer}"),
            Self::Members => write!(f, "(members)"),
        }
    }
}

/// Identifies a reservation of one budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(u64);

/// Answer to a request for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ByteAnswer {
    /// The bytes are reserved.
    Granted(ReservationId),
    /// The request waits; [`ByteBudget::release`] returns the reservation once its bytes are reserved.
    Waiting(ReservationId),
    /// The request cannot be granted soon.
    Rejected(ByteRejection),
}

/// Why bytes are not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ByteRejection {
    /// The bytes exceed the owner's share even if no other owner uses any.
    NeverFits,
    /// The owner's waiting requests already fill its share once more, or too many requests wait.
    QueueFull,
    /// The owner uses its share, and the request is of a kind that does not wait.
    ShareUsed,
}

impl ByteRejection {
    /// Name of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NeverFits => "never_fits",
            Self::QueueFull => "queue_full",
            Self::ShareUsed => "share_used",
        }
    }
}

/// Bytes reserved for one request.
#[derive(Debug)]
struct ByteReservation {
    kind: ByteKind,
    owner: ByteOwner,
    urgency: u8,
    bytes: u64,
}

/// Place of a request in the queue. Requests that hold bytes come first, as only their completion frees bytes; then
/// the more urgent ones; then those that arrived earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePlace {
    is_first: bool,
    urgency: u8,
    sequence: u64,
}

/// A request that waits for bytes.
#[derive(Debug)]
struct WaitingRequest {
    id: ReservationId,
    bytes: u64,
}

/// The bytes of one kind.
#[derive(Debug, Default)]
struct KindUse {
    limit: u64,
    /// Reserved bytes; the sum of `owners`.
    used: u64,
    /// Reserved bytes by owner; owners without any are absent.
    owners: collections::BTreeMap<ByteOwner, u64>,
    waiting: collections::BTreeMap<QueuePlace, WaitingRequest>,
}

impl KindUse {
    fn used_by(&self, owner: &ByteOwner) -> u64 {
        self.owners.get(owner).copied().unwrap_or(0)
    }

    /// Whether the owner may use further `bytes` now, given what is free with them.
    fn fits(&self, owner: &ByteOwner, bytes: u64) -> bool {
        let Some(free) = self.limit.checked_sub(self.used + bytes) else {
            return false;
        };
        self.used_by(owner) + bytes <= free.saturating_mul(owner.factor())
    }

    /// Whether a waiting request keeps another one from being granted.
    ///
    /// One whose owner would use at most an equal part of the limit keeps back owners that would use more. If its owner
    /// uses nothing yet, it keeps back all: smaller bodies of others would otherwise use up the free bytes before there
    /// are enough for it.
    fn keeps_back(&self, waiting: (&ByteOwner, u64), other: (&ByteOwner, u64)) -> bool {
        let ((owner, bytes), (other, other_bytes)) = (waiting, other);
        if owner == other {
            return true;
        }
        let owners = self.owners.len() as u64 + u64::from(!self.owners.contains_key(owner));
        let wanted = self.used_by(owner) + bytes;
        wanted <= self.limit / (owners + 1)
            && (self.used_by(owner) == 0 || self.used_by(other) + other_bytes > wanted)
    }

    fn add(&mut self, owner: &ByteOwner, bytes: u64) {
        if bytes > 0 {
            self.used += bytes;
            *self.owners.entry(owner.clone()).or_default() += bytes;
        }
    }

    fn remove(&mut self, owner: &ByteOwner, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
        if let Some(used) = self.owners.get_mut(owner) {
            *used = used.saturating_sub(bytes);
            if *used == 0 {
                self.owners.remove(owner);
            }
        }
    }
}

/// The bytes of one kind, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindRow {
    /// The kind.
    pub kind: ByteKind,
    /// Most bytes that may be reserved.
    pub limit: u64,
    /// Bytes reserved.
    pub used: u64,
    /// Bytes reserved, by owner.
    pub owners: Vec<(ByteOwner, u64)>,
    /// Number of requests that wait.
    pub waiting: usize,
}

/// Reserves bytes for requests.
#[derive(Debug)]
pub struct ByteBudget {
    kinds: collections::BTreeMap<ByteKind, KindUse>,
    reservations: collections::BTreeMap<ReservationId, ByteReservation>,
    last_id: u64,
    last_sequence: u64,
}

impl ByteBudget {
    /// Creates a budget for a machine with this memory.
    pub fn new(memory: units::ByteCount) -> Self {
        let total = memory.0 as f64 * BUDGET_FRACTION;
        let limit = |kind| match kind {
            ByteKind::Arriving => (total * ARRIVING_FRACTION) as u64,
            ByteKind::Request => (total * REQUEST_FRACTION) as u64,
            ByteKind::Relayed => (total * RELAYED_FRACTION) as u64,
            ByteKind::Body => {
                let other = ARRIVING_FRACTION + REQUEST_FRACTION + RELAYED_FRACTION;
                (total * (1.0 - other)) as u64
            }
        };
        let kinds = ByteKind::ALL.iter().map(|kind| {
            let limit = limit(*kind);
            (*kind, KindUse { limit, ..KindUse::default() })
        });
        Self {
            kinds: kinds.collect(),
            reservations: collections::BTreeMap::new(),
            last_id: 0,
            last_sequence: 0,
        }
    }

    /// Reserves `bytes`, waits for them, or rejects the request; an `urgency` of 0 is the most urgent.
    pub fn reserve(
        &mut self,
        kind: ByteKind,
        owner: ByteOwner,
        urgency: u8,
        bytes: u64,
    ) -> ByteAnswer {
        let usage = self.usage(kind);
        let share = owner.largest_share(usage.limit);
        if bytes > share {
            return ByteAnswer::Rejected(ByteRejection::NeverFits);
        }
        if usage.fits(&owner, bytes) && !self.is_kept_back(kind, &owner, bytes) {
            return ByteAnswer::Granted(self.add(kind, owner, urgency, bytes));
        }
        let (count, queued) = self.queued(kind, &owner);
        if count >= MAX_WAITING || queued + bytes > share {
            return ByteAnswer::Rejected(ByteRejection::QueueFull);
        }
        let id = self.add(kind, owner, urgency, 0);
        self.enqueue(id, bytes);
        ByteAnswer::Waiting(id)
    }

    /// Reserves `bytes` if they fit now; never waits.
    pub fn reserve_now(
        &mut self,
        kind: ByteKind,
        owner: ByteOwner,
        bytes: u64,
    ) -> Result<ReservationId, ByteRejection> {
        if !self.usage(kind).fits(&owner, bytes) {
            return Err(ByteRejection::ShareUsed);
        }
        Ok(self.add(kind, owner, 0, bytes))
    }

    /// Reserves further `bytes` for a reservation that does not wait.
    pub fn grow(&mut self, id: ReservationId, bytes: u64) -> ByteAnswer {
        let Some(reservation) = self.reservations.get(&id) else {
            return ByteAnswer::Rejected(ByteRejection::NeverFits);
        };
        let (kind, owner) = (reservation.kind, reservation.owner.clone());
        if reservation.bytes + bytes > owner.largest_share(self.usage(kind).limit) {
            return ByteAnswer::Rejected(ByteRejection::NeverFits);
        }
        if !self.has_waiting(kind, &owner) && self.usage(kind).fits(&owner, bytes) {
            self.credit(id, bytes);
            return ByteAnswer::Granted(id);
        }
        self.enqueue(id, bytes);
        ByteAnswer::Waiting(id)
    }

    /// Ends a reservation, whether it waits or not. Returns the reservations whose bytes are reserved now.
    pub fn release(&mut self, id: ReservationId) -> Vec<ReservationId> {
        let Some(reservation) = self.reservations.remove(&id) else {
            return Vec::new();
        };
        let usage = self.usage_mut(reservation.kind);
        usage.waiting.retain(|_, request| request.id != id);
        usage.remove(&reservation.owner, reservation.bytes);
        self.grant_waiting(reservation.kind)
    }

    /// Whether bytes of this kind are scarce: requests wait for them, or most are in use.
    pub fn is_scarce(&self, kind: ByteKind) -> bool {
        let usage = self.usage(kind);
        let free = usage.limit.saturating_sub(usage.used);
        !usage.waiting.is_empty() || (free as f64) < usage.limit as f64 * SCARCE_FRACTION
    }

    /// Returns the use of each kind, for operators.
    pub fn rows(&self) -> Vec<KindRow> {
        let row = |(kind, usage): (&ByteKind, &KindUse)| KindRow {
            kind: *kind,
            limit: usage.limit,
            used: usage.used,
            owners: usage.owners.iter().map(|(owner, used)| (owner.clone(), *used)).collect(),
            waiting: usage.waiting.len(),
        };
        self.kinds.iter().map(row).collect()
    }

    fn usage(&self, kind: ByteKind) -> &KindUse {
        &self.kinds[&kind]
    }

    fn usage_mut(&mut self, kind: ByteKind) -> &mut KindUse {
        self.kinds.entry(kind).or_default()
    }

    fn add(&mut self, kind: ByteKind, owner: ByteOwner, urgency: u8, bytes: u64) -> ReservationId {
        self.last_id += 1;
        let id = ReservationId(self.last_id);
        self.usage_mut(kind).add(&owner, bytes);
        self.reservations.insert(id, ByteReservation { kind, owner, urgency, bytes });
        id
    }

    /// Adds bytes to a reservation.
    fn credit(&mut self, id: ReservationId, bytes: u64) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.bytes += bytes;
            let (kind, owner) = (reservation.kind, reservation.owner.clone());
            self.usage_mut(kind).add(&owner, bytes);
        }
    }

    fn enqueue(&mut self, id: ReservationId, bytes: u64) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if let Some(reservation) = self.reservations.get(&id) {
            let (kind, urgency) = (reservation.kind, reservation.urgency);
            let place = QueuePlace { is_first: reservation.bytes == 0, urgency, sequence };
            self.usage_mut(kind).waiting.insert(place, WaitingRequest { id, bytes });
        }
    }

    fn has_waiting(&self, kind: ByteKind, owner: &ByteOwner) -> bool {
        self.queued(kind, owner).1 > 0
    }

    /// Whether a waiting request keeps this one from being granted.
    fn is_kept_back(&self, kind: ByteKind, owner: &ByteOwner, bytes: u64) -> bool {
        let usage = self.usage(kind);
        usage.waiting.values().any(|request| {
            let found = self.reservations.get(&request.id);
            found.is_some_and(|found| {
                usage.keeps_back((&found.owner, request.bytes), (owner, bytes))
            })
        })
    }

    /// Number of all waiting requests, and bytes for which this owner's wait.
    fn queued(&self, kind: ByteKind, owner: &ByteOwner) -> (usize, u64) {
        let waiting = &self.usage(kind).waiting;
        let own = waiting.values().filter(|request| {
            self.reservations.get(&request.id).is_some_and(|found| found.owner == *owner)
        });
        (waiting.len(), own.map(|request| request.bytes).sum())
    }

    /// Grants waiting requests in order, unless an earlier one that does not fit keeps them back.
    fn grant_waiting(&mut self, kind: ByteKind) -> Vec<ReservationId> {
        let mut granted = Vec::new();
        let mut unfitting: Vec<(ByteOwner, u64)> = Vec::new();
        let places: Vec<_> = self.usage(kind).waiting.keys().copied().collect();
        for place in places {
            let usage = self.usage(kind);
            let request = &usage.waiting[&place];
            let (id, bytes) = (request.id, request.bytes);
            let Some(owner) = self.reservations.get(&id).map(|found| found.owner.clone()) else {
                continue;
            };
            let is_kept_back = unfitting
                .iter()
                .any(|(other, wanted)| usage.keeps_back((other, *wanted), (&owner, bytes)));
            if is_kept_back {
                continue;
            }
            if usage.fits(&owner, bytes) {
                self.usage_mut(kind).waiting.remove(&place);
                self.credit(id, bytes);
                granted.push(id);
            } else {
                unfitting.push((owner, bytes));
            }
        }
        granted
    }
}
