//! Detection time and cost of three failure detection protocols, in virtual time.
//!
//! The protocols are heartbeats from all members to all; probes of a random member, whose results are piggybacked on other
//! probes; and probes along a ring, whose results are broadcast. Instances use the probes along a ring.

#[path = "support/virtual_fleet.rs"]
mod virtual_fleet;

use std::time;

use virtual_fleet::{Protocol, VirtualFleet};

/// Numbers of members of the simulated fleets.
const SIZES: [usize; 5] = [6, 60, 300, 585, 1_170];
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Time within which all members must detect that a member is silent.
const DETECTION_TIME: time::Duration = time::Duration::from_secs(3);
/// Most datagrams that a member may send per second, in a fleet of any size.
const MAX_SENT_PER_SECOND: f64 = 16.0;

fn seconds(time: Option<time::Duration>) -> String {
    time.map_or_else(|| "never".to_owned(), |time| format!("{:.2} s", time.as_secs_f64()))
}

#[test]
fn the_time_until_all_detect_a_silent_member_does_not_grow_with_the_fleet() {
    for protocol in [Protocol::Heartbeats, Protocol::RandomProbes, Protocol::RingProbes] {
        for members in SIZES {
            let mut fleet = VirtualFleet::new(protocol, members, LOSS, 7);
            fleet.run(time::Duration::from_secs(3));
            let sent = fleet.sent_per_member();
            fleet.silence(&[members / 2]);
            let until_most = fleet.time_until_suspected(0.99, time::Duration::from_secs(100));
            let remaining = fleet.time_until_suspected(1.0, time::Duration::from_secs(100));
            let until_all =
                until_most.zip(remaining).map(|(until_most, remaining)| until_most + remaining);
            println!(
                "{protocol:?}, {members} members: 99 of 100 after {}, all after {}, {sent:.1} sent per second",
                seconds(until_most),
                seconds(until_all)
            );
            if protocol == Protocol::RingProbes {
                assert!(
                    until_all.is_some_and(|until_all| until_all <= DETECTION_TIME),
                    "{members}: {until_all:?}"
                );
                assert!(sent <= MAX_SENT_PER_SECOND, "{members}: {sent:.1} sent per second");
            }
        }
    }
}

/// Nearly a third of the fleet is cut off. The members of each side must suspect those of the other, and stop doing so after
/// the partition.
#[test]
fn both_sides_of_a_partition_suspect_each_other_until_it_ends() {
    for members in [60, 300, 585] {
        let mut fleet = VirtualFleet::new(Protocol::RingProbes, members, LOSS, 11);
        fleet.run(time::Duration::from_secs(2));
        fleet.cut(0.3);
        let share = fleet.suspected_share_after(DETECTION_TIME);
        println!("{members}: {share:.4} of the divided pairs suspected after {DETECTION_TIME:?}");
        assert!(share >= 0.99, "{members}: {share:.4}");
        fleet.heal();
        let remaining = fleet.remaining_suspicions_after(DETECTION_TIME);
        println!(
            "{members}: {remaining:.4} of all pairs still suspected {DETECTION_TIME:?} after its end"
        );
        assert!(remaining <= 0.01, "{members}: {remaining:.4}");
    }
}

/// With 1% of the datagrams lost no member is suspected, and a paused member is trusted again once it resumes.
#[test]
fn packet_loss_alone_causes_no_suspicion() {
    for members in [60, 585] {
        let mut fleet = VirtualFleet::new(Protocol::RingProbes, members, LOSS, 13);
        fleet.run(time::Duration::from_secs(30));
        assert_eq!(fleet.suspicions(), 0, "{members}");
        fleet.silence(&[3]);
        fleet.run(time::Duration::from_secs(4));
        assert_eq!(fleet.suspicions(), members - 1, "{members}");
        fleet.resume(3);
        fleet.run(DETECTION_TIME);
        assert!(fleet.suspicions() <= members / 50, "{members}: {}", fleet.suspicions());
    }
}

/// Half the members fail at once, so many of them fail together with members that monitor them.
#[test]
fn members_that_fail_together_with_their_monitors_are_detected() {
    let members = 585;
    let mut fleet = VirtualFleet::new(Protocol::RingProbes, members, LOSS, 17);
    fleet.run(time::Duration::from_secs(2));
    let half: Vec<_> = (0..members).filter(|member| member % 2 == 0).collect();
    fleet.silence(&half);
    let until_most = fleet.time_until_suspected(0.99, time::Duration::from_secs(20));
    println!("half of {members}: 99 of 100 pairs after {}", seconds(until_most));
    assert!(until_most.is_some_and(|until_most| until_most <= DETECTION_TIME), "{until_most:?}");
}
