//! A short soak run with a fixed seed; longer ones are started by hand.

use std::path::Path;
use std::time::Duration;

use standins::soak::run;

/// The seed and the time are fixed, so that each run injects the same faults.
const SEED: u64 = 1;
const FAULT_TIME: Duration = Duration::from_secs(8);

/// Guards against a gateway that violates, under faults injected from outside, an invariant that callers
/// and servers can observe.
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_faults() {
    // The gateway program must be in the folder in which cargo puts the programs of this package.
    assert!(
        Path::new(env!("CARGO_BIN_EXE_store"))
            .with_file_name("ragworthub")
            .exists()
    );
    let folder = tempfile::TempDir::new().expect("a temporary folder");
    let report = run(SEED, FAULT_TIME, folder.path())
        .await
        .expect("the soak run completes");
    assert!(
        report.violations.is_empty(),
        "{:#?}\n{:#?}",
        report.violations,
        report.actions
    );
    assert!(report.served > 0 && report.actions.len() > 5, "{report:?}");
}
