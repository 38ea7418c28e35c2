//! Number of idle connections that all members together keep to one upstream, within its connection limit.

use slipturn_core::{connection_share, ids};

#[test]
fn idle_connections_of_all_members_stay_within_the_limit_of_the_upstream() {
    for limit in [24, 96, 400, 1_800] {
        for members in [1, 6, 60, 300, 380] {
            for upstream in 0..20 {
                let upstream: ids::UpstreamId = format!("u{upstream}@7").parse().expect("a name");
                let name = |number: usize| -> ids::InstanceId {
                    format!("front-{number}").parse().expect("a name")
                };
                let idle =
                    |number| connection_share::max_idle(limit, members, &name(number), &upstream);
                let total: usize = (0..members).map(idle).sum();
                assert!(total <= limit, "{members} members hold {total} of {limit}");
                assert!(total * 5 >= limit, "{members} members hold {total} of {limit}");
            }
        }
    }
}
