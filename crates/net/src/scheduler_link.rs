//! Connections to schedulers, and the calls on them.

use std::{cell, collections, net as std_net, rc, time};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt as _;
use monoio::net;
use slipturn_core::{budget, ids, key_vote, placement, refusal, units};
use slipturn_wire::{convert, scheduler_capnp};
use snafu::Snafu;
use tokio_util::compat::TokioAsyncReadCompatExt as _;

/// Time for a connection to come about.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Time for an answer that needs no waiting at the other end.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(1_000);
/// Time for a vote: a call waits for two rounds of them.
const VOTE_LIMIT: time::Duration = time::Duration::from_millis(400);
/// Time for documents that are asked for without waiting; there are other sources.
const PROMPT_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Time for an answer beyond the wait that was asked for.
const WAIT_SLACK: time::Duration = time::Duration::from_millis(1_500);

/// Why a call of a scheduler has no answer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection.
    #[snafu(display("cannot connect to scheduler {address}: {reason}"))]
    NotConnected {
        /// The scheduler.
        address: std_net::SocketAddr,
        /// Why.
        reason: String,
    },
    /// The call failed.
    #[snafu(display("scheduler {address}: {reason}"))]
    Failed {
        /// The scheduler.
        address: std_net::SocketAddr,
        /// Why.
        reason: String,
    },
    /// No answer in time.
    #[snafu(display("scheduler {address} did not answer within {limit:?}"))]
    TimedOut {
        /// The scheduler.
        address: std_net::SocketAddr,
        /// The time it had.
        limit: time::Duration,
    },
}

/// Documents of the platform as handed on by a scheduler.
#[derive(Debug, Clone, Default)]
pub struct DocumentUpdate {
    /// Newer settings, if there are any.
    pub settings: Option<String>,
    /// A newer list, if there is one.
    pub list: Option<String>,
    /// How long ago the scheduler's own copy was confirmed.
    pub age: time::Duration,
}

/// What the holder of documents has, so that only newer ones are sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownDocuments {
    /// Version of the settings.
    pub settings: u64,
    /// Revision of the list.
    pub list: u64,
}

/// A connection to one scheduler, made when first needed and again after a failure.
pub struct SchedulerLink {
    address: std_net::SocketAddr,
    client: cell::RefCell<Option<scheduler_capnp::scheduler::Client>>,
}

impl SchedulerLink {
    fn new(address: std_net::SocketAddr) -> Self {
        Self { address, client: cell::RefCell::new(None) }
    }

    /// Asks what an engine could do for a request.
    pub async fn offer(
        &self,
        engine: &ids::EngineId,
        request: &placement::PlaceRequest,
        now: units::MonoTime,
    ) -> Result<Result<placement::EngineOffer, refusal::RequestRefusal>, LinkError> {
        self.call(ANSWER_LIMIT, async |client| {
            let mut call = client.offer_request();
            convert::write_place(call.get().init_place(), engine, request, now);
            let reply = call.send().promise.await?;
            Ok(convert::read_offer(reply.get()?.get_reply()?)?)
        })
        .await
    }

    /// Waits for a place on an engine; answers with the priority to send to it.
    pub async fn acquire(
        &self,
        engine: &ids::EngineId,
        request: &placement::PlaceRequest,
        now: units::MonoTime,
    ) -> Result<Result<u8, refusal::RequestRefusal>, LinkError> {
        let limit = request.patience.min(request.deadline).since(now) + WAIT_SLACK;
        self.call(limit, async |client| {
            let mut call = client.acquire_request();
            convert::write_place(call.get().init_place(), engine, request, now);
            let reply = call.send().promise.await?;
            Ok(convert::read_place_reply(reply.get()?.get_reply()?)?)
        })
        .await
    }

