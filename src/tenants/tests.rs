use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::{
    Allowance, AuthError, CapDecision, CapKeeper, CapLimits, Freshness, Issue, SPARE_SHARE, Tenant, TenantDirectory,
};
use crate::budget::Division;
use crate::types::{HostName, Rate, TenantName};

const STEP: Duration = Duration::from_millis(20);
/// Window over which the requests of a tenant are counted, and by how much its cap may be exceeded in it.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const EXTRA: f64 = 20.0;

fn tenant(name: &str) -> Rc<Tenant> {
    Rc::new(Tenant {
        name: name.parse().expect("valid name"),
        priority: Some(1),
        rate: Some(5.0),
        burst: 5.0,
    })
}

fn authenticate(directory: &TenantDirectory, credentials: &[&[u8]]) -> Result<String, AuthError> {
    let found = directory.authenticate(credentials.iter().copied());
    found.map(|tenant| tenant.name.to_string())
}

/// Guards against accepting a request without the one credential that a tenant holds, or for another tenant.
#[test]
fn only_the_single_credential_of_a_tenant_is_accepted() {
    let mut directory = TenantDirectory::new([7; 16]);
    assert_eq!(directory.add("key-a", &tenant("a")), None);
    assert_eq!(directory.add("key-b", &tenant("b")), None);
    let holder = directory.add("key-a", &tenant("b"));
    assert_eq!(
        holder,
        Some("a".parse().expect("valid name")),
        "a credential of two tenants"
    );
    assert_eq!(authenticate(&directory, &[b"key-a"]), Ok("a".to_owned()));
    assert_eq!(authenticate(&directory, &[b"key-b"]), Ok("b".to_owned()));
    for unknown in [&b""[..], b"key-c", b"KEY-A", b"key-"] {
        assert_eq!(authenticate(&directory, &[unknown]), Err(AuthError::Unknown));
    }
    assert_eq!(authenticate(&directory, &[]), Err(AuthError::Unknown));
    let long = [b'k'; 300];
    for malformed in [&b"key-a\xff"[..], b"key a", &long] {
        assert_eq!(authenticate(&directory, &[malformed]), Err(AuthError::Malformed));
    }
    assert_eq!(
        authenticate(&directory, &[b"key-a", b"key-a"]),
        Err(AuthError::Malformed)
    );
}

/// Hosts of a fleet that share the cap of one tenant, with messages that are delayed and lost.
struct CapSimulation {
    now: Instant,
    start: Instant,
    limits: CapLimits,
    names: Vec<HostName>,
    hosts: Vec<Allowance>,
    divisions: Vec<Division>,
    keeper: CapKeeper,
    /// Issues under way, by their arrival and host, without the tokens of the requests that wait for them.
    issues: VecDeque<(Instant, usize, Issue)>,
    admitted: Vec<Instant>,
    refused: usize,
}

impl CapSimulation {
    fn new(host_count: usize, limits: CapLimits) -> Self {
        let start = Instant::now();
        let names: Vec<HostName> = (0..host_count)
            .map(|n| format!("h-{n}").parse().expect("valid name"))
            .collect();
        let division = |own| Division::of_host(Duration::ZERO, names.iter(), own, "a");
        Self {
            now: start,
            start,
            limits,
            hosts: vec![Allowance::new(start); host_count],
            divisions: names.iter().map(division).collect(),
            names,
            keeper: CapKeeper::new(start, 1),
            issues: VecDeque::new(),
            admitted: Vec::new(),
            refused: 0,
        }
    }

    /// Sends requests to a host in one step. `delay` is that of the keeper's answer; without one, it gives none.
    fn send(&mut self, host: usize, requests: u32, delay: Option<Duration>) {
        let tenant: TenantName = "a".parse().expect("valid name");
        let now = self.now;
        let mut waiting = 0;
        for _ in 0..requests {
            self.hosts[host].record_request(now);
            match self.hosts[host].decide(now) {
                CapDecision::Admit => self.admitted.push(now),
                CapDecision::Refuse(_) => self.refused += 1,
                CapDecision::Ask => waiting += 1,
            }
        }
        if waiting == 0 {
            return;
        }
        let Some(delay) = delay else {
            let tolerance = (self.limits.rate * WINDOW.as_secs_f64() + self.limits.burst) * OVERAGE + EXTRA;
            let rate = Rate::from_f64(tolerance * SPARE_SHARE / WINDOW.as_secs_f64());
            let turn = (now - self.start).as_secs() / 10;
            if turn != self.divisions[host].turn {
                let time = now - self.start;
                self.divisions[host] = Division::of_host(time, self.names.iter(), &self.names[host], "a");
            }
            for _ in 0..waiting {
                if self.hosts[host].try_spare(now, rate, self.divisions[host]) {
                    self.admitted.push(now);
                } else {
                    self.refused += 1;
                }
            }
            return;
        };
        (0..waiting).for_each(|_| self.hosts[host].record_wait(true));
        let returned = self.hosts[host].take_expired(now);
        let wanted = self.hosts[host].wanted();
        let issue = self.keeper.issue(now, &tenant, self.limits, wanted, returned);
        let taken = waiting.min(issue.tokens);
        let kept = Issue {
            tokens: issue.tokens - taken,
            ..issue
        };
        if kept.tokens > 0 || issue.tokens == 0 {
            self.issues.push_back((now + delay, host, kept));
        }
        (0..waiting).for_each(|_| self.hosts[host].record_wait(false));
        // The requests that wait take their tokens when the answer arrives.
        self.admitted.extend((0..taken).map(|_| now + delay));
        self.refused += usize::try_from(waiting - taken).expect("a small number");
    }

