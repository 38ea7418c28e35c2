//! Bounds on what callers make this process hold, if the settings state the limits of the machine.
//!
//! `slipturn_core::byte_budget` decides; this module holds its reservations while they are in use and wakes the tasks
//! whose requests have waited for one.

use std::{collections, rc, time};

use futures::channel::oneshot;
use slipturn_core::{byte_budget, connection_bound, machine_limits, refusal, units};

use crate::context;

/// Part of the time left to a caller after which its request is rejected if its body has not been admitted. The rest is
/// for another attempt at another instance.
const WAIT_FRACTION: f64 = 0.2;
/// Largest part of their remaining time for which callers obey a retry delay.
const OBEYED_FRACTION: f64 = 0.33;
/// Time without a wait or a rejection after which a bound no longer applies, for the log.
const CALM_TIME: time::Duration = time::Duration::from_secs(1);

/// Why a request is not taken on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IntakeRejection {
    /// The budget rejected it.
    Budget(byte_budget::ByteRejection),
    /// It waited for its bytes for too long.
    WaitedTooLong,
}

impl IntakeRejection {
    fn label(self) -> &'static str {
        match self {
            Self::Budget(rejection) => rejection.label(),
            Self::WaitedTooLong => "waited_too_long",
        }
    }

    /// Returns the refusal for a caller that has `left` until its time limit.
    pub(crate) fn refusal(self, left: time::Duration) -> refusal::RequestRefusal {
        if self == Self::Budget(byte_budget::ByteRejection::NeverFits) {
            let text = "the body is larger than this instance can hold";
            return refusal::RequestRefusal::not_run(refusal::RefusalCode::TooLarge, text);
        }
        let code = refusal::RefusalCode::Overloaded;
        let delay = refusal::spread_retry(time::Duration::ZERO, &mut rand::rng());
        let text = format!("no memory for the request: {}", self.label());
        refusal::RequestRefusal::not_run(code, text)
            .retry_after(delay.min(left.mul_f64(OBEYED_FRACTION)))
    }
}

/// State of the bounds.
pub(crate) struct IntakeState {
    pub(crate) budget: byte_budget::ByteBudget,
    /// How bodies obtain their part of the budget.
    pub(crate) bodies: machine_limits::BodyAdmission,
    /// Channels that wake the tasks of waiting requests.
    senders: collections::HashMap<byte_budget::ReservationId, oneshot::Sender<()>>,
    /// The connections of callers.
    pub(crate) connections: connection_bound::ConnectionBound,
    /// Channels by which idle connections are closed.
    pub(crate) closers: collections::HashMap<connection_bound::ConnectionId, oneshot::Sender<()>>,
    /// When a bound began to apply; `None` while none does.
    limited_since: Option<units::MonoTime>,
    /// When a request last waited or was rejected.
    last_limited: units::MonoTime,
}

impl IntakeState {
    pub(crate) fn new(machine: &machine_limits::MachineLimits) -> Self {
        Self {
            budget: byte_budget::ByteBudget::new(machine.memory),
            bodies: machine.bodies,
            senders: collections::HashMap::new(),
            connections: connection_bound::ConnectionBound::new(machine.descriptors),
            closers: collections::HashMap::new(),
            limited_since: None,
            last_limited: units::MonoTime::default(),
        }
    }

    /// Notes that a bound applies now; logs when that begins.
    pub(crate) fn note_limited(&mut self, now: units::MonoTime, kind: &str) {
        self.last_limited = now;
        if self.limited_since.is_none() {
            self.limited_since = Some(now);
            log::warn!(kind; "intake.limited");
        }
    }

    /// Logs when no bound has applied for a while.
    pub(crate) fn note_calm(&mut self, now: units::MonoTime) {
        let is_waiting = self.budget.rows().iter().any(|row| row.waiting > 0);
        if let Some(since) = self.limited_since
            && !is_waiting
            && now.since(self.last_limited) >= CALM_TIME
        {
            self.limited_since = None;
            log::info!(lasted_ms = units::whole_millis(self.last_limited.since(since)); "intake.unlimited");
        }
    }

    fn release(&mut self, id: byte_budget::ReservationId) {
        self.senders.remove(&id);
        for granted in self.budget.release(id) {
            if let Some(sender) = self.senders.remove(&granted) {
                // Fails if the waiting task is gone; its guard then releases the reservation.
                let _ = sender.send(());
            }
        }
    }
}

/// Bytes of the budget, which are released when this guard is dropped.
pub(crate) struct ByteGuard {
    context: rc::Rc<context::InstanceContext>,
    kind: byte_budget::ByteKind,
    id: byte_budget::ReservationId,
}

impl Drop for ByteGuard {
    fn drop(&mut self) {
        if let Some(intake) = &self.context.intake {
            intake.borrow_mut().release(self.id);
        }
    }
}

impl ByteGuard {
    /// Reserves bytes that must be free now.
    pub(crate) fn reserve_now(
        context: &rc::Rc<context::InstanceContext>,
        kind: byte_budget::ByteKind,
        owner: byte_budget::ByteOwner,
        bytes: usize,
    ) -> Result<Option<Self>, IntakeRejection> {
        let Some(intake) = &context.intake else {
            return Ok(None);
        };
        let reserved = intake.borrow_mut().budget.reserve_now(kind, owner, bytes as u64);
        match reserved {
            Ok(id) => Ok(Some(Self { context: rc::Rc::clone(context), kind, id })),
            Err(rejection) => Err(reject(context, kind, IntakeRejection::Budget(rejection))),
        }
    }