    /// Gives a place back.
    pub async fn release(
        &self,
        engine: &ids::EngineId,
        attempt: &ids::AttemptId,
    ) -> Result<(), LinkError> {
        self.call(ANSWER_LIMIT, async |client| {
            let mut call = client.release_request();
            call.get().set_engine(engine.as_str());
            call.get().set_attempt(attempt.as_str());
            call.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Says which attempts an entry streams from the scheduler's engines.
    pub async fn renew(
        &self,
        entry: &ids::InstanceId,
        boot: ids::BootId,
        places: &[(ids::EngineId, placement::PlaceRequest)],
        now: units::MonoTime,
    ) -> Result<(), LinkError> {
        self.call(ANSWER_LIMIT, async |client| {
            let mut call = client.renew_request();
            call.get().set_entry(entry.as_str());
            call.get().set_boot(boot.0);
            let count = u32::try_from(places.len()).unwrap_or(u32::MAX);
            let mut list = call.get().init_places(count);
            for (index, (engine, request)) in (0..count).zip(places) {
                convert::write_place(list.reborrow().get(index), engine, request, now);
            }
            call.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Draws a portion of a customer's budget.
    pub async fn draw(
        &self,
        customer: &ids::CustomerId,
        limit: budget::BudgetLimit,
        want: units::TokenCount,
    ) -> Result<Result<budget::BudgetPortion, budget::BudgetExhausted>, LinkError> {
        self.call(ANSWER_LIMIT, async |client| {
            let mut call = client.draw_request();
            call.get().set_customer(customer.as_str());
            call.get().set_rate(limit.rate.0);
            call.get().set_burst(limit.burst.0);
            call.get().set_want(want.0);
            let reply = call.send().promise.await?;
            Ok(convert::read_portion(reply.get()?.get_reply()?)?)
        })
        .await
    }

    /// Asks for a vote on an idempotency key.
    pub async fn vote(
        &self,
        key: &key_vote::ScopedKey,
        asker: &ids::RequestId,
    ) -> Result<key_vote::VoteAnswer, LinkError> {
        self.call(VOTE_LIMIT, async |client| {
            let mut call = client.vote_request();
            call.get().set_key(&key.0);
            call.get().set_asker(asker.as_str());
            let reply = call.send().promise.await?;
            Ok(convert::read_vote(reply.get()?.get_reply()?)?)
        })
        .await
    }

    /// Waits for documents newer than the ones known.
    pub async fn watch(
        &self,
        known: KnownDocuments,
        wait: time::Duration,
    ) -> Result<DocumentUpdate, LinkError> {
        let slack = if wait.is_zero() { PROMPT_LIMIT } else { WAIT_SLACK };
        self.call(wait + slack, async |client| {
            let mut call = client.watch_request();
            call.get().set_settings_version(known.settings);
            call.get().set_list_revision(known.list);
            call.get().set_wait_ms(units::whole_millis(wait));
            let reply = call.send().promise.await?;
            let documents = reply.get()?.get_documents()?;
            let newer = |version: u64, known: u64, text: &str| {
                (version > known && !text.is_empty()).then(|| text.to_owned())
            };
            let settings = convert::read_text(documents.get_settings()?)?;
            let list = convert::read_text(documents.get_list()?)?;
            Ok(DocumentUpdate {
                settings: newer(documents.get_settings_version(), known.settings, settings),
                list: newer(documents.get_list_revision(), known.list, list),
                age: time::Duration::from_millis(documents.get_age_ms()),
            })
        })
        .await
    }

    /// The scheduler's state for operators, as JSON.
    pub async fn status(&self) -> Result<String, LinkError> {
        self.call(ANSWER_LIMIT, async |client| {
            let reply = client.status_request().send().promise.await?;
            Ok(convert::read_text(reply.get()?.get_json()?)?.to_owned())
        })
        .await
    }

    /// Runs one call; any failure closes the connection, so that the next call makes a new one.
    async fn call<T>(
        &self,
        limit: time::Duration,
        work: impl AsyncFnOnce(scheduler_capnp::scheduler::Client) -> Result<T, capnp::Error>,
    ) -> Result<T, LinkError> {
        let address = self.address;
        let client = self.connected().await?;
        match monoio::time::timeout(limit, work(client)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => {
                if error.kind == capnp::ErrorKind::Disconnected {
                    self.client.replace(None);
                }
                FailedSnafu { address, reason: error.to_string() }.fail()
            }
            Err(_) => {
                self.client.replace(None);
                TimedOutSnafu { address, limit }.fail()
            }
        }
    }

    async fn connected(&self) -> Result<scheduler_capnp::scheduler::Client, LinkError> {
        if let Some(client) = self.client.borrow().as_ref() {
            return Ok(client.clone());
        }
        let address = self.address;
        let connecting = net::TcpStream::connect_addr(address);
        let stream = match monoio::time::timeout(CONNECT_LIMIT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                return NotConnectedSnafu { address, reason: error.to_string() }.fail();
            }
            Err(_) => {
                return NotConnectedSnafu { address, reason: "timed out" }.fail();
            }
        };
        let client = start_client(stream);
        *self.client.borrow_mut() = Some(client.clone());
        Ok(client)
    }
}

/// Links by address.
#[derive(Default)]
pub struct LinkPool {
    links: cell::RefCell<collections::HashMap<std_net::SocketAddr, rc::Rc<SchedulerLink>>>,
}

impl LinkPool {
    /// The link to a scheduler.
    pub fn link(&self, address: std_net::SocketAddr) -> rc::Rc<SchedulerLink> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_insert_with(|| rc::Rc::new(SchedulerLink::new(address)));
        rc::Rc::clone(link)
    }

    /// Forgets links to addresses that are no longer listed.
    pub fn retain(&self, listed: impl Fn(&std_net::SocketAddr) -> bool) {
        self.links.borrow_mut().retain(|address, _| listed(address));
    }
}

fn start_client(stream: net::TcpStream) -> scheduler_capnp::scheduler::Client {
    let network = network(stream, rpc_twoparty_capnp::Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    monoio::spawn(async move {
        if let Err(error) = system.await {
            log::debug!("scheduler link ended: {error}");
        }
    });
    client
}

/// Serves one connection of an entry or a scheduler until it ends.
pub async fn serve(stream: net::TcpStream, service: scheduler_capnp::scheduler::Client) {
    let network = network(stream, rpc_twoparty_capnp::Side::Server);
    let system = RpcSystem::new(Box::new(network), Some(service.client));
    if let Err(error) = system.await {
        log::debug!("connection of a peer ended: {error}");
    }
}

type ReadHalf = futures::io::ReadHalf<tokio_util::compat::Compat<monoio_compat::TcpStreamCompat>>;

fn network(
    stream: net::TcpStream,
    side: rpc_twoparty_capnp::Side,
) -> twoparty::VatNetwork<ReadHalf> {
    // A socket whose option cannot be set is slower, not wrong.
    let _ = stream.set_nodelay(true);
    let stream = monoio_compat::TcpStreamCompat::new(stream).compat();
    let (reader, writer) = stream.split();
    twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::default())
}
