//! What confirms a grantor, and when earlier ones count as stopped.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::{TIMING, confirmed_by_store, holder, host, table};
use crate::keys::succession::{CONFIRMATION_VALIDITY, STORE_OUTAGE_LIMIT};
use crate::keys::{Action, Confirmations, Grantor, HostIncarnation, KeyRange, Move, Predecessor, Predecessors};

fn incarnation(name: &str, incarnation: u64) -> HostIncarnation {
    HostIncarnation {
        host: host(name),
        incarnation,
    }
}

fn with_witnesses(confirmations: &Confirmations, incarnations: &[HostIncarnation], asked: Instant) -> Confirmations {
    let mut confirmations = confirmations.clone();
    confirmations
        .by_witness
        .extend(incarnations.iter().map(|incarnation| (incarnation.clone(), asked)));
    confirmations
}

/// A grantor that goes on without the store needs most of its witnesses, by their present runs and of late:
/// otherwise the next one can't know when it stops.
#[test]
fn most_witnesses_confirm_a_grantor() {
    let start = Instant::now();
    let store = confirmed_by_store(start);
    let witnesses = BTreeSet::from([incarnation("a", 1), incarnation("b", 1), incarnation("c", 1)]);
    assert!(store.permit_grants(start + CONFIRMATION_VALIDITY, &witnesses));
    let later = start + CONFIRMATION_VALIDITY * 2;
    assert!(!store.permit_grants(later, &witnesses));
    let two = [incarnation("a", 1), incarnation("b", 1)];
    assert!(with_witnesses(&store, &two, later).permit_grants(later, &witnesses));
    assert!(!with_witnesses(&store, &two[..1], later).permit_grants(later, &witnesses));
    assert!(
        !with_witnesses(&store, &two, start).permit_grants(later, &witnesses),
        "asked too long ago"
    );
    assert!(
        !with_witnesses(&store, &[incarnation("a", 2), incarnation("b", 1)], later).permit_grants(later, &witnesses),
        "another run"
    );
    let end = start + STORE_OUTAGE_LIMIT + Duration::from_millis(1);
    assert!(
        !with_witnesses(&store, &two, end).permit_grants(end, &witnesses),
        "the next one waits no longer than this"
    );
}

/// A witness whose process started anew doesn't know what it promised, so it may not count.
#[test]
fn witnesses_count_by_their_run() {
    let now = Instant::now();
    let witnesses = BTreeSet::from([incarnation("a", 1), incarnation("b", 1), incarnation("c", 1)]);
    let predecessor = Predecessor {
        host: host("f"),
        epoch: 3,
        witnesses,
    };
    let mut predecessors = Predecessors::new(now, [predecessor]);
    let stopped_by = |predecessors: &Predecessors| predecessors.stopped_by().expect("a former grantor");
    predecessors.record_epoch_ack(now, &incarnation("a", 2));
    predecessors.record_epoch_ack(now, &incarnation("b", 1));
    assert_eq!(stopped_by(&predecessors), now + STORE_OUTAGE_LIMIT);
    predecessors.record_epoch_ack(now, &incarnation("c", 1));
    assert_eq!(stopped_by(&predecessors), now + CONFIRMATION_VALIDITY);
    // A host has one process, so any run of its own speaks for the former grantor.
    predecessors.record_epoch_ack(now, &incarnation("f", 9));
    assert_eq!(stopped_by(&predecessors), now);
}

/// While a table with other witnesses is being saved, the next grantor may find either set.
#[test]
fn both_sets_count_while_witnesses_change() {
    let now = Instant::now();
    let mut grantor = Grantor::take_over(now, &host("host-a"), 1, table(), TIMING);
    let (old, new) = ([incarnation("a", 1)], [incarnation("b", 1)]);
    let save = |grantor: &mut Grantor| {
        let actions = grantor.tick(now, &confirmed_by_store(now), |_| true);
        assert!(
            actions.iter().any(|action| matches!(action, Action::Save(_))),
            "{actions:?}"
        );
    };
    grantor.apply(&[Move {
        range: KeyRange::ALL,
        owner: holder("s0"),
    }]);
    grantor.set_witnesses(&old);
    save(&mut grantor);
    grantor.record_saved(grantor.table().last_fence);
    let later = now + CONFIRMATION_VALIDITY * 2;
    let confirmations = confirmed_by_store(now);
    assert!(grantor.may_send_commands(later, &with_witnesses(&confirmations, &old, later)));
    grantor.set_witnesses(&new);
    save(&mut grantor);
    assert!(!grantor.may_send_commands(later, &with_witnesses(&confirmations, &old, later)));
    assert!(!grantor.may_send_commands(later, &with_witnesses(&confirmations, &new, later)));
    grantor.record_saved(grantor.table().last_fence);
    assert!(grantor.may_send_commands(later, &with_witnesses(&confirmations, &new, later)));
}
