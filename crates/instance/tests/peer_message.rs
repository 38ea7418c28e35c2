//! Encoding of messages between instances: round trips, malformed datagrams, and sizes.

use proptest::prelude::*;
use slipturn_core::engine_place::{
    JobId, PlaceAnswer, PlaceEnd, PlaceGrant, PlaceLease, PlaceNote, PlacementRequest,
};
use slipturn_core::member_heartbeat::ShortHeartbeat;
use slipturn_core::planner_key::PlannerKey;
use slipturn_core::request_origin::{RequestIdentity, RequestOrigin};
use slipturn_core::{
    ids,
    quarantine::MAX_SUSPECTS,
    quota_permit::{PermitRequest, PermitResponse, QuotaSubject},
    request_digest::RequestDigest,
    retry_need::RetryNeed,
    share_factors, units,
    upstream_speed::{RelativeTime, SpeedReport},
};
use slipturn_instance::peer_message::{
    LeavingReport, LimitReport, MAX_DATAGRAM, MAX_LEASES, MAX_LEAVING, MAX_LIMITS, MAX_RENEWED,
    MAX_SPEEDS, PeerMessage, PermitRequestMessage, RenewedJob, RequestAnswer, ShareFactorReport,
};

fn name(text: &str) -> slipturn_core::ids::UpstreamId {
    text.parse().expect("a valid name")
}

fn key() -> PlannerKey {
    PlannerKey { service: "models".parse().expect("a valid name"), cell: 3 }
}

fn lease(sequence: u64) -> PlaceLease {
    let job = JobId { boot: u64::MAX, sequence };
    let request = PlacementRequest {
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
        origin: None,
    };
    let grant = PlaceGrant {
        job,
        engine: name("i-0123456789ab"),
        helpers: vec![name("i-0123456789ab"); 16],
        held: Vec::new(),
        first_token_ms: u32::MAX,
        waited_ms: u32::MAX,
    };
    PlaceLease { request, grant, prefilling: true }
}

/// A lease whose numbers of tokens are the largest that a member accepts.
fn bounded_lease(sequence: u64) -> PlaceLease {
    let mut lease = lease(sequence);
    (lease.request.prompt, lease.request.output) = (units::MAX_TOKENS, units::MAX_TOKENS);
    lease
}

/// Guards against sums of tokens that overflow, as members claim any number.
#[test]
fn claimed_numbers_of_tokens_are_bounded_as_they_are_decoded() {
    let message = PeerMessage::Leases(key(), vec![lease(1)]);
    let bytes = message.encode().expect("a message that can be encoded");
    let bounded = PeerMessage::Leases(key(), vec![bounded_lease(1)]);
    assert_eq!(PeerMessage::decode(&bytes).expect("a valid message"), bounded);
}

#[test]
fn messages_survive_encoding_and_decoding() {
    let planner_key = key();
    let job = JobId { boot: 1, sequence: 2 };
    let messages = [
        PeerMessage::Leases(planner_key.clone(), vec![bounded_lease(1), bounded_lease(2)]),
        PeerMessage::Renew(
            planner_key.clone(),
            7,
            vec![RenewedJob { sequence: 2, prefilling: true }],
        ),
        PeerMessage::Unknown(planner_key.clone(), vec![2, 900]),
        PeerMessage::Who,
        PeerMessage::Note(planner_key.clone(), PlaceNote::Ended(job, PlaceEnd::Silent)),
        PeerMessage::Note(planner_key.clone(), PlaceNote::Eject(name("e1"))),
        PeerMessage::Ask(planner_key, Box::new(bounded_lease(3).request)),
    ];
    for message in messages {
        let bytes = message.encode().expect("a message that can be encoded");
        assert_eq!(PeerMessage::decode(&bytes).expect("a valid message"), message);
    }
}

#[test]
fn the_largest_lease_and_renewal_messages_fit_a_datagram() {
    let planner_key = key();
    let leases = (0..MAX_LEASES as u64).map(lease).collect();
    let bytes =
        PeerMessage::Leases(planner_key, leases).encode().expect("a message that can be encoded");
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    let jobs = vec![RenewedJob { sequence: u64::MAX, prefilling: true }; MAX_RENEWED];
    let bytes = PeerMessage::Renew(key(), 1, jobs).encode().expect("a message that can be encoded");
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
}

