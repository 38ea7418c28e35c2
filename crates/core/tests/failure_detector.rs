//! How soon all members know that one is silent, and at which cost: three protocols in virtual time.
//!
//! Heartbeats from all to all; probes of a random member whose results travel with other probes; and probes
//! along a ring whose results are announced, which is the one in use.

#[path = "support/virtual_fleet.rs"]
mod virtual_fleet;

use std::time;

use virtual_fleet::{Protocol, VirtualFleet};

const SIZES: [usize; 5] = [6, 60, 300, 585, 1_170];
/// Part of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Time within which all know that a member is silent.
const KNOWN_TIME: time::Duration = time::Duration::from_secs(3);
/// Datagrams that a member sends a second at most, at any size.
const MOST_SENT: f64 = 16.0;

fn seconds(time: Option<time::Duration>) -> String {
    time.map_or_else(|| "never".to_owned(), |time| format!("{:.2} s", time.as_secs_f64()))
}

#[test]
fn a_silent_member_is_known_to_all_in_a_time_that_does_not_grow() {
    for protocol in [Protocol::Heartbeats, Protocol::RandomProbes, Protocol::RingProbes] {
        for members in SIZES {
            let mut fleet = VirtualFleet::new(protocol, members, LOSS, 7);
            fleet.run(time::Duration::from_secs(3));
            let sent = fleet.sent_per_member();
            fleet.silence(&[members / 2]);
            let most = fleet.until_part_known(0.99, time::Duration::from_secs(100));
            let more = fleet.until_part_known(1.0, time::Duration::from_secs(100));
            let known = most.zip(more).map(|(most, more)| most + more);
            println!(
                "{protocol:?}, {members}: 99 of 100 {}, all {}, {sent:.1} sent a second",
                seconds(most),
                seconds(known)
            );
            if protocol == Protocol::RingProbes {
                assert!(known.is_some_and(|known| known <= KNOWN_TIME), "{members}: {known:?}");
                assert!(sent <= MOST_SENT, "{members}: {sent:.1} sent a second");
            }
        }
    }
}

/// A third of the fleet is cut off: each side learns of the other, and of its return.
#[test]
fn both_sides_of_a_cut_know_each_other_as_silent_and_then_as_back() {
    for members in [60, 300, 585] {
        let mut fleet = VirtualFleet::new(Protocol::RingProbes, members, LOSS, 11);
        fleet.run(time::Duration::from_secs(2));
        fleet.cut(0.3);
        let part = fleet.part_known_after(KNOWN_TIME);
        println!("{members}: {part:.4} of the pairs known as silent after {KNOWN_TIME:?}");
        assert!(part >= 0.99, "{members}: {part:.4}");
        fleet.heal();
        let left = fleet.suspected_after(KNOWN_TIME);
        println!("{members}: {left:.4} of the pairs still suspected {KNOWN_TIME:?} after");
        assert!(left <= 0.01, "{members}: {left:.4}");
    }
}

/// With a datagram in a hundred lost nobody is suspected falsely; a member that was paused is believed again.
#[test]
fn loss_alone_makes_nobody_suspected() {
    for members in [60, 585] {
        let mut fleet = VirtualFleet::new(Protocol::RingProbes, members, LOSS, 13);
        fleet.run(time::Duration::from_secs(30));
        assert_eq!(fleet.suspicions(), 0, "{members}");
        fleet.silence(&[3]);
        fleet.run(time::Duration::from_secs(4));
        assert_eq!(fleet.suspicions(), members - 1, "{members}");
        fleet.wake(3);
        fleet.run(KNOWN_TIME);
        assert!(fleet.suspicions() <= members / 50, "{members}: {}", fleet.suspicions());
    }
}

/// Half the members end at once, monitors of each other among them.
#[test]
fn members_that_end_together_with_their_monitors_are_noticed_by_others() {
    let members = 585;
    let mut fleet = VirtualFleet::new(Protocol::RingProbes, members, LOSS, 17);
    fleet.run(time::Duration::from_secs(2));
    let half: Vec<_> = (0..members).filter(|member| member % 2 == 0).collect();
    fleet.silence(&half);
    let known = fleet.until_part_known(0.99, time::Duration::from_secs(20));
    println!("half of {members}: 99 of 100 pairs {}", seconds(known));
    assert!(known.is_some_and(|known| known <= KNOWN_TIME), "{known:?}");
}
