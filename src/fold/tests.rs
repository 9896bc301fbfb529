use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};

use super::{Member, Outcome, RangeTable, Rejection, SnapshotReader, State, Version};
use crate::records::{Envelope, RangeOwner, Record, ServiceTarget, encode_record};
use crate::tables::{Tables, parse_tables};
use crate::types::{HostName, Incarnation, KeyHash, KeyRange, Offset, PoolName, RecordId};

/// Ranges of the generated records begin and end at multiples of 1/8 of the hash space.
const CELLS: u64 = 8;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What a generated author does.
#[derive(Clone, Copy, Debug)]
enum Op {
    Publish(usize),
    SetService(u8, bool),
    Join(u8),
    Evict(u8),
    Settle,
    Claim(u8),
    Freeze(u64, u64),
    Assign(u64, u64, u8),
    /// Queues the parts of a snapshot of the present state.
    Snapshot,
    /// Appends the newest part in the queue, so that snapshots are mixed.
    Part,
    /// Appends the text of a record some records ago again.
    Repeat(usize),
    Garbage,
}

fn any_op() -> impl Strategy<Value = Op> {
    let cell = 0..CELLS;
    prop_oneof![
        1 => (0..3_usize).prop_map(Op::Publish),
        1 => (0..3_u8, any::<bool>()).prop_map(|(zone, back)| Op::SetService(zone, back)),
        3 => (0..4_u8).prop_map(Op::Join),
        1 => (0..4_u8).prop_map(Op::Evict),
        3 => Just(Op::Settle),
        2 => (0..4_u8).prop_map(Op::Claim),
        6 => (cell.clone(), cell.clone()).prop_map(|(from, to)| Op::Freeze(from, to)),
        6 => (cell.clone(), cell, 0..3_u8).prop_map(|(from, to, owner)| Op::Assign(from, to, owner)),
        2 => Just(Op::Snapshot),
        6 => Just(Op::Part),
        2 => (0..20_usize).prop_map(Op::Repeat),
        1 => Just(Op::Garbage),
    ]
}

/// Operations; those marked stale are written by authors who see a state of some records ago.
fn any_ops() -> impl Strategy<Value = Vec<(Op, bool)>> {
    prop::collection::vec((any_op(), prop::bool::weighted(0.15)), 20..60)
}

fn envelope(body: Record) -> Envelope {
    Envelope {
        id: RecordId::draw(),
        author: "ana".to_owned(),
        body,
    }
}

fn host(n: u8) -> HostName {
    format!("entry-{n}").parse().unwrap()
}

fn pool() -> PoolName {
    "placas".parse().unwrap()
}

fn cells(from: u64, to: u64) -> KeyRange {
    let all = KeyRange::divide_all(u32::try_from(CELLS).unwrap());
    let index = |cell| usize::try_from(cell).unwrap();
    KeyRange {
        first: all[index(from.min(to))].first,
        last: all[index(from.max(to))].last,
    }
}

fn tables(ownership: usize) -> Tables {
    let ownership = ["fenced", "unfenced", "shared"][ownership];
    let pools = format!("pools: {{placas: {{ownership: {ownership}, upstreams: {{}}}}}}");
    parse_tables("routes.yaml", "routes: []", "pools.yaml", &pools).unwrap()
}

