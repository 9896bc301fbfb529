//! Suspects of crashes that hundreds of hosts share.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::super::{Crash, CrashReport, Fingerprint, HostRing, RequestReport, Suspects};
use super::{ms, name, poisonous};
use crate::types::HostName;

const HOST_COUNT: usize = 300;
/// Homes of a request, each of which gets a report twice.
const REPORT_COPIES: usize = 6;
/// Time between two rounds of messages.
const ROUND_MS: u64 = 300;

/// Hosts that exchange reports without loss.
struct Network {
    hosts: Vec<HostName>,
    suspects: Vec<Suspects>,
    /// Reports that each host has sent to homes, and to all hosts.
    to_homes: Vec<usize>,
    to_all: Vec<usize>,
}

impl Network {
    fn new() -> Self {
        let hosts = (0..HOST_COUNT).map(|number| format!("front-{number}").parse().expect("valid name"));
        Self {
            hosts: hosts.collect(),
            suspects: vec![Suspects::default(); HOST_COUNT],
            to_homes: vec![0; HOST_COUNT],
            to_all: vec![0; HOST_COUNT],
        }
    }

    fn crash(&mut self, host: usize, request: Fingerprint, upstream: &str, ended: Instant) {
        let crash = Crash {
            upstream: name(upstream),
            heard: None,
            sent: ended - ms(20),
            ended,
            noticed: ended + ms(100),
        };
        let own = &self.hosts[host];
        self.suspects[host].record_crash(ended + ms(100), own, request, crash);
    }

    fn deliver(&mut self, now: Instant, recipient: usize, sender: &HostName, reports: &[RequestReport]) {
        let ring = HostRing::new(self.hosts.iter());
        let own = &self.hosts[recipient];
        for (request, report) in reports.iter().filter(|_| sender != own) {
            let effect = self.suspects[recipient].apply_report(now, sender, *request, report.clone());
            if effect.is_shared_news && ring.homes(*request).any(|home| home == own) {
                self.suspects[recipient].request_report(*request);
            }
        }
    }

    /// Exchanges the reports that are due.
    fn exchange(&mut self, now: Instant) {
        for sender in 0..HOST_COUNT {
            let ring = HostRing::new(self.hosts.iter());
            let due = self.suspects[sender].take_reports(&self.hosts[sender], &ring);
            let own = self.hosts[sender].clone();
            let numbers: BTreeMap<HostName, usize> = self.hosts.iter().cloned().zip(0..).collect();
            for (home, reports) in due.to_homes {
                self.to_homes[sender] += reports.len();
                self.deliver(now, numbers[&home], &own, &reports);
            }
            for (host, reports) in due.to_all {
                self.to_all[sender] += reports.len();
                for recipient in (0..HOST_COUNT).filter(|&recipient| recipient != sender) {
                    self.deliver(now, recipient, &host, &reports);
                }
            }
        }
    }

    fn blocking_hosts(&self, request: Fingerprint) -> usize {
        self.suspects
            .iter()
            .filter(|suspects| suspects.is_blocked(request))
            .count()
    }
}

/// Guards against a cost that grows with hosts, crashes and requests when the loss of a zone ends hundreds of upstreams:
/// each host told all others of everything that ran there, which used up the processor time of small hosts.
#[test]
fn loss_of_a_zone_costs_each_host_only_its_own_requests() {
    let start = Instant::now();
    let mut network = Network::new();
    let own_requests = 8;
    let frequent = Fingerprint::of("GET", "/frequent", []);
    for host in 0..HOST_COUNT {
        for number in 0..own_requests - 1 {
            let request = Fingerprint::of("GET", &format!("/{host}/{number}"), []);
            network.crash(host, request, &format!("u{}", (host + number) % 180), start);
        }
        network.crash(host, frequent, &format!("u{}", host % 180), start);
    }
    for round in 1..6 {
        network.exchange(start + ms(ROUND_MS * round));
    }
    assert!(
        network
            .to_homes
            .iter()
            .all(|&sent| sent <= own_requests * REPORT_COPIES)
    );
    assert_eq!(
        network.to_all.iter().sum::<usize>(),
        0,
        "a crash of the zone was told to all hosts"
    );
    assert!(network.suspects.iter().all(|suspects| suspects.may_retry(frequent)));
}

/// Guards against a poisonous request that goes on crashing upstreams because its crashes were seen by different hosts.
#[test]
fn crashes_seen_by_three_hosts_block_a_request_everywhere() {
    let start = Instant::now();
    let mut network = Network::new();
    for (number, host) in [(0, 7), (1, 120), (2, 251)] {
        network.crash(host, poisonous(), &format!("u{number}"), start + ms(700 * number));
    }
    network.exchange(start + ms(1_600));
    network.exchange(start + ms(1_900));
    assert_eq!(network.blocking_hosts(poisonous()), HOST_COUNT);
    // A report reaches all hosts through three homes, twice, with what three hosts have seen.
    assert!(network.to_all.iter().sum::<usize>() <= 3 * REPORT_COPIES * 2);
}

/// Guards against blocking a frequent request that ran during three crashes, because the hosts that served it in between
/// did not know that it was suspected.
#[test]
fn response_seen_by_another_host_clears_a_request() {
    let start = Instant::now();
    let mut network = Network::new();
    let request = Fingerprint::of("GET", "/frequent", []);
    for (number, host) in [(0, 7), (1, 120), (2, 251)] {
        network.crash(host, request, &format!("u{number}"), start + ms(10_000 * number));
        network.suspects[40].record_served(request, start + ms(10_000 * number + 5_000));
    }
    for round in 0..6 {
        network.exchange(start + ms(26_000 + ROUND_MS * round));
    }
    assert_eq!(network.blocking_hosts(request), 0);
}

/// Guards against homes that change for all requests when one host is lost: what they know would be lost with it.
#[test]
fn loss_of_a_host_changes_only_its_own_requests() {
    let network = Network::new();
    let (ring, smaller) = (
        HostRing::new(network.hosts.iter()),
        HostRing::new(network.hosts[1..].iter()),
    );
    let requests = (0..3_000).map(|number| Fingerprint::of("GET", &format!("/{number}"), []));
    let mut homes_used = BTreeSet::new();
    for request in requests {
        let before: Vec<_> = ring.homes(request).collect();
        let after: Vec<_> = smaller.homes(request).collect();
        assert_eq!(before.len(), 3);
        if !before.contains(&&network.hosts[0]) {
            assert_eq!(before, after);
        }
        homes_used.extend(before);
    }
    assert!(homes_used.len() > HOST_COUNT * 9 / 10, "{} homes", homes_used.len());
}

/// Guards against a report without crashes that counts as a crash or is passed on to all hosts.
#[test]
fn empty_report_does_not_count_as_crash() {
    let mut suspects = Suspects::default();
    let host = "a".parse().expect("valid name");
    let effect = suspects.apply_report(Instant::now(), &host, poisonous(), CrashReport::default());
    assert_eq!(effect.crashes, 0);
    assert!(!effect.is_shared_news);
}
