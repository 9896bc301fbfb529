//! Checks the invariants of a soak run: compares the responses to callers with the event log of the
//! servers, without any knowledge of how the gateway works.

use std::collections::{BTreeMap, BTreeSet};

use super::load::REMOVED_ID;
use crate::server::{EventRecord, ServerEvent};

/// Longest overlap that is allowed between the leases of two servers on a key, in milliseconds. It is
/// allowed only if neither server runs a request for the key meanwhile.
const OVERLAP_MAX_MS: u64 = 500;

/// Time after a server is resumed in which it takes the grants that arrived while it was suspended, in milliseconds.
/// The rule on owners doesn't count grants that are taken late.
const RESUME_SLACK_MS: u64 = 300;

/// Time after which no request with a removed credential may be accepted, in milliseconds, and time for which an accepted
/// one may wait before it runs.
const REMOVAL_BOUND_MS: u64 = 5_000;
const REQUEST_TIME_MS: u64 = 2_500;

/// A request of a caller and the response to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outcome {
    pub(super) id: String,
    /// Whether the request may run at most once.
    pub(super) non_idempotent: bool,
    /// Status and body, if the response was complete.
    pub(super) response: Option<(u16, Vec<u8>)>,
    /// Whether the response has a signature header.
    pub(super) is_signed: bool,
}

/// Statuses which state that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns the violated invariants on the runs of requests and on their responses.
pub(super) fn check_requests(outcomes: &[Outcome], records: &[EventRecord]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        if let ServerEvent::Run(id, _) = &record.event {
            *runs.entry(id).or_default() += 1;
        }
    }
    let sent: BTreeSet<&str> = outcomes.iter().map(|outcome| outcome.id.as_str()).collect();
    let mut violations: Vec<String> = runs
        .keys()
        .filter(|id| !sent.contains(*id))
        .map(|id| format!("{id} ran, but no caller sent it"))
        .collect();
    for outcome in outcomes {
        let id = &outcome.id;
        let count = runs.get(id.as_str()).copied().unwrap_or_default();
        if outcome.non_idempotent && count > 1 {
            violations.push(format!("{id} may run at most once, but ran {count} times"));
        }
        let Some((status, body)) = &outcome.response else {
            continue;
        };
        if outcome.non_idempotent && NOT_RUN_STATUSES.contains(status) && count > 0 {
            violations.push(format!("{id} got {status}, which means that it didn't run, but it ran"));
        }
        let text = String::from_utf8_lossy(body);
        // The upstream gets the tenant's name and not the caller's credential.
        let is_correct = outcome.is_signed
            && count > 0
            && text.contains(&format!("\"request\":\"{id}\""))
            && text.contains("\"tenant\":\"soak\"")
            && text.contains("\"credential\":\"\"")
            && text.ends_with('}');
        if *status == 200 && !is_correct {
            violations.push(format!(
                "{id} got 200 with a wrong response: {text:?}, signed: {}, runs: {count}",
                outcome.is_signed
            ));
        }
    }
    violations
}

/// A lease of a server on the keys from `first` to `last`, with its times in Unix milliseconds.
#[derive(Clone, Debug)]
struct Lease<'a> {
    server: &'a str,
    first: u16,
    last: u16,
    fence: u64,
    from: u64,
    until: u64,
}

/// Returns the overlaps of leases of two servers on the same keys that last longer than
/// [`OVERLAP_MAX_MS`], or during which both servers run requests for these keys.
pub(super) fn check_leases(records: &[EventRecord]) -> Vec<String> {
    let leases = collect_leases(records);
    let runs: Vec<(u64, &str, u16)> = records
        .iter()
        .filter_map(|record| match &record.event {
            ServerEvent::Run(_, Some(key)) => Some((record.at, record.server.as_str(), *key)),
            _ => None,
        })
        .collect();
    let mut violations = Vec::new();
    for (index, a) in leases.iter().enumerate() {
        for b in &leases[index + 1..] {
            let (first, last) = (a.first.max(b.first), a.last.min(b.last));
            let (from, until) = (a.from.max(b.from), a.until.min(b.until));
            if a.server == b.server || first > last || from >= until {
                continue;
            }
            let ran_on = |server: &str| {
                runs.iter().any(|(at, runner, key)| {
                    *runner == server && (first..=last).contains(key) && (from..until).contains(at)
                })
            };
            if until - from > OVERLAP_MAX_MS || (ran_on(a.server) && ran_on(b.server)) {
                violations.push(format!(
                    "leases on keys {first}-{last} were held by both {} (fence {}) and {} (fence {}) for {} ms starting at {from} (Unix ms)",
                    a.server,
                    a.fence,
                    b.server,
                    b.fence,
                    until - from
                ));
            }
        }
    }
    violations
}

