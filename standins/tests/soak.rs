//! A short seeded run of the soak; longer ones are run by hand.

use std::path::Path;
use std::time::Duration;

use standins::soak::play;

/// Seed and time of the run; chosen once, so that each run plays the same faults.
const SEED: u64 = 1;
const TIME: Duration = Duration::from_secs(8);

/// The promises hold under faults from outside, as callers and servers see them.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    // The programs lie where cargo has put them for tests of this package.
    assert!(
        Path::new(env!("CARGO_BIN_EXE_store"))
            .with_file_name("ragworthub")
            .exists()
    );
    let folder = tempfile::TempDir::new().expect("a folder");
    let report = play(SEED, TIME, folder.path()).await.expect("a play");
    assert!(report.faults.is_empty(), "{:#?}\n{:#?}", report.faults, report.events);
    assert!(report.served > 0 && report.events.len() > 5, "{report:?}");
}