/// Writes the record of an operation by an author who sees a state.
fn record(op: Op, seen: &State) -> Record {
    let term = seen.leader.term;
    let incarnation = |n| {
        let member = seen.membership.members.get(&host(n));
        member.map_or(Incarnation(seen.folded.0), |m| m.incarnation)
    };
    match op {
        Op::Publish(ownership) => Record::Publish {
            base: seen.tables_version.offset,
            tables: tables(ownership),
        },
        Op::SetService(zone, back) => Record::SetService {
            base: seen.service.version.offset,
            target: ServiceTarget::Zone(format!("z{zone}").parse().unwrap()),
            in_service: back,
        },
        Op::Join(n) => Record::Join {
            base: seen.membership.version.offset,
            host: host(n),
            incarnation: incarnation(n),
            zone: "z0".parse().unwrap(),
            address: ([127, 0, 0, n], 1).into(),
        },
        Op::Evict(n) => Record::Evict {
            base: seen.membership.version.offset,
            term,
            host: host(n),
            incarnation: incarnation(n),
        },
        Op::Settle => Record::Settle {
            term,
            change: seen.membership.version.offset,
        },
        Op::Claim(n) => Record::Claim {
            base: term,
            host: host(n),
            incarnation: incarnation(n),
        },
        Op::Freeze(from, to) => Record::Freeze {
            base: seen.folded,
            term,
            pool: pool(),
            ranges: vec![cells(from, to)],
        },
        Op::Assign(from, to, owner) => Record::Assign {
            term,
            pool: pool(),
            ranges: vec![assignment(seen, cells(from, to), owner)],
        },
        Op::Snapshot | Op::Part | Op::Repeat(_) | Op::Garbage => unreachable!("not written from a state"),
    }
}

/// Assigns the frozen range at the first hash, or a range that may have no owner yet.
fn assignment(seen: &State, range: KeyRange, owner: u8) -> RangeOwner {
    let found = seen.ranges.get(&pool()).and_then(|table| table.find_range(range.first));
    let frozen = found.and_then(|info| info.frozen);
    RangeOwner {
        range: frozen.map_or(range, |_| found.map_or(range, |info| info.range)),
        frozen: frozen.unwrap_or_default(),
        owner: format!("placas-{owner}").parse().unwrap(),
    }
}

/// One folded record with the states around it.
#[derive(Clone, Debug)]
struct Step {
    before: State,
    text: String,
    body: Option<Envelope>,
    outcome: Option<Outcome>,
    after: State,
}

/// Folds the records of generated authors; the first records make a leader with all ranges.
fn run_history(ops: &[(Op, bool)]) -> Vec<Step> {
    let first = [Op::Publish(0), Op::Join(0), Op::Claim(0), Op::Assign(0, CELLS - 1, 0)];
    let ops = first.into_iter().map(|op| (op, false)).chain(ops.iter().copied());
    let mut steps: Vec<Step> = Vec::new();
    let mut parts = Vec::new();
    for (op, stale) in ops {
        let now = steps.last().map_or_else(State::default, |step| step.after.clone());
        let seen = if stale {
            &steps[steps.len().saturating_sub(6)].before
        } else {
            &now
        };
        let text = match op {
            Op::Garbage => "{\"kind\":".to_owned(),
            Op::Repeat(back) => steps[steps.len().saturating_sub(back + 1)].text.clone(),
            Op::Snapshot => {
                parts.extend(now.split_snapshot(now.leader.term, 600));
                continue;
            }
            Op::Part => match parts.pop() {
                Some(part) => encode_record(&envelope(part)).unwrap(),
                None => continue,
            },
            op => encode_record(&envelope(record(op, seen))).unwrap(),
        };
        let mut after = now.clone();
        let outcome = after.apply_text(Offset(now.folded.0 + 1), &text).ok();
        let body = crate::records::decode_record(&text).ok();
        steps.push(Step {
            before: now,
            text,
            body,
            outcome,
            after,
        });
    }
    steps
}