/// Returns the grants that a server accepted under a fence that its former incarnation had for the same keys: the fence
/// then doesn't tell the work of the two apart.
pub(super) fn check_fences(records: &[EventRecord]) -> Vec<String> {
    /// First key, last key and fence.
    type Grant = (u16, u16, u64);
    let mut current: BTreeMap<&str, Vec<Grant>> = BTreeMap::new();
    let mut former: BTreeMap<&str, Vec<Grant>> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in records {
        let server = record.server.as_str();
        match record.event {
            ServerEvent::Grant(first, last, fence, _) => {
                let is_reused = |grant: &&Grant| grant.0 <= last && first <= grant.1 && grant.2 >= fence;
                if let Some((a, b, used)) = former.get(server).and_then(|grants| grants.iter().find(is_reused)) {
                    violations.push(format!(
                        "{server} took keys {first}-{last} under fence {fence} at {} (Unix ms); its former incarnation \
                         took keys {a}-{b} under fence {used}",
                        record.at
                    ));
                }
                current.entry(server).or_default().push((first, last, fence));
            }
            ServerEvent::End => {
                let ended = current.remove(server).unwrap_or_default();
                former.entry(server).or_default().extend(ended);
            }
            ServerEvent::Release(..) | ServerEvent::Run(..) | ServerEvent::Refuse(_) | ServerEvent::Resume => {}
        }
    }
    violations
}

/// Returns the requests that ran although their credential had been removed so long before that each host must have
/// refused them.
pub(super) fn check_removal(records: &[EventRecord], removed_at: Option<u64>) -> Vec<String> {
    let Some(last) = removed_at.map(|at| at + REMOVAL_BOUND_MS + REQUEST_TIME_MS) else {
        return Vec::new();
    };
    let late = records.iter().filter(|record| record.at > last);
    let late = late.filter_map(|record| match &record.event {
        ServerEvent::Run(id, _) if id.starts_with(REMOVED_ID) => Some(format!(
            "{id} ran {} ms after the bound on its removed credential",
            record.at - last
        )),
        _ => None,
    });
    late.collect()
}

fn collect_leases(records: &[EventRecord]) -> Vec<Lease<'_>> {
    let mut ended: Vec<Lease<'_>> = Vec::new();
    let mut active: Vec<Lease<'_>> = Vec::new();
    let mut resumed: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        if record.event == ServerEvent::Resume {
            resumed.insert(&record.server, record.at);
        }
        let is_late = resumed
            .get(record.server.as_str())
            .is_some_and(|at| record.at < at + RESUME_SLACK_MS);
        let is_unexpired = |lease: &Lease<'_>| lease.server == record.server && lease.until > record.at;
        match record.event {
            ServerEvent::Grant(..) if is_late => {}
            ServerEvent::Grant(first, last, fence, until) => {
                // A renewal extends the existing lease.
                let is_renewed = |lease: &&mut Lease<'_>| {
                    is_unexpired(lease) && (lease.first, lease.last, lease.fence) == (first, last, fence)
                };
                if let Some(lease) = active.iter_mut().find(is_renewed) {
                    lease.until = lease.until.max(until);
                } else {
                    active.push(Lease {
                        server: &record.server,
                        first,
                        last,
                        fence,
                        from: record.at,
                        until,
                    });
                }
            }
            ServerEvent::Release(first, last, fence) => {
                for lease in std::mem::take(&mut active) {
                    if !is_unexpired(&lease) || lease.fence > fence || lease.last < first || last < lease.first {
                        active.push(lease);
                        continue;
                    }
                    // The lease goes on for keys outside the released range and ends for the others.
                    for (first, last) in [(lease.first, first.wrapping_sub(1)), (last.wrapping_add(1), lease.last)] {
                        if first >= lease.first && last <= lease.last && first <= last {
                            active.push(Lease {
                                first,
                                last,
                                ..lease.clone()
                            });
                        }
                    }
                    let (first, last) = (lease.first.max(first), lease.last.min(last));
                    ended.push(Lease {
                        first,
                        last,
                        until: record.at,
                        ..lease
                    });
                }
            }
            ServerEvent::End => {
                for lease in active.iter_mut().filter(|lease| is_unexpired(lease)) {
                    lease.until = record.at;
                }
            }
            ServerEvent::Run(..) | ServerEvent::Refuse(_) | ServerEvent::Resume => {}
        }
        let (expired, remaining) = std::mem::take(&mut active)
            .into_iter()
            .partition(|lease| lease.until <= record.at);
        active = remaining;
        ended.extend::<Vec<_>>(expired);
    }
    ended.extend(active);
    ended
}
