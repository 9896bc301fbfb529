//! When a host that shuts down still sends requests to upstreams.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::stop::ShutdownSchedule;

/// Guards against a request that is sent, or sent again, to an upstream when its response can't arrive before the
/// process ends.
#[test]
fn request_that_cannot_end_before_the_exit_is_not_sent() {
    let start = Instant::now();
    let cases = [
        (6_000, 50, true),
        (6_000, 900, true),
        (10_000, 900, true),
        (6_000, 4_000, false),
        (500, 100, false),
    ];
    for (grace_ms, typical_ms, is_admitted) in cases {
        let (grace, typical) = (Duration::from_millis(grace_ms), Duration::from_millis(typical_ms));
        let schedule = ShutdownSchedule::new(start, grace);
        for ms in (0..grace_ms).step_by(50) {
            let now = start + Duration::from_millis(ms);
            if schedule.admits(now, typical) {
                // Twice the typical latency and the way back fit into the grace.
                assert!(now + typical * 2 < start + grace, "{grace_ms} {typical_ms} {ms}");
                assert!(now < schedule.response_deadline(), "{grace_ms} {typical_ms} {ms}");
            }
        }
        assert_eq!(schedule.admits(start, typical), is_admitted, "{grace_ms} {typical_ms}");
    }
}
