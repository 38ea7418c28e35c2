//! This member's share of the fleet's retries.

use std::time;

use slipturn_core::{
    fleet_budget::{RetryBound, RetryShare},
    units,
};

const BOUND: RetryBound =
    RetryBound { ratio: 0.2, extra: 100.0, window: time::Duration::from_secs(10) };

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn taken(share: &mut RetryShare, now: u64, members: Option<usize>) -> usize {
    (0..1_000).filter(|_| share.take(at(now), members)).count()
}

#[test]
fn all_shares_together_stay_inside_the_bound() {
    for members in [1, 3, 6, 60, 380] {
        let mut shares: Vec<_> = (0..members).map(|_| RetryShare::new(BOUND)).collect();
        let total: usize = shares.iter_mut().map(|share| taken(share, 0, Some(members))).sum();
        assert!(total <= 100.max(members), "{members} members took {total}");
    }
}

#[test]
fn an_unsure_member_takes_the_smallest_share() {
    let unsure = taken(&mut RetryShare::new(BOUND), 0, None);
    let sure = taken(&mut RetryShare::new(BOUND), 0, Some(6));
    assert!(unsure < sure, "{unsure} {sure}");
}

#[test]
fn requests_raise_the_share_and_time_gives_it_back() {
    let mut share = RetryShare::new(BOUND);
    for request in 0..100 {
        share.count_request(at(request));
    }
    assert_eq!(taken(&mut share, 100, Some(6)), 22);
    assert_eq!(taken(&mut share, 5_000, Some(6)), 0);
    assert!(taken(&mut share, 10_200, Some(6)) > 0);
}