/// Checks one step against the promises, without the code of the fold.
fn check_step(step: &Step) -> Result<(), String> {
    let (before, after) = (&step.before, &step.after);
    let offset = after.folded;
    let body = step.body.as_ref().map(|envelope| &envelope.body);
    let require = |holds: bool, rule: &str| {
        if holds {
            Ok(())
        } else {
            Err(format!("at {offset}: {rule}"))
        }
    };
    // The same version means the same content; another one is set by a record on the former.
    let versions = |old: &Version, new: &Version, same: bool, base: Option<Offset>| {
        (old == new && same) || (base == Some(old.offset) && new.offset == offset)
    };
    require(offset.0 == before.folded.0 + 1, "the offset advances by one")?;
    let (publish, service, membership, claim) = match body {
        Some(Record::Publish { base, .. }) => (Some(*base), None, None, None),
        Some(Record::SetService { base, .. }) => (None, Some(*base), None, None),
        Some(Record::Join { base, .. } | Record::Evict { base, .. }) => (None, None, Some(*base), None),
        Some(Record::Claim { base, .. }) => (None, None, None, Some(*base)),
        _ => (None, None, None, None),
    };
    let same = before.tables == after.tables;
    require(
        versions(&before.tables_version, &after.tables_version, same, publish),
        "only a Publish on the current version changes the tables",
    )?;
    let same = before.service.out == after.service.out;
    require(
        versions(&before.service.version, &after.service.version, same, service),
        "only a SetService on the current version changes the service",
    )?;
    let (old, new) = (&before.membership, &after.membership);
    let same = old.members == new.members;
    require(
        versions(&old.version, &new.version, same, membership),
        "only a Join or Evict on the current version changes the members",
    )?;
    if !same {
        let hosts = |members: &BTreeMap<HostName, Member>| members.keys().cloned().collect::<BTreeSet<_>>();
        let one = hosts(&old.members).symmetric_difference(&hosts(&new.members)).count() == 1;
        let free = old.settled || old.members.is_empty();
        require(
            free && one,
            "members change one at a time, after the last change is settled",
        )?;
    }
    let same = before.leader.term == after.leader.term;
    require(
        same || (claim == Some(before.leader.term) && after.leader.term == offset),
        "only a claim on the current term begins a term",
    )?;
    if before.ranges != after.ranges {
        let leading = before.leader.host.is_some();
        let term = match body {
            Some(Record::Freeze { term, .. } | Record::Assign { term, .. }) if leading => Some(*term),
            Some(Record::Publish { .. }) => Some(before.leader.term),
            _ => None,
        };
        require(
            term == Some(before.leader.term),
            "only the current leader changes ranges",
        )?;
    }
    let assign = matches!(body, Some(Record::Assign { .. }));
    let empty = RangeTable::default();
    for (name, table) in &after.ranges {
        let infos: Vec<_> = table.iter().collect();
        let apart = infos.windows(2).all(|pair| pair[0].range.last < pair[1].range.first);
        require(apart, "ranges don't overlap")?;
        let old = before.ranges.get(name).unwrap_or(&empty);
        for cell in 0..CELLS {
            let (was, is) = (
                old.find_range(cells(cell, cell).first),
                table.find_range(cells(cell, cell).first),
            );
            require(is.is_some() || was.is_none(), "an owned hash stays owned")?;
            let same = was.map(|w| (w.owner, w.epoch)) == is.map(|i| (i.owner, i.epoch));
            let stopped = was.is_none_or(|w| w.frozen.is_some());
            let new_epoch = is.is_some_and(|i| i.epoch == offset);
            require(
                same || (assign && stopped && new_epoch),
                "a hash gets an owner only by an Assign of its frozen range",
            )?;
        }
    }
    Ok(())
}

/// Applies a record once more and tells whether it changed anything.
fn changes(state: &State, copy: &Envelope) -> bool {
    let mut after = state.clone();
    after.apply(Offset(state.folded.0 + 1), copy);
    after.folded = state.folded;
    after != *state
}

fn fold_tail(mut state: State, steps: &[Step]) -> State {
    let folded = usize::try_from(state.folded.0).unwrap();
    for step in &steps[folded..] {
        let _ = state.apply_text(step.after.folded, &step.text);
    }
    state
}

