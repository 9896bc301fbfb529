//! Judges what callers got against what servers did; it knows the promises and nothing else.

use std::collections::{BTreeMap, BTreeSet};

use crate::server::{EventRecord, ServerEvent};

/// Time for which two servers may hold a key if none of them runs a request for it meanwhile, in
/// milliseconds; from the users' rules.
const SHARED_HOLD_MAX: u64 = 500;

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outcome {
    pub(super) id: String,
    /// It may run at most once.
    pub(super) is_once: bool,
    /// Status and body of a whole answer.
    pub(super) answer: Option<(u16, Vec<u8>)>,
    pub(super) is_signed: bool,
}

/// Statuses that say that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Finds broken promises about requests.
pub(super) fn judge_requests(outcomes: &[Outcome], lines: &[EventRecord]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines {
        if let ServerEvent::Run(id, _) = &line.event {
            *runs.entry(id).or_default() += 1;
        }
    }
    let asked: BTreeSet<&str> = outcomes.iter().map(|outcome| outcome.id.as_str()).collect();
    let mut faults: Vec<String> = runs
        .keys()
        .filter(|id| !asked.contains(*id))
        .map(|id| format!("{id} ran and nobody asked for it"))
        .collect();
    for outcome in outcomes {
        let id = &outcome.id;
        let count = runs.get(id.as_str()).copied().unwrap_or_default();
        if outcome.is_once && count > 1 {
            faults.push(format!("{id} may run once and ran {count} times"));
        }
        let Some((status, body)) = &outcome.answer else {
            continue;
        };
        if outcome.is_once && NOT_RUN.contains(status) && count > 0 {
            faults.push(format!("{id} got {status}, but it ran"));
        }
        let text = String::from_utf8_lossy(body);
        let is_own =
            outcome.is_signed && count > 0 && text.contains(&format!("\"request\":\"{id}\"")) && text.ends_with('}');
        if *status == 200 && !is_own {
            faults.push(format!(
                "{id} got 200 with the answer {text:?}, signed: {}, runs: {count}",
                outcome.is_signed
            ));
        }
    }
    faults
}

/// Keys that a server held for a time.
#[derive(Clone, Debug)]
struct Hold<'a> {
    server: &'a str,
    first: u16,
    last: u16,
    fence: u64,
    from: u64,
    until: u64,
}

/// Finds keys that two servers held at the same time.
pub(super) fn judge_keys(lines: &[EventRecord]) -> Vec<String> {
    let holds = find_holds(lines);
    let runs: Vec<(u64, &str, u16)> = lines
        .iter()
        .filter_map(|line| match &line.event {
            ServerEvent::Run(_, Some(key)) => Some((line.at, line.server.as_str(), *key)),
            _ => None,
        })
        .collect();
    let mut faults = Vec::new();
    for (at, a) in holds.iter().enumerate() {
        for b in &holds[at + 1..] {
            let (first, last) = (a.first.max(b.first), a.last.min(b.last));
            let (from, until) = (a.from.max(b.from), a.until.min(b.until));
            if a.server == b.server || first > last || from >= until {
                continue;
            }
            let runs_at = |server: &str| {
                runs.iter()
                    .any(|(at, by, key)| *by == server && (first..=last).contains(key) && (from..until).contains(at))
            };
            if until - from > SHARED_HOLD_MAX || (runs_at(a.server) && runs_at(b.server)) {
                faults.push(format!(
                    "keys {first}-{last} were held by {} (fence {}) and {} (fence {}) for {} ms from {from}",
                    a.server,
                    a.fence,
                    b.server,
                    b.fence,
                    until - from
                ));
            }
        }
    }
    faults
}

fn find_holds(lines: &[EventRecord]) -> Vec<Hold<'_>> {
    let mut ended: Vec<Hold<'_>> = Vec::new();
    let mut present: Vec<Hold<'_>> = Vec::new();
    for line in lines {
        let is_own = |hold: &Hold<'_>| hold.server == line.server && hold.until > line.at;
        match line.event {
            ServerEvent::Grant(first, last, fence, until) => {
                // A renewal goes on with the hold that there is.
                let known =
                    |hold: &&mut Hold<'_>| is_own(hold) && (hold.first, hold.last, hold.fence) == (first, last, fence);
                if let Some(hold) = present.iter_mut().find(known) {
                    hold.until = hold.until.max(until);
                } else {
                    present.push(Hold {
                        server: &line.server,
                        first,
                        last,
                        fence,
                        from: line.at,
                        until,
                    });
                }
            }
            ServerEvent::Release(first, last, fence) => {
                for hold in std::mem::take(&mut present) {
                    if !is_own(&hold) || hold.fence > fence || hold.last < first || last < hold.first {
                        present.push(hold);
                        continue;
                    }
                    // What lies outside is held on; the rest ends.
                    for (first, last) in [(hold.first, first.wrapping_sub(1)), (last.wrapping_add(1), hold.last)] {
                        if first >= hold.first && last <= hold.last && first <= last {
                            present.push(Hold {
                                first,
                                last,
                                ..hold.clone()
                            });
                        }
                    }
                    let (first, last) = (hold.first.max(first), hold.last.min(last));
                    ended.push(Hold {
                        first,
                        last,
                        until: line.at,
                        ..hold
                    });
                }
            }
            ServerEvent::End => {
                for hold in present.iter_mut().filter(|hold| is_own(hold)) {
                    hold.until = line.at;
                }
            }
            ServerEvent::Run(..) => {}
        }
        let (gone, rest) = std::mem::take(&mut present)
            .into_iter()
            .partition(|hold| hold.until <= line.at);
        present = rest;
        ended.extend::<Vec<_>>(gone);
    }
    ended.extend(present);
    ended
}
