//! RPC connections to schedulers.
//!
//! A place is the assignment of an attempt of a request to an engine. A scheduler grants it with a
//! lease, which the entry renews while the attempt runs.

use std::{cell, collections, net as std_net, rc, time};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt as _;
use monoio::net;
use slipturn_core::{budget, ids, key_vote, placement, refusal, units};
use slipturn_wire::{convert, scheduler_capnp};
use snafu::Snafu;
use tokio_util::compat::TokioAsyncReadCompatExt as _;

/// Timeout for establishing a connection to a scheduler.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Timeout for a call that the scheduler answers without waiting.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Timeout for a vote. It is short because a request waits for two rounds of votes.
const VOTE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Timeout for documents that are requested without a wait. It is short because there are other sources.
const IMMEDIATE_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time allowed for the answer to an acquire or watch call, in addition to the wait that the call
/// asks for.
const WAIT_MARGIN: time::Duration = time::Duration::from_millis(1_500);

/// Error of a call to a scheduler.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The connection could not be established; the call was not sent.
    #[snafu(display("cannot connect to scheduler {address}: {reason}"))]
    NotConnected {
        /// Address of the scheduler.
        address: std_net::SocketAddr,
        /// Error of the operating system, or `timed out`.
        reason: String,
    },
    /// The call failed, or its answer could not be decoded.
    #[snafu(display("scheduler {address}: {reason}"))]
    Failed {
        /// Address of the scheduler.
        address: std_net::SocketAddr,
        /// Error of the RPC library, or of the decoding of the answer.
        reason: String,
    },
    /// The scheduler did not answer within the timeout. It may have carried out the call.
    #[snafu(display("scheduler {address} did not answer within {limit:?}"))]
    TimedOut {
        /// Address of the scheduler.
        address: std_net::SocketAddr,
        /// Timeout of the call.
        limit: time::Duration,
    },
}

/// Newer documents, as received from a scheduler or from the platform.
#[derive(Debug, Clone, Default)]
pub struct DocumentUpdate {
    /// Text of the settings document, if there is one newer than the receiver's.
    pub settings: Option<String>,
    /// Text of the list document, if there is one newer than the receiver's.
    pub list: Option<String>,
    /// Time since a source last confirmed the settings of the sending scheduler; zero if the
    /// platform sent the documents.
    pub age: time::Duration,
}

/// Versions of the documents that the requesting process has. Only newer ones are sent to it.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownDocuments {
    /// Version of the settings document; zero if the process has none.
    pub settings: u64,
    /// Revision of the list document; zero if the process has none.
    pub list: u64,
}

/// A connection to one scheduler. The first call opens it; after a disconnection or a timeout, the
/// next call opens a new one.
pub struct SchedulerLink {
    address: std_net::SocketAddr,
    client: cell::RefCell<Option<scheduler_capnp::scheduler::Client>>,
}

impl SchedulerLink {
    fn new(address: std_net::SocketAddr) -> Self {
        Self { address, client: cell::RefCell::new(None) }
    }

    /// Asks for an engine's offer for a request: its expected time to the first token and its load.
    pub async fn offer(
        &self,
        engine: &ids::EngineId,
        request: &placement::CapacityRequest,
        now: units::MonoTime,
    ) -> Result<Result<placement::EngineOffer, refusal::RequestRefusal>, LinkError> {
        self.call(CALL_TIMEOUT, async |client| {
            let mut call = client.offer_request();
            convert::write_place(call.get().init_place(), engine, request, now);
            let reply = call.send().promise.await?;
            Ok(convert::read_offer(reply.get()?.get_reply()?)?)
        })
        .await
    }

    /// Waits for a place on an engine, at most until the request's queue deadline or deadline.
    /// Returns the priority to send to the engine, or the scheduler's refusal.
    pub async fn acquire(
        &self,
        engine: &ids::EngineId,
        request: &placement::CapacityRequest,
        now: units::MonoTime,
    ) -> Result<Result<u8, refusal::RequestRefusal>, LinkError> {
        let limit = request.queue_deadline.min(request.deadline).since(now) + WAIT_MARGIN;
        self.call(limit, async |client| {
            let mut call = client.acquire_request();
            convert::write_place(call.get().init_place(), engine, request, now);
            let reply = call.send().promise.await?;
            Ok(convert::read_place_reply(reply.get()?.get_reply()?)?)
        })
        .await
    }