proptest! {
    #![proptest_config(config())]

    /// Guards against two owners of a key, lost updates, stale leaders and hosts that diverge.
    #[test]
    fn histories_keep_the_promises(ops in any_ops()) {
        let steps = run_history(&ops);
        for step in &steps {
            prop_assert_eq!(check_step(step), Ok(()));
        }
        let last = &steps[steps.len() - 1].after;
        let again = fold_tail(State::default(), &steps);
        prop_assert_eq!(&again, last);
        prop_assert_eq!(again.digest(), last.digest());
        prop_assert_eq!(&State::from_text(&last.to_text()).unwrap(), last);
    }

    /// Guards against an append that takes effect again when the log receives it twice.
    #[test]
    fn repeated_appends_change_nothing(ops in any_ops()) {
        let steps = run_history(&ops);
        for (i, step) in steps.iter().enumerate().filter(|(_, s)| s.outcome == Some(Outcome::Applied)) {
            for later in &steps[i..] {
                let copy = step.body.as_ref().unwrap();
                prop_assert!(!changes(&later.after, copy), "{copy:?} at {}", later.after.folded);
            }
        }
    }

    /// Guards against a host that reads a snapshot and differs from one that read every record.
    #[test]
    fn restored_states_equal_folded_ones(ops in any_ops()) {
        let steps = run_history(&ops);
        let last = &steps[steps.len() - 1].after;
        for cut in 0..steps.len() {
            let mut reader = SnapshotReader::new(steps[cut].after.folded);
            for step in &steps[cut..] {
                if let Some(body) = &step.body {
                    let newest = reader.through();
                    reader.add(step.after.folded, body);
                    prop_assert!(reader.through() >= newest);
                }
            }
            let through = reader.through();
            // A host that has folded a part of the log must not go back.
            let mut state = steps[cut].before.clone();
            let newer = through.is_some_and(|t| t > state.folded);
            prop_assert_eq!(reader.clone().restore(&mut state), newer);
            prop_assert_eq!(&fold_tail(state, &steps), last);
            let mut fresh = State::default();
            if reader.restore(&mut fresh) {
                prop_assert!(through >= Some(steps[cut].before.folded));
                prop_assert_eq!(&fold_tail(fresh, &steps), last);
            }
        }
    }
}

fn last_state(ops: &[Op]) -> State {
    let ops: Vec<(Op, bool)> = ops.iter().map(|&op| (op, false)).collect();
    run_history(&ops).pop().unwrap().after
}

/// Guards against properties that pass because their histories never move, snapshot or fail.
#[test]
fn generated_histories_reach_all_outcomes() {
    let mut runner = TestRunner::new(config());
    let (mut moves, mut snapshots, mut conflicts, mut stale) = (0, 0, 0, 0);
    for _ in 0..48 {
        let ops = any_ops().new_tree(&mut runner).unwrap().current();
        for step in run_history(&ops) {
            let owners = |s: &State| s.ranges.get(&pool()).map(|t| t.iter().map(|i| i.epoch).max());
            moves += u32::from(owners(&step.before) != owners(&step.after));
            snapshots += u32::from(step.before.snapshot.complete != step.after.snapshot.complete);
            conflicts += u32::from(matches!(step.outcome, Some(Outcome::Conflict { .. })));
            stale += u32::from(matches!(step.outcome, Some(Outcome::StaleTerm { .. })));
        }
    }
    let counts = [moves, snapshots, conflicts, stale];
    assert!(counts.iter().all(|&n| n >= 20), "{counts:?}");
}

fn objection(good: &Step, spoil: impl Fn(&mut Step)) -> String {
    let mut step = good.clone();
    spoil(&mut step);
    check_step(&step).expect_err("the checker objects")
}

/// Guards against a checker that accepts everything.
#[test]
fn checker_objects_to_bad_histories() {
    let good = run_history(&[(Op::Freeze(0, 1), false)]).pop().unwrap();
    assert_eq!(check_step(&good), Ok(()));
    insta::assert_snapshot!(objection(&good, |s| s.before.leader.term = Offset(1)), @"at 5: only a claim on the current term begins a term");
    let moved = [Op::Freeze(2, 2), Op::Assign(2, 2, 1)];
    insta::assert_snapshot!(objection(&good, |s| s.after.ranges = last_state(&moved).ranges), @"at 5: a hash gets an owner only by an Assign of its frozen range");
    insta::assert_snapshot!(objection(&good, |s| s.after.tables_version.offset = Offset(9)), @"at 5: only a Publish on the current version changes the tables");
    insta::assert_snapshot!(objection(&good, |s| s.after.membership.members.clear()), @"at 5: only a Join or Evict on the current version changes the members");
    insta::assert_snapshot!(objection(&good, |s| s.after.ranges = [(pool(), RangeTable::default())].into()), @"at 5: an owned hash stays owned");
}

