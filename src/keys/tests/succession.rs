//! What confirms a grantor, and when earlier ones count as stopped.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::{HOLD, confirmed, holder, host, table};
use crate::keys::succession::{CONFIRMED_TIME, UNCONFIRMED_LIMIT};
use crate::keys::{Action, Former, Grantor, HostRun, Move, Span, Succession, Support};

fn run(name: &str, born: u64) -> HostRun {
    HostRun { host: host(name), born }
}

fn vouched(support: &Support, runs: &[HostRun], asked: Instant) -> Support {
    let mut support = support.clone();
    support.vouches.extend(runs.iter().map(|run| (run.clone(), asked)));
    support
}

/// A grantor that goes on without the store needs most of its witnesses, by their present runs and of late:
/// otherwise the next one can't know when it stops.
#[test]
fn most_witnesses_confirm_a_grantor() {
    let start = Instant::now();
    let store = confirmed(start);
    let witnesses = BTreeSet::from([run("a", 1), run("b", 1), run("c", 1)]);
    assert!(store.allows(start + CONFIRMED_TIME, &witnesses));
    let later = start + CONFIRMED_TIME * 2;
    assert!(!store.allows(later, &witnesses));
    let two = [run("a", 1), run("b", 1)];
    assert!(vouched(&store, &two, later).allows(later, &witnesses));
    assert!(!vouched(&store, &two[..1], later).allows(later, &witnesses));
    assert!(
        !vouched(&store, &two, start).allows(later, &witnesses),
        "asked too long ago"
    );
    assert!(
        !vouched(&store, &[run("a", 2), run("b", 1)], later).allows(later, &witnesses),
        "another run"
    );
    let end = start + UNCONFIRMED_LIMIT + Duration::from_millis(1);
    assert!(
        !vouched(&store, &two, end).allows(end, &witnesses),
        "the next one waits no longer than this"
    );
}

/// A witness whose process started anew doesn't know what it promised, so it may not count.
#[test]
fn witnesses_count_by_their_run() {
    let now = Instant::now();
    let witnesses = BTreeSet::from([run("a", 1), run("b", 1), run("c", 1)]);
    let former = Former {
        host: host("f"),
        epoch: 3,
        witnesses,
    };
    let mut succession = Succession::new(now, [former]);
    let stops = |succession: &Succession| succession.stops().expect("a former grantor");
    succession.note_told(now, &run("a", 2));
    succession.note_told(now, &run("b", 1));
    assert_eq!(stops(&succession), now + UNCONFIRMED_LIMIT);
    succession.note_told(now, &run("c", 1));
    assert_eq!(stops(&succession), now + CONFIRMED_TIME);
    // A host has one process, so any run of its own speaks for the former grantor.
    succession.note_told(now, &run("f", 9));
    assert_eq!(stops(&succession), now);
}

/// While a table with other witnesses is being saved, the next grantor may find either set.
#[test]
fn both_sets_count_while_witnesses_change() {
    let now = Instant::now();
    let mut grantor = Grantor::take_over(now, &host("host-a"), 1, table(), HOLD);
    let (old, new) = ([run("a", 1)], [run("b", 1)]);
    let save = |grantor: &mut Grantor| {
        let actions = grantor.tick(now, &confirmed(now), |_| true);
        assert!(
            actions.iter().any(|action| matches!(action, Action::Save(_))),
            "{actions:?}"
        );
    };
    grantor.apply(&[Move {
        span: Span::ALL,
        owner: holder("s0"),
    }]);
    grantor.set_witnesses(&old);
    save(&mut grantor);
    grantor.note_saved(grantor.table().last_fence);
    let later = now + CONFIRMED_TIME * 2;
    let support = confirmed(now);
    assert!(grantor.may_order(later, &vouched(&support, &old, later)));
    grantor.set_witnesses(&new);
    save(&mut grantor);
    assert!(!grantor.may_order(later, &vouched(&support, &old, later)));
    assert!(!grantor.may_order(later, &vouched(&support, &new, later)));
    grantor.note_saved(grantor.table().last_fence);
    assert!(grantor.may_order(later, &vouched(&support, &new, later)));
}