    /// Reserves bytes for a body, and waits for them for at most a part of the time `left` to the caller.
    pub(crate) async fn reserve_body(
        context: &rc::Rc<context::InstanceContext>,
        owner: byte_budget::ByteOwner,
        urgency: u8,
        bytes: usize,
        left: time::Duration,
    ) -> Result<Option<Self>, IntakeRejection> {
        let Some(intake) = &context.intake else {
            return Ok(None);
        };
        let kind = byte_budget::ByteKind::Body;
        let answer = intake.borrow_mut().budget.reserve(kind, owner, urgency, bytes as u64);
        let (id, waits) = match answer {
            byte_budget::ByteAnswer::Granted(id) => (id, false),
            byte_budget::ByteAnswer::Waiting(id) => (id, true),
            byte_budget::ByteAnswer::Rejected(rejection) => {
                return Err(reject(context, kind, IntakeRejection::Budget(rejection)));
            }
        };
        let guard = Self { context: rc::Rc::clone(context), kind, id };
        if waits {
            guard.wait(left).await?;
        }
        Ok(Some(guard))
    }

    /// Reserves further bytes; waits like [`Self::reserve_body`].
    pub(crate) async fn grow(
        &self,
        bytes: usize,
        left: time::Duration,
    ) -> Result<(), IntakeRejection> {
        let Some(intake) = &self.context.intake else {
            return Ok(());
        };
        let answer = intake.borrow_mut().budget.grow(self.id, bytes as u64);
        match answer {
            byte_budget::ByteAnswer::Granted(_) => Ok(()),
            byte_budget::ByteAnswer::Waiting(_) => self.wait(left).await,
            byte_budget::ByteAnswer::Rejected(rejection) => {
                Err(reject(&self.context, self.kind, IntakeRejection::Budget(rejection)))
            }
        }
    }

    /// Whether bytes of this kind are scarce, so that their users must make progress.
    pub(crate) fn is_scarce(&self) -> bool {
        let intake = self.context.intake.as_ref();
        intake.is_some_and(|intake| intake.borrow().budget.is_scarce(self.kind))
    }

    async fn wait(&self, left: time::Duration) -> Result<(), IntakeRejection> {
        let Some(intake) = &self.context.intake else {
            return Ok(());
        };
        let (sender, granted) = oneshot::channel();
        {
            let mut state = intake.borrow_mut();
            state.senders.insert(self.id, sender);
            state.note_limited(self.context.now(), self.kind.label());
        }
        self.context.stats.borrow_mut().count("intake_waited", self.kind.label());
        match monoio::time::timeout(left.mul_f64(WAIT_FRACTION), granted).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(reject(&self.context, self.kind, IntakeRejection::WaitedTooLong)),
        }
    }
}

/// Counts a rejection.
fn reject(
    context: &context::InstanceContext,
    kind: byte_budget::ByteKind,
    rejection: IntakeRejection,
) -> IntakeRejection {
    if let Some(intake) = &context.intake {
        intake.borrow_mut().note_limited(context.now(), kind.label());
    }
    let label = format!("{}/{}", kind.label(), rejection.label());
    context.stats.borrow_mut().count("intake_rejected", &label);
    rejection
}

/// Connections, and bytes in use by kind and owner, for the status page; `None` without the limits of the machine.
pub(crate) fn status(context: &context::InstanceContext) -> Option<serde_json::Value> {
    let intake = context.intake.as_ref()?;
    let row = |row: &byte_budget::KindRow| {
        let owners: collections::BTreeMap<_, _> =
            row.owners.iter().map(|(owner, used)| (owner.to_string(), *used)).collect();
        serde_json::json!({
            "kind": row.kind.label(),
            "limit": row.limit,
            "used": row.used,
            "waiting": row.waiting,
            "owners": owners,
        })
    };
    let state = intake.borrow();
    Some(serde_json::json!({
        "bytes": state.budget.rows().iter().map(row).collect::<Vec<_>>(),
        "connections": state.connections.open_count(),
        "connections_idle": state.connections.idle_count(),
        "connections_limit": state.connections.limit(),
        "limited_ms": state.limited_since.map_or(0, |since| {
            units::whole_millis(context.now().since(since))
        }),
    }))
}

/// Gauges of the bytes and connections in use and of their limits.
pub(crate) fn gauges(context: &context::InstanceContext) -> String {
    let Some(intake) = &context.intake else {
        return String::new();
    };
    let gauge = |row: &byte_budget::KindRow| {
        let kind = row.kind.label();
        format!(
            "slipturn_intake_bytes{{kind=\"{kind}\"}} {}\n\
             slipturn_intake_limit_bytes{{kind=\"{kind}\"}} {}\n\
             slipturn_intake_waiting{{kind=\"{kind}\"}} {}\n",
            row.used, row.limit, row.waiting
        )
    };
    let state = intake.borrow();
    let bytes: String = state.budget.rows().iter().map(gauge).collect();
    format!(
        "{bytes}slipturn_intake_connections {}\nslipturn_intake_limit_connections {}\n",
        state.connections.open_count(),
        state.connections.limit()
    )
}
