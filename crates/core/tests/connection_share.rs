//! Resting connections of all members to one upstream.

use slipturn_core::{connection_share, ids};

#[test]
fn all_members_together_keep_to_what_an_upstream_accepts() {
    for limit in [24, 96, 400, 1_800] {
        for members in [1, 6, 60, 300, 380] {
            for upstream in 0..20 {
                let upstream: ids::UpstreamId = format!("u{upstream}@7").parse().expect("a name");
                let own = |number: usize| -> ids::InstanceId {
                    format!("front-{number}").parse().expect("a name")
                };
                let kept =
                    |number| connection_share::max_idle(limit, members, &own(number), &upstream);
                let all: usize = (0..members).map(kept).sum();
                assert!(all <= limit, "{all} of {limit} by {members}");
                assert!(all * 5 >= limit, "{all} of {limit} by {members}");
            }
        }
    }
}