/// Guards against operators who both believe that their change won.
#[test]
fn one_operator_wins_a_race() {
    let mut state = last_state(&[]);
    let base = state.tables_version.offset;
    let publish = |author: &str, ownership| Envelope {
        author: author.to_owned(),
        ..envelope(Record::Publish {
            base,
            tables: tables(ownership),
        })
    };
    let (ana, luis) = (publish("ana", 1), publish("luis", 2));
    assert_eq!(state.apply(Offset(10), &luis), Outcome::Applied);
    let lost = Outcome::Conflict {
        current: Offset(10),
        author: "luis".to_owned(),
    };
    assert_eq!(state.apply(Offset(11), &ana), lost);
    assert_eq!(*state.tables, tables(2));
}

/// Guards against a leader that is no member any more but still moves ranges.
#[test]
fn evicted_leaders_move_nothing() {
    let mut state = last_state(&[Op::Join(1), Op::Settle, Op::Evict(0)]);
    let freeze = record(Op::Freeze(0, 0), &state);
    let outcome = state.apply(Offset(20), &envelope(freeze));
    assert!(matches!(outcome, Outcome::StaleTerm { .. }), "{outcome:?}");
    let claim = record(Op::Claim(1), &state);
    assert_eq!(state.apply(Offset(21), &envelope(claim)), Outcome::Applied);
    assert_eq!(state.leader.term, Offset(21));
}

/// Guards against former owners that go on at once after a time in which any upstream served.
#[test]
fn pools_that_get_owners_again_start_frozen() {
    let state = last_state(&[Op::Publish(2), Op::Publish(0)]);
    let info = state.ranges[&pool()].find_range(KeyHash::MIN).unwrap();
    assert_eq!(info.frozen, Some(state.tables_version.offset));
}

/// Guards against a membership whose hosts are all gone and that no record can replace, and against
/// a replacement on an outdated membership.
#[test]
fn a_membership_can_be_reformed() {
    let mut state = last_state(&[Op::Join(0), Op::Join(1)]);
    let reform = |base| {
        envelope(Record::Reform {
            base,
            host: host(7),
            incarnation: Incarnation(70),
            zone: "a".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
        })
    };
    let current = state.membership.version.offset;
    let next = |state: &State| Offset(state.folded.0 + 1);
    let old = state.apply(next(&state), &reform(Offset(current.0 - 1)));
    assert!(matches!(old, Outcome::Conflict { .. }), "{old:?}");
    assert_eq!(state.apply(next(&state), &reform(current)), Outcome::Applied);
    assert_eq!(state.membership.members.keys().collect::<Vec<_>>(), [&host(7)]);
    assert_eq!(state.membership.founder.as_ref().map(|f| &f.host), Some(&host(7)));
    assert!(state.membership.settled && state.leader.host.is_none());
}

/// Guards against a join that is told to try again on the version that it was written for.
#[test]
fn members_join_once() {
    let mut state = last_state(&[]);
    let join = record(Op::Join(0), &state);
    let outcome = state.apply(Offset(9), &envelope(join));
    assert_eq!(outcome, Outcome::Rejected(Rejection::AlreadyMember));
}

