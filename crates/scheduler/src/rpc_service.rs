//! RPC service for entries and other schedulers; forwards their calls to the state as events.

use capnp::capability;
use futures::channel::oneshot;
use slipturn_core::{budget, key_vote, units};
use slipturn_net::{process, scheduler_link};
use slipturn_wire::{convert, scheduler_capnp};

use crate::event;

/// Longest wait of a watch, even if the watcher asks for more.
const MAX_WATCH_WAIT: std::time::Duration = std::time::Duration::from_secs(30);

/// Implementation of the scheduler's RPC interface; each connection uses a clone.
#[derive(Clone)]
pub struct SchedulerService {
    events: event::EventSender,
    clock: process::ProcessClock,
}

impl SchedulerService {
    /// Creates a service that forwards calls to `events`.
    pub fn new(events: event::EventSender, clock: process::ProcessClock) -> Self {
        Self { events, clock }
    }

    fn send(&self, event: event::SchedulerEvent) -> Result<(), capnp::Error> {
        let stopping = |_| capnp::Error::disconnected("the scheduler is stopping".to_owned());
        self.events.unbounded_send(event).map_err(stopping)
    }

    /// Sends an event that contains a reply channel, and waits for the reply.
    async fn ask<T>(
        &self,
        make_event: impl FnOnce(oneshot::Sender<T>) -> event::SchedulerEvent,
    ) -> Result<T, capnp::Error> {
        let (sender, receiver) = oneshot::channel();
        self.send(make_event(sender))?;
        let dropped = |_| capnp::Error::failed("the question was dropped".to_owned());
        receiver.await.map_err(dropped)
    }
}

impl scheduler_capnp::scheduler::Server for SchedulerService {
    async fn offer(
        self: capability::Rc<Self>,
        params: scheduler_capnp::scheduler::OfferParams,
        mut results: scheduler_capnp::scheduler::OfferResults,
    ) -> Result<(), capnp::Error> {
        let (engine, request) = convert::read_place(params.get()?.get_place()?, self.clock.now())?;
        let make_event = |answer| event::SchedulerEvent::Offer(engine, request, answer);
        let answer = self.ask(make_event).await?;
        convert::write_offer(results.get().init_reply(), &answer);
        Ok(())
    }

    async fn acquire(
        self: capability::Rc<Self>,
        params: scheduler_capnp::scheduler::AcquireParams,
        mut results: scheduler_capnp::scheduler::AcquireResults,
    ) -> Result<(), capnp::Error> {
        let (engine, request) = convert::read_place(params.get()?.get_place()?, self.clock.now())?;
        let make_event = |answer| event::SchedulerEvent::Acquire(engine, request, answer);
        let answer = self.ask(make_event).await?;
        convert::write_place_reply(results.get().init_reply(), &answer);
        Ok(())
    }

    async fn release(
        self: capability::Rc<Self>,
        params: scheduler_capnp::scheduler::ReleaseParams,
        _results: scheduler_capnp::scheduler::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let engine = convert::read_name(params.get_engine()?)?;
        let attempt = convert::read_name(params.get_attempt()?)?;
        self.send(event::SchedulerEvent::Release(engine, attempt))
    }

    async fn renew(
        self: capability::Rc<Self>,
        params: scheduler_capnp::scheduler::RenewParams,
        _results: scheduler_capnp::scheduler::RenewResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let entry = convert::read_name(params.get_entry()?)?;
        let boot = slipturn_core::ids::BootId(params.get_boot());
        let now = self.clock.now();
        let places = params.get_places()?.iter().map(|place| convert::read_place(place, now));
        let places = places.collect::<Result<Vec<_>, _>>()?;
        self.send(event::SchedulerEvent::Renew(entry, boot, places))
    }

    async fn draw(
        self: capability::Rc<Self>,
        params: scheduler_capnp::scheduler::DrawParams,
        mut results: scheduler_capnp::scheduler::DrawResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let customer = convert::read_name(params.get_customer()?)?;
        let limit = budget::BudgetLimit {
            rate: units::TokenRate(params.get_rate()),
            burst: units::TokenCount(params.get_burst()),
        };
        let want = units::TokenCount(params.get_want());
        let make_event = |answer| event::SchedulerEvent::Draw(customer, limit, want, answer);
        let answer = self.ask(make_event).await?;
        convert::write_portion(results.get().init_reply(), answer);
        Ok(())
    }

    async fn vote(
        self: capability::Rc<Self>,
        params: scheduler_capnp::scheduler::VoteParams,
        mut results: scheduler_capnp::scheduler::VoteResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = key_vote::ScopedKey(convert::read_text(params.get_key()?)?.to_owned());
        let request = convert::read_name(params.get_asker()?)?;
        let answer = self.ask(|answer| event::SchedulerEvent::Vote(key, request, answer)).await?;
        convert::write_vote(results.get().init_reply(), &answer);
        Ok(())
    }

    async fn watch(
        self: capability::Rc<Self>,
        params: scheduler_capnp::scheduler::WatchParams,
        mut results: scheduler_capnp::scheduler::WatchResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let known = scheduler_link::KnownDocuments {
            settings: params.get_settings_version(),
            list: params.get_list_revision(),
        };
        let wait = std::time::Duration::from_millis(params.get_wait_ms()).min(MAX_WATCH_WAIT);
        let deadline = self.clock.now() + wait;
        let make_event = |answer| event::SchedulerEvent::Watch(known, deadline, answer);
        let answer = self.ask(make_event).await?;
        let mut documents = results.get().init_documents();
        if let Some((version, text)) = &answer.settings {
            documents.set_settings_version(*version);
            documents.set_settings(&**text);
        }
        if let Some((revision, text)) = &answer.list {
            documents.set_list_revision(*revision);
            documents.set_list(&**text);
        }
        documents.set_age_ms(units::whole_millis(answer.age));
        Ok(())
    }

    async fn status(
        self: capability::Rc<Self>,
        _params: scheduler_capnp::scheduler::StatusParams,
        mut results: scheduler_capnp::scheduler::StatusResults,
    ) -> Result<(), capnp::Error> {
        let json = self.ask(event::SchedulerEvent::Status).await?;
        results.get().set_json(&json);
        Ok(())
    }
}