    fn advance(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.issues)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.issues = later;
        for (_, host, issue) in due {
            self.hosts[host].record_issue(now, issue);
        }
    }

    /// Returns the most requests admitted in a window, and the bound on them.
    fn most_in_window(&self) -> (usize, f64) {
        let mut admitted = self.admitted.clone();
        admitted.sort();
        let mut most = 0;
        let mut first = 0;
        for (index, at) in admitted.iter().enumerate() {
            while *at >= admitted[first] + WINDOW {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        let cap = self.limits.rate * WINDOW.as_secs_f64() + self.limits.burst;
        (most, cap * (1.0 + OVERAGE) + EXTRA)
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("a small number"))
}

proptest! {
    /// Guards against more requests of a tenant than its cap and the tolerance allow in a window, whatever its callers
    /// send to which hosts, while answers are late or lost and the keeper changes.
    #[test]
    fn cap_holds_over_all_hosts(
        host_count in prop::sample::select(vec![3_usize, 73, 300]),
        rate in prop::sample::select(vec![2.0_f64, 20.0, 290.0]),
        loads in prop::collection::vec((any::<prop::sample::Index>(), 0_u32..30, 0_u8..10), 500..900),
        keeper_changes in prop::collection::vec(0_usize..900, 0..3),
    ) {
        let limits = CapLimits { rate, burst: rate };
        let mut simulation = CapSimulation::new(host_count, limits);
        for (step, (host, requests, luck)) in loads.into_iter().enumerate() {
            if keeper_changes.contains(&step) {
                let epoch = simulation.keeper.epoch() + 1;
                simulation.keeper = CapKeeper::new(simulation.now, epoch);
            }
            let delay = (luck > 1).then_some(if luck == 2 { STEP * 4 } else { STEP });
            simulation.send(host.index(host_count), requests, delay);
            simulation.advance();
        }
        let (most, bound) = simulation.most_in_window();
        prop_assert!(to_f64(most) <= bound, "{most} requests, {bound} allowed");
    }
}

/// Guards against refusing a tenant below its cap because its callers are at few hosts, or move to others.
#[test]
fn tenant_below_its_cap_is_served_wherever_its_callers_are() {
    let limits = CapLimits {
        rate: 100.0,
        burst: 100.0,
    };
    let mut simulation = CapSimulation::new(73, limits);
    // After a second, in which the first bucket fills, all callers are at 2 of 73 hosts, and later at 2 others.
    (0..50).for_each(|_| simulation.advance());
    for step in 0..1_000 {
        let hosts = if step < 500 { [3, 4] } else { [40, 72] };
        for host in hosts {
            simulation.send(host, 1, Some(Duration::from_millis(2)));
        }
        simulation.advance();
    }
    assert_eq!(simulation.refused, 0, "100 requests a second under a cap of 100");
}

/// Guards against a tenant that sends many times its usual and takes the tokens of another, or is cut off altogether.
#[test]
fn hot_tenant_gets_its_cap_and_leaves_others_theirs() {
    let now = Instant::now();
    let mut keeper = CapKeeper::new(now, 1);
    let limits = CapLimits {
        rate: 50.0,
        burst: 50.0,
    };
    let (hot, calm): (TenantName, TenantName) = ("hot".parse().expect("name"), "calm".parse().expect("name"));
    let (mut hot_tokens, mut calm_tokens) = (0, 0);
    for step in 0..500_u32 {
        let now = now + STEP * step;
        hot_tokens += keeper.issue(now, &hot, limits, 20, 0).tokens;
        if step % 2 == 1 {
            calm_tokens += keeper.issue(now, &calm, limits, 1, 0).tokens;
        }
    }
    assert_eq!(calm_tokens, 250);
    assert!(
        (450..=550).contains(&hot_tokens),
        "{hot_tokens} tokens in 10 s at 50 a second"
    );
}

proptest! {
    /// Guards against accepting a credential longer than the bound after it was removed, whatever answers a host gets
    /// from others, whose knowledge comes from others again.
    #[test]
    fn removed_credentials_are_refused_in_time(
        steps in prop::collection::vec((0_usize..5, 0_usize..5, 0_u64..400, any::<bool>()), 1..200),
        removed_at in 0_u64..20_000,
    ) {
        let bound = Duration::from_secs(5);
        let mut hosts = [Freshness::default(); 5];
        let mut now = Duration::from_secs(100);
        let removed = now + Duration::from_millis(removed_at);
        for (to, from, wait, is_read) in steps {
            let asked = now;
            // A host that is suspended or cut off for a time gets the answer late.
            now += Duration::from_millis(wait);
            if is_read && asked < removed {
                // Later reads would show the removal.
                hosts[to].record(asked);
            } else if let Some(age) = hosts[from].age(now) {
                now += Duration::from_millis(wait);
                hosts[to].record_answer(asked, age);
            }
            for host in hosts {
                prop_assert!(!host.accepts(now, bound) || now < removed + bound);
            }
        }
    }
}
