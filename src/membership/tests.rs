use std::time::Duration;

use tokio::time::Instant;

use super::*;
use crate::records::{Envelope, Record};
use crate::settings::Timing;
use crate::types::{Incarnation, Offset, RecordId};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(i: usize, incarnation: u64) -> Instance {
    Instance {
        host: format!("h{i}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn site() -> Site {
    Site {
        zone: "z".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

fn report(sender: Instance, folded: Offset) -> Report {
    Report {
        sender,
        folded,
        leads: None,
        has_lease: true,
        register_votes: true,
    }
}

/// A host's view of a membership that it leads.
struct Leader {
    state: State,
    liveness: Liveness,
    election: Election,
}

impl Leader {
    /// Lets hosts 0 to `n - 1` join under the lead of host 0.
    fn new(n: usize, now: Instant) -> Self {
        let mut leader = Self {
            state: State::default(),
            liveness: Liveness::new(run(0, 1), now),
            election: Election::new(run(0, 1), site(), &Timing::default(), now),
        };
        for i in 0..n {
            let record = leader.join(run(i, 1));
            leader.fold(record);
            if i == 0 {
                let claim = leader.tick(now + ms(500)).unwrap();
                leader.fold(claim);
            } else {
                let change = leader.state.membership.version.offset;
                leader.tick(now + ms(500));
                leader.hear(now + ms(500), 1..=i);
                assert_eq!(
                    leader.tick(now + ms(500)),
                    Some(Record::Settle {
                        term: Offset(2),
                        change
                    })
                );
                leader.fold(Record::Settle {
                    term: Offset(2),
                    change,
                });
            }
        }
        leader
    }

    fn join(&self, identity: Instance) -> Record {
        Record::Join {
            base: self.state.membership.version.offset,
            host: identity.host,
            incarnation: identity.incarnation,
            zone: site().zone,
            address: site().address,
        }
    }

    fn fold(&mut self, body: Record) {
        let envelope = Envelope {
            id: RecordId::draw(),
            author: String::new(),
            body,
        };
        let offset = Offset(self.state.folded.0 + 1);
        assert_eq!(self.state.apply(offset, &envelope), crate::fold::Outcome::Applied);
    }

    /// Hears members that have folded as far as the leader.
    fn hear(&mut self, now: Instant, hosts: impl IntoIterator<Item = usize>) {
        for i in hosts {
            self.liveness.note_report(now, &report(run(i, 1), self.state.folded));
        }
    }

    fn tick(&mut self, now: Instant) -> Option<Record> {
        self.election.note_read(now);
        self.liveness.tick(now, &self.state);
        self.election.tick(now, &self.state, &self.liveness)
    }
}

/// Guards against a lease that outlives the answers of a majority, or that counts from them.
#[test]
fn lease_counts_from_before_the_question() {
    let start = Instant::now();
    let Leader { state, .. } = Leader::new(3, start);
    let mut lease = Lease::new(run(0, 1), &Timing::default(), start);
    assert_eq!(lease.until(start, &state), None);
    lease.note_confirmed(start, &run(1, 2));
    assert_eq!(lease.until(start, &state), None, "an unknown run confirmed");
    lease.note_confirmed(start + ms(10), &run(1, 1));
    lease.note_confirmed(start, &run(2, 1));
    assert_eq!(lease.until(start + ms(20), &state), Some(start + ms(1_010)));
    assert!(lease.holds(start + ms(1_009), &state) && !lease.holds(start + ms(1_010), &state));
    lease.note_read(start + ms(50), &state, Offset(state.folded.0 + 2));
    assert_eq!(
        lease.until(start + ms(60), &state),
        Some(start + ms(1_010)),
        "read short of the tail"
    );
    lease.note_read(start + ms(50), &state, Offset(state.folded.0 + 1));
    assert_eq!(lease.until(start + ms(60), &state), Some(start + ms(1_050)));
    let stranger = Lease::new(run(0, 2), &Timing::default(), start);
    assert_eq!(stranger.until(start, &state), None);
}

/// Guards against a restarted host that confirms others by a state older than the one it knew.
#[test]
fn started_host_confirms_nobody_for_a_lease() {
    let start = Instant::now();
    let Leader { state, .. } = Leader::new(1, start);
    let lease = Lease::new(run(0, 1), &Timing::default(), start);
    assert!(!lease.confirms(start + ms(1_000), &state, state.folded));
    assert!(lease.confirms(start + outlast(ms(1_000)), &state, state.folded));
    assert!(!lease.confirms(start + ms(2_000), &state, Offset(state.folded.0 - 1)));
}

/// Guards against an evicted host that still holds a lease when the eviction counts as settled.
#[test]
fn eviction_settles_after_a_lease() {
    let start = Instant::now();
    let mut leader = Leader::new(4, start);
    for tick in 0..100 {
        let now = start + ms(500 + 20 * tick);
        leader.hear(now, [1, 2]);
        assert_eq!(leader.tick(now), None);
    }
    leader
        .liveness
        .note_report(start + ms(2_500), &report(run(3, 2), Offset(0)));
    let evict = leader.tick(start + ms(2_500)).unwrap();
    assert!(matches!(&evict, Record::Evict { host, .. } if *host == run(3, 1).host));
    leader.fold(evict);
    leader.hear(start + ms(2_520), [1, 2]);
    let change = leader.state.membership.version.offset;
    let settle = Record::Settle {
        term: Offset(2),
        change,
    };
    let settled = (126..300)
        .find(|tick| leader.tick(start + ms(20 * tick)).is_some())
        .unwrap();
    assert_eq!(
        settled, 179,
        "a lease, 1% and 50 ms after the acknowledgements at 2520 ms"
    );
    leader.fold(settle);
}

/// Guards against a leader that blames the others for its own pause, or for being cut off.
#[test]
fn paused_or_cut_off_leader_evicts_nobody() {
    let start = Instant::now();
    let mut leader = Leader::new(3, start);
    assert_eq!(leader.tick(start + ms(9_000)), None);
    leader.hear(start + ms(9_010), [1, 2]);
    for tick in 0..300 {
        assert_eq!(leader.tick(start + ms(9_020 + 20 * tick)), None);
    }
    let now = start + ms(15_000);
    assert_eq!(leader.election.acting_term(now, &leader.state, &leader.liveness), None);
}

/// Guards against appends that repeat with each tick while the log is slow.
#[test]
fn append_without_effect_is_repeated_after_a_while() {
    let start = Instant::now();
    let mut election = Election::new(run(0, 1), site(), &Timing::default(), start);
    let mut liveness = Liveness::new(run(0, 1), start);
    let state = State::default();
    let appends = (0..100).filter(|tick| {
        let now = start + ms(20 * tick);
        election.note_read(now);
        liveness.tick(now, &state);
        election.tick(now, &state, &liveness).is_some()
    });
    assert_eq!(appends.count(), 2);
}

/// Guards against two joining members whose registers each wait for the other's copy.
#[test]
fn join_settles_after_the_copy_of_the_register() {
    let start = Instant::now();
    let mut leader = Leader::new(2, start);
    let join = leader.join(run(2, 1));
    leader.fold(join);
    let now = start + ms(600);
    let joined = Report {
        register_votes: false,
        ..report(run(2, 1), leader.state.folded)
    };
    leader.tick(now);
    leader.hear(now, [1]);
    leader.liveness.note_report(now, &joined);
    assert_eq!(leader.tick(now + ms(20)), None);
    let copied = Report {
        register_votes: true,
        ..joined
    };
    leader.liveness.note_report(now + ms(40), &copied);
    assert!(matches!(leader.tick(now + ms(60)), Some(Record::Settle { .. })));
}