/// Guards against snapshot records that the log refuses, whatever characters the state holds.
#[test]
fn large_states_fit_into_records() {
    let mut state = last_state(&[]);
    let table = state.ranges.get_mut(&pool()).unwrap();
    let ranges = KeyRange::divide_all(20_000);
    *table = RangeTable::default();
    let owned = |(i, &range): (usize, &KeyRange)| RangeOwner {
        range,
        frozen: Offset(0),
        owner: format!("placas-{i}").parse().unwrap(),
    };
    let owned: Vec<RangeOwner> = ranges.iter().enumerate().map(owned).collect();
    table.assign_ranges(Offset(7), &owned).unwrap();
    state.tables_version.author = "\"\\\n".repeat(200_000);
    let parts = state.take_snapshot(Offset(3));
    assert!(parts.len() > 2);
    let mut reader = SnapshotReader::new(Offset(1));
    for (offset, part) in (100..).zip(parts) {
        let text = encode_record(&envelope(part)).unwrap();
        reader.add(Offset(offset), &crate::records::decode_record(&text).unwrap());
    }
    let mut restored = State::default();
    assert!(reader.restore(&mut restored));
    assert_eq!(restored, state);
}

/// Guards against a host that restores damaged text, and against snapshots that never end the wait
/// for the next one.
#[test]
fn only_complete_snapshots_count() {
    let mut state = last_state(&[]);
    let whole = state.split_snapshot(state.leader.term, 300);
    assert!(state.snapshot_due(8) && !state.snapshot_due(10));
    let mut reader = SnapshotReader::new(Offset(1));
    for (i, part) in whole.iter().enumerate() {
        assert_eq!(state.snapshot.complete, Offset(0), "before part {i}");
        let offset = Offset(state.folded.0 + 1);
        let mut damaged = envelope(part.clone());
        if let Record::Snapshot { through, .. } = &mut damaged.body {
            *through = Offset(3);
        }
        reader.add(offset, &damaged);
        assert_eq!(state.apply(offset, &envelope(part.clone())), Outcome::Applied);
    }
    assert_eq!(state.snapshot.complete, Offset(4));
    assert!(!state.snapshot_due(2 * whole.len() as u64 + 2));
    assert_eq!(reader.through(), None);
}

/// Guards against ranges that are lost or found twice when a table's buckets are divided.
#[test]
fn divided_buckets_keep_all_ranges() {
    let mut table = RangeTable::default();
    let mut model = std::collections::BTreeMap::new();
    let owner: crate::types::UpstreamName = "server".parse().unwrap();
    for range in KeyRange::divide_all(3_001).into_iter().step_by(2) {
        let item = RangeOwner {
            range,
            frozen: Offset(0),
            owner: owner.clone(),
        };
        table.assign_ranges(Offset(1), &[item]).unwrap();
        model.insert(range.first, range.last);
    }
    // Parts of ranges are frozen, which splits them.
    let parts: Vec<KeyRange> = model
        .iter()
        .step_by(7)
        .map(|(&first, &last)| KeyRange {
            first,
            last: KeyHash(last.0 - 5),
        })
        .collect();
    table.freeze_ranges(Offset(2), Offset(1), &parts).unwrap();
    for part in &parts {
        let last = model.insert(part.first, part.last).unwrap();
        model.insert(KeyHash(part.last.0 + 1), last);
    }
    let found: Vec<_> = table.iter().map(|info| (info.range.first, info.range.last)).collect();
    assert_eq!(found, model.clone().into_iter().collect::<Vec<_>>());
    assert_eq!(table.len(), model.len());
    let frozen: Vec<KeyRange> = table.frozen().map(|info| info.range).collect();
    assert_eq!(frozen, parts);
    for hash in (0..10_000).map(|i| KeyHash::of(&u64::to_le_bytes(i))) {
        let expected = model.range(..=hash).next_back().filter(|&(_, &last)| hash <= last);
        let info = table.find_range(hash).map(|info| info.range);
        assert_eq!(
            info.map(|r| (r.first, r.last)),
            expected.map(|(&first, &last)| (first, last))
        );
    }
    let around = KeyRange {
        first: parts[3].last,
        last: parts[9].first,
    };
    let overlapping: Vec<KeyRange> = table.overlapping(around).map(|info| info.range).collect();
    let expected = model
        .iter()
        .map(|(&first, &last)| KeyRange { first, last })
        .filter(|r| r.overlaps(around));
    assert_eq!(overlapping, expected.collect::<Vec<_>>());
}
