//! Choice of the members that relay connections to upstreams.

use std::time;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use slipturn_core::{
    ids, member_heartbeat::MemberHeartbeat, relay_choice::RelayChoice, units::MonoTime,
};

/// Data centres of the members, which are numbered through them.
const DATA_CENTERS: [&str; 3] = ["a", "b", "c"];

fn member(number: usize) -> MemberHeartbeat {
    MemberHeartbeat {
        name: format!("i{number}").parse().expect("a valid name"),
        boot: number as u64,
        sequence: 1,
        address: "10.0.0.1:80".parse().expect("a valid address"),
        data_center: data_center(DATA_CENTERS[number % DATA_CENTERS.len()]),
        cpu: 250,
        plans: true,
        leaving: false,
        routes: 1,
        list: Default::default(),
        watches: true,
        others: Vec::new(),
    }
}

fn data_center(name: &str) -> ids::DataCenterId {
    name.parse().expect("a valid name")
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_span(time::Duration::from_millis(millis))
}

fn choose<'a>(
    choice: &RelayChoice,
    now: u64,
    members: &'a [MemberHeartbeat],
    random: &mut ChaCha8Rng,
) -> Vec<&'a MemberHeartbeat> {
    choice.choose(at(now), members.iter(), &data_center("a"), random)
}

#[test]
fn the_first_member_is_near_and_the_second_in_another_data_center() {
    let members: Vec<_> = (0..9).map(member).collect();
    let (choice, mut random) = (RelayChoice::default(), ChaCha8Rng::seed_from_u64(1));
    for _ in 0..100 {
        let chosen = choose(&choice, 0, &members, &mut random);
        assert_eq!(chosen.len(), 3);
        assert_eq!(chosen[0].data_center, data_center("a"));
        assert_ne!(chosen[1].data_center, data_center("a"));
    }
}

#[test]
fn members_that_leave_or_know_no_routes_are_not_asked() {
    let mut members: Vec<_> = (0..3).map(member).collect();
    members[0].leaving = true;
    members[1].routes = 0;
    let (choice, mut random) = (RelayChoice::default(), ChaCha8Rng::seed_from_u64(2));
    let chosen = choose(&choice, 0, &members, &mut random);
    assert_eq!(chosen, [&members[2]]);
}

#[test]
fn members_that_failed_come_last_for_two_seconds() {
    let members: Vec<_> = (0..4).map(member).collect();
    let (mut choice, mut random) = (RelayChoice::default(), ChaCha8Rng::seed_from_u64(3));
    choice.note_failure(at(0), &members[0].name);
    choice.note_failure(at(0), &members[3].name);
    for _ in 0..50 {
        let chosen = choose(&choice, 1_999, &members, &mut random);
        assert!(chosen[..2].iter().all(|member| member.data_center != data_center("a")));
    }
    assert_eq!(choose(&choice, 2_000, &members, &mut random)[0].data_center, data_center("a"));
    choice.note_failure(at(3_000), &members[0].name);
    choice.note_failure(at(3_000), &members[3].name);
    choice.note_success(&members[0].name);
    assert_eq!(choose(&choice, 3_001, &members, &mut random)[0], &members[0]);
}

/// Most members of a data centre are cut off: their requests must not concentrate on the few that are left there.
#[test]
fn relayed_connections_spread_over_all_members_that_relay() {
    const MEMBERS: usize = 585;
    const CONNECTIONS: usize = 20_000;
    let members: Vec<_> = (0..MEMBERS).map(member).collect();
    let mut random = ChaCha8Rng::seed_from_u64(4);
    // Of the 195 members in data centre `a`, all but 10 are cut off.
    let is_cut =
        |member: &MemberHeartbeat| member.data_center == data_center("a") && member.boot >= 30;
    let mut relayed = vec![0_usize; MEMBERS];
    let mut asked = 0;
    for connection in 0..CONNECTIONS {
        // Each member remembers failures on its own; a fresh one knows none, which is the worst case.
        let choice = RelayChoice::default();
        let chosen = choose(&choice, connection as u64, &members, &mut random);
        let found = chosen.iter().position(|member| !is_cut(member)).expect("one that relays");
        asked += found + 1;
        relayed[chosen[found].boot as usize] += 1;
    }
    let most = relayed.iter().max().copied().unwrap_or_default();
    let mean = CONNECTIONS as f64 / 400.0;
    println!("most {most}, mean {mean:.0}, asked {:.2}", asked as f64 / CONNECTIONS as f64);
    assert!((most as f64) < mean * 3.0, "{most} at one member, {mean:.0} on average");
    assert!(asked < CONNECTIONS * 2);
}