proptest! {
    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        // Random bytes may happen to be a valid message, so only a panic is a failure.
        let _ = PeerMessage::decode(&bytes);
    }
}

#[test]
fn messages_sent_for_each_request_are_small() {
    let short_request =
        PlacementRequest { prompt: 5_000, output: 1_700, excluded: Vec::new(), ..lease(7).request };
    let grant = PlaceGrant { helpers: Vec::new(), ..lease(7).grant };
    let answer = PlaceAnswer::Grant(grant);
    let job = lease(7).request.job;
    // The sequence number after a day at 13 requests a second.
    let renewed = RenewedJob { sequence: 1_200_000, prefilling: false };
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
        (PeerMessage::Ask(key(), Box::new(short_request)), 96),
        (PeerMessage::Answer(Box::new(answer)), 64),
        (PeerMessage::Alive(alive), 24),
        (PeerMessage::Renew(key(), u64::MAX, vec![renewed; 10]), 64),
        (PeerMessage::Note(key(), PlaceNote::FirstToken(job, Some(12))), 32),
        (PeerMessage::Note(key(), PlaceNote::Ended(job, PlaceEnd::Done)), 32),
    ];
    for (message, limit) in messages {
        let bytes = message.encode().expect("a message that can be encoded");
        assert!(bytes.len() <= limit, "{} bytes: {message:?}", bytes.len());
        println!("{} bytes", bytes.len());
    }
}

/// The largest messages about upstreams, with the longest names: a request that excludes a whole cell of engines, and a
/// message with the largest number of leaving engines.
/// Guards against a position of the variant that would make older members take it for another message, and against
/// speeds that members cannot read.
#[test]
fn speeds_are_the_last_variant_and_fit_a_datagram() {
    let report = |number: usize| SpeedReport {
        upstream: name(&format!("i-0123456789ab{number:03}@1764633600000")),
        relative: RelativeTime::MEAN,
        samples: 16,
    };
    let message = PeerMessage::Speeds((0..MAX_SPEEDS).map(report).collect());
    let bytes = message.encode().expect("a message that can be encoded");
    assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    assert_eq!(PeerMessage::decode(&bytes).expect("a valid message"), message);
    // The variants before have the numbers 0 to 28.
    assert_eq!(bytes[0], 29);
    let last = bytes.len() - 1;
    let mut invalid = bytes;
    // The ratio of the last report, before its number of samples: not a number.
    invalid[last - 4..last].copy_from_slice(&f32::NAN.to_le_bytes());
    assert!(PeerMessage::decode(&invalid).is_err());
}

/// Guards against positions of the variants that would make older members take them for other messages.
#[test]
fn questions_about_requests_are_the_last_variants_and_fit_a_datagram() {
    let digest = |number: usize| RequestDigest::of("GET", &format!("/a/{number}"), None, b"");
    let query =
        PeerMessage::RequestQuery((0..MAX_SUSPECTS).map(|at| (digest(at), u64::MAX)).collect());
    let answer = |number: usize| RequestAnswer {
        digest: digest(number),
        age_us: Some(u64::MAX),
        rate: 1_000.5,
    };
    let answers = PeerMessage::RequestAnswers((0..MAX_SUSPECTS).map(answer).collect());
    for (message, position) in [(query, 31), (answers, 32)] {
        let bytes = message.encode().expect("a message that can be encoded");
        assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
        assert_eq!(bytes[0], position);
        assert_eq!(PeerMessage::decode(&bytes).expect("a valid message"), message);
    }
}

#[test]
fn messages_about_many_upstreams_fit_a_datagram() {
    let longest_name = name("i-0123456789ab@1764633600000");
    let placement_request =
        PlacementRequest { excluded: vec![longest_name.clone(); 140], ..lease(1).request };
    let request = PeerMessage::Ask(key(), Box::new(placement_request))
        .encode()
        .expect("a message that can be encoded");
    let report = LeavingReport { upstream: longest_name, age_ms: 9_999_999 };
    let full_message = PeerMessage::Leaving(vec![report.clone(); MAX_LEAVING]);
    let full_message = full_message.encode().expect("a message that can be encoded");
    let single_message =
        PeerMessage::Leaving(vec![report]).encode().expect("a message that can be encoded");
    println!(
        "{} bytes of a request, {} and {} bytes of leaving upstreams",
        request.len(),
        single_message.len(),
        full_message.len()
    );
    assert!(request.len() < MAX_DATAGRAM && full_message.len() < MAX_DATAGRAM);
    assert!(single_message.len() <= 40);
}