    /// Releases an attempt's place, or removes the attempt from the engine's queue.
    pub async fn release(
        &self,
        engine: &ids::EngineId,
        attempt: &ids::AttemptId,
    ) -> Result<(), LinkError> {
        self.call(CALL_TIMEOUT, async |client| {
            let mut call = client.release_request();
            call.get().set_engine(engine.as_str());
            call.get().set_attempt(attempt.as_str());
            call.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Renews the leases of the attempts that the entry is running on the scheduler's engines. The
    /// entry's other leases end: those of the same `boot` once they have not been renewed for the
    /// ledger's `RELEASE_LAG`, those of another `boot` at once.
    pub async fn renew(
        &self,
        entry: &ids::InstanceId,
        boot: ids::BootId,
        places: &[(ids::EngineId, placement::CapacityRequest)],
        now: units::MonoTime,
    ) -> Result<(), LinkError> {
        self.call(CALL_TIMEOUT, async |client| {
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

    /// Draws a portion of a customer's budget from the scheduler that holds the customer's token
    /// bucket. If the budget is exhausted, returns the time until a portion is available.
    pub async fn draw(
        &self,
        customer: &ids::CustomerId,
        limit: budget::BudgetLimit,
        want: units::TokenCount,
    ) -> Result<Result<budget::BudgetPortion, budget::BudgetExhausted>, LinkError> {
        self.call(CALL_TIMEOUT, async |client| {
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

    /// Requests a vote on an idempotency key for a request.
    pub async fn vote(
        &self,
        key: &key_vote::ScopedKey,
        request: &ids::RequestId,
    ) -> Result<key_vote::VoteAnswer, LinkError> {
        self.call(VOTE_TIMEOUT, async |client| {
            let mut call = client.vote_request();
            call.get().set_key(&key.0);
            call.get().set_asker(request.as_str());
            let reply = call.send().promise.await?;
            Ok(convert::read_vote(reply.get()?.get_reply()?)?)
        })
        .await
    }

    /// Waits up to `wait` for documents newer than `known`.
    pub async fn watch(
        &self,
        known: KnownDocuments,
        wait: time::Duration,
    ) -> Result<DocumentUpdate, LinkError> {
        let margin = if wait.is_zero() { IMMEDIATE_WATCH_TIMEOUT } else { WAIT_MARGIN };
        self.call(wait + margin, async |client| {
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

    /// Returns the scheduler's status for operators as JSON.
    pub async fn status(&self) -> Result<String, LinkError> {
        self.call(CALL_TIMEOUT, async |client| {
            let reply = client.status_request().send().promise.await?;
            Ok(convert::read_text(reply.get()?.get_json()?)?.to_owned())
        })
        .await
    }

    /// Runs one call, which fails after `limit`. After a disconnection or a timeout the next call
    /// opens a new connection.
    async fn call<T>(
        &self,
        limit: time::Duration,
        operation: impl AsyncFnOnce(scheduler_capnp::scheduler::Client) -> Result<T, capnp::Error>,
    ) -> Result<T, LinkError> {
        let address = self.address;
        let client = self.connected().await?;
        match monoio::time::timeout(limit, operation(client)).await {
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
        let stream = match monoio::time::timeout(CONNECT_TIMEOUT, connecting).await {
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

/// Links to schedulers, at most one for each address.
#[derive(Default)]
pub struct LinkPool {
    links: cell::RefCell<collections::HashMap<std_net::SocketAddr, rc::Rc<SchedulerLink>>>,
}

impl LinkPool {
    /// Returns the link to the scheduler at `address`, which is created on first use and connects
    /// on its first call.
    pub fn link(&self, address: std_net::SocketAddr) -> rc::Rc<SchedulerLink> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_insert_with(|| rc::Rc::new(SchedulerLink::new(address)));
        rc::Rc::clone(link)
    }

    /// Removes the links to addresses for which `listed` returns false.
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

/// Serves the connection of an entry or another scheduler until it ends.
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
    // Without `TCP_NODELAY`, the connection is slower but works, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let stream = monoio_compat::TcpStreamCompat::new(stream).compat();
    let (reader, writer) = stream.split();
    twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::default())
}
