//! Datagrams between instances: what is said arrives, and garbage is an error.

use proptest::prelude::*;
use slipturn_core::engine_place::{
    JobId, PlaceAnswer, PlaceAsk, PlaceEnd, PlaceGrant, PlaceLease, PlaceNote,
};
use slipturn_core::member_heartbeat::ShortHeartbeat;
use slipturn_core::planner_key::PlannerKey;
use slipturn_core::{
    quota_permit::{PermitRequest, PermitResponse, QuotaSubject},
    retry_need::RetryNeed,
};
use slipturn_instance::peer_message::{
    LeavingReport, LimitReport, MAX_DATAGRAM, MAX_LEASES, MAX_LEAVING, MAX_LIMITS, MAX_RENEWED,
    PeerMessage, PermitQuestion, RenewedJob,
};

fn name(text: &str) -> slipturn_core::ids::UpstreamId {
    text.parse().expect("a valid name")
}

fn key() -> PlannerKey {
    PlannerKey { service: "models".parse().expect("a valid name"), cell: 3 }
}

fn lease(sequence: u64) -> PlaceLease {
    let job = JobId { boot: u64::MAX, sequence };
    let ask = PlaceAsk {
        job,
        prompt: u64::MAX,
        output: u64::MAX,
        pause_ms: u32::MAX,
        goal_ms: u32::MAX,
        goal_left_ms: u32::MAX,
        patience_ms: u32::MAX,
        tight: false,
        worth: 1.0,
        refusable: true,
        resumed: false,
        excluded: vec![name("i-0123456789ab"); 4],
    };
    let grant = PlaceGrant {
        job,
        engine: name("i-0123456789ab"),
        helpers: vec![name("i-0123456789ab"); 16],
        held: Vec::new(),
        first_token_ms: u32::MAX,
        waited_ms: u32::MAX,
    };
    PlaceLease { ask, grant, reading: true }
}

#[test]
fn messages_arrive_as_they_were_said() {
    let service = key();
    let job = JobId { boot: 1, sequence: 2 };
    let messages = [
        PeerMessage::Leases(service.clone(), vec![lease(1), lease(2)]),
        PeerMessage::Renew(service.clone(), 7, vec![RenewedJob { sequence: 2, reading: true }]),
        PeerMessage::Unknown(service.clone(), vec![2, 900]),
        PeerMessage::Who,
        PeerMessage::Note(service.clone(), PlaceNote::Ended(job, PlaceEnd::Silent)),
        PeerMessage::Note(service.clone(), PlaceNote::Eject(name("e1"))),
        PeerMessage::Ask(service, Box::new(lease(3).ask)),
    ];
    for message in messages {
        let bytes = message.encode().expect("it can be coded");
        assert_eq!(PeerMessage::decode(&bytes).expect("it can be read"), message);
    }
}

#[test]
fn the_largest_message_fits_a_datagram() {
    let service = key();
    let leases = (0..MAX_LEASES as u64).map(lease).collect();
    let bytes = PeerMessage::Leases(service, leases).encode().expect("it can be coded");
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    let jobs = vec![RenewedJob { sequence: u64::MAX, reading: true }; MAX_RENEWED];
    let bytes = PeerMessage::Renew(key(), 1, jobs).encode().expect("it can be coded");
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
}

proptest! {
    #[test]
    fn garbage_is_an_error_and_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        // Whether it happens to be a message does not matter; that it returns does.
        let _ = PeerMessage::decode(&bytes);
    }
}

#[test]
fn what_each_request_says_is_small() {
    let short = PlaceAsk { prompt: 5_000, output: 1_700, excluded: Vec::new(), ..lease(7).ask };
    let grant = PlaceGrant { helpers: Vec::new(), ..lease(7).grant };
    let answer = PlaceAnswer::Grant(grant);
    let job = lease(7).ask.job;
    // After a day at 13 requests a second.
    let renewed = RenewedJob { sequence: 1_200_000, reading: false };
    let alive = ShortHeartbeat {
        boot: u64::MAX,
        sequence: 13_000,
        plans: true,
        leaving: false,
        watches: false,
        routes: 9_000,
        list: 100_000.into(),
    };
    let messages = [
        (PeerMessage::Ask(key(), Box::new(short)), 96),
        (PeerMessage::Answer(Box::new(answer)), 64),
        (PeerMessage::Alive(alive), 24),
        (PeerMessage::Renew(key(), u64::MAX, vec![renewed; 10]), 64),
        (PeerMessage::Note(key(), PlaceNote::FirstToken(job, Some(12))), 32),
        (PeerMessage::Note(key(), PlaceNote::Ended(job, PlaceEnd::Done)), 32),
    ];
    for (message, most) in messages {
        let bytes = message.encode().expect("it can be coded");
        assert!(bytes.len() <= most, "{} bytes: {message:?}", bytes.len());
        println!("{} bytes", bytes.len());
    }
}

/// Members' largest words on upstreams: a whole cell of engines that one must not use, and a message full of
/// engines that leave, with starts that are told.
#[test]
fn words_on_upstreams_fit_a_datagram() {
    let named = name("i-0123456789ab@1764633600000");
    let ask = PlaceAsk { excluded: vec![named.clone(); 140], ..lease(1).ask };
    let asked = PeerMessage::Ask(key(), Box::new(ask)).encode().expect("it can be coded");
    let report = LeavingReport { upstream: named, age_ms: 9_999_999 };
    let full = PeerMessage::Leaving(vec![report.clone(); MAX_LEAVING]);
    let full = full.encode().expect("it can be coded");
    let one = PeerMessage::Leaving(vec![report]).encode().expect("it can be coded");
    println!("{} bytes asked, {} and {} bytes of leaving", asked.len(), one.len(), full.len());
    assert!(asked.len() < MAX_DATAGRAM && full.len() < MAX_DATAGRAM);
    assert!(one.len() <= 40);
}

/// Limits, questions for leave and their answers: few bytes each, and a message full of limits fits.
#[test]
fn words_on_limits_are_small() {
    let upstream = name("i-0123456789ab@1764633600000");
    let rate = Some("2.6".parse().expect("a rate"));
    let (asked_us, heard_us) = (9_999_999, 9_999_998);
    let known = LimitReport { upstream: upstream.clone(), rate, asked_us, heard_us };
    let full = PeerMessage::Limits(vec![known.clone(); MAX_LIMITS]);
    assert!(full.encode().expect("it can be coded").len() < MAX_DATAGRAM);
    let ask = PermitRequest { wanted: 9, patience_ms: 300 };
    let subject = QuotaSubject::Upstream(upstream);
    let (number, boot) = (90_000, u64::MAX);
    let question = PermitQuestion { number, boot, subject, ask, known: Some(known.clone()) };
    let subject = QuotaSubject::Retries("plain".parse().expect("a name"), RetryNeed::Early);
    let retry = PermitQuestion { number, boot, subject, ask, known: None };
    let given = PermitResponse::Granted { count: 1, wait_ms: 200 };
    let messages = [
        (PeerMessage::Limits(vec![known]), 64),
        (PeerMessage::RequestPermit(Box::new(question)), 112),
        (PeerMessage::RequestPermit(Box::new(retry)), 48),
        (PeerMessage::Permit(90_000, given), 16),
    ];
    for (message, most) in messages {
        let bytes = message.encode().expect("it can be coded");
        println!("{} bytes", bytes.len());
        assert!(bytes.len() <= most, "{} bytes: {message:?}", bytes.len());
        assert_eq!(PeerMessage::decode(&bytes).expect("it can be read"), message);
    }
}