/// Limits, requests for permits and their responses take few bytes each, and a message with the largest number of limits
/// fits a datagram.
#[test]
fn messages_about_limits_are_small() {
    let upstream = name("i-0123456789ab@1764633600000");
    let rate = Some("2.6".parse().expect("a rate"));
    let (asked_us, heard_us) = (9_999_999, 9_999_998);
    let report = LimitReport { upstream: upstream.clone(), rate, asked_us, heard_us };
    let full_message = PeerMessage::Limits(vec![report.clone(); MAX_LIMITS]);
    assert!(full_message.encode().expect("a message that can be encoded").len() < MAX_DATAGRAM);
    let request = PermitRequest { wanted: 9, patience_ms: 300 };
    let subject = QuotaSubject::Upstream(upstream);
    let (number, boot) = (90_000, u64::MAX);
    let limit_message =
        PermitRequestMessage { number, boot, subject, request, known: Some(report.clone()) };
    let subject = QuotaSubject::Retries("plain".parse().expect("a name"), RetryNeed::Early);
    let retry_message = PermitRequestMessage { number, boot, subject, request, known: None };
    let granted = PermitResponse::Granted { count: 1, wait_ms: 200 };
    let messages = [
        (PeerMessage::Limits(vec![report]), 64),
        (PeerMessage::RequestPermit(Box::new(limit_message)), 112),
        (PeerMessage::RequestPermit(Box::new(retry_message)), 48),
        (PeerMessage::Permit(90_000, granted), 16),
    ];
    for (message, limit) in messages {
        let bytes = message.encode().expect("a message that can be encoded");
        println!("{} bytes", bytes.len());
        assert!(bytes.len() <= limit, "{} bytes: {message:?}", bytes.len());
        assert_eq!(PeerMessage::decode(&bytes).expect("a valid message"), message);
    }
}

/// Guards against origins that break members of a version without them: these decode the message alone, and ignore what
/// follows it.
#[test]
fn origins_follow_the_message_and_are_ignored_by_members_without_them() {
    let origin = |number: u64| {
        Some(RequestOrigin {
            customer: "bluebonnet".parse().expect("a valid name"),
            class: "draft".parse().expect("a valid name"),
            weight: 2.0,
            identity: RequestIdentity(number),
        })
    };
    let with_origin = |number| {
        let mut lease = bounded_lease(number);
        lease.request.origin = origin(number);
        lease
    };
    let messages = [
        PeerMessage::Ask(key(), Box::new(with_origin(1).request)),
        PeerMessage::Leases(key(), vec![with_origin(1), bounded_lease(2), with_origin(3)]),
    ];
    for message in messages {
        let bytes = message.encode().expect("an encodable message");
        assert_eq!(PeerMessage::decode(&bytes).expect("a valid message"), message);
        // `postcard::from_bytes` is what members of the version before use.
        let without: PeerMessage = postcard::from_bytes(&bytes).expect("a valid message");
        let plain = without.encode().expect("an encodable message");
        assert_eq!(bytes[..plain.len()], plain);
        assert!(bytes.len() > plain.len());
        for cut in plain.len() + 1..bytes.len() {
            assert!(PeerMessage::decode(&bytes[..cut]).is_err(), "cut at {cut}");
        }
    }
}

/// Guards against factors that a member cannot send because one datagram does not hold all of them.
#[test]
fn all_temporary_weights_fit_a_datagram_with_the_longest_names() {
    let report = ShareFactorReport {
        customer: "c".repeat(ids::MAX_NAME_LENGTH).parse().expect("a valid name"),
        factor: 0.3,
        revision: u64::MAX,
        left_ms: u64::MAX,
    };
    let message = PeerMessage::ShareFactors(vec![report; share_factors::MAX_FACTORS]);
    let bytes = message.encode().expect("a message that can be encoded");
    assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::decode(&bytes).expect("a valid message"), message);
}
