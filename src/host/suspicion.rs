//! Finds out whether upstreams crashed, and keeps requests that may have crashed them apart.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::Shared;
use super::credits::note_crash;
use super::upstream_calls::CallEnd;
use crate::choice::{Crash, Fingerprint, RunEnd, Standing, SuspectMessage, Suspects, Target};
use crate::peer::SuspectNews;
use crate::types::{HostName, Instance, Reason, UpstreamName};

/// Time between two probes of an upstream that may have crashed.
const PROBE_EVERY: Duration = Duration::from_millis(100);
/// Probes until the question stays open; a suspicion ends by itself after 5 s.
const PROBES_MAX: u32 = 20;
/// Age up to which a crash is news; an older one may be of a run before the present one.
const CRASH_NEWS: Duration = Duration::from_secs(2);
/// Time between two questions of a request that waits.
const JUDGE_EVERY: Duration = Duration::from_millis(20);

/// Suspects known to this host.
#[derive(Debug)]
pub(crate) struct Suspicion {
    suspects: Mutex<Suspects>,
    changed: watch::Sender<u64>,
}

type Messages = Vec<(Target, SuspectMessage)>;

impl Suspicion {
    pub(crate) fn new(me: &Instance, now: Instant) -> Self {
        // Runs of a later incarnation must be numbered above those of an earlier one.
        let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let first_run = u64::try_from(since.as_micros()).unwrap_or(0);
        let suspects = Mutex::new(Suspects::new(me.host.clone(), first_run, now));
        Self {
            suspects,
            changed: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the suspects and wakes the requests that wait.
    fn change(&self, change: impl FnOnce(&mut Suspects) -> Messages) -> Messages {
        let messages = change(&mut self.lock());
        // Nobody waits while there are no suspects.
        if self.changed.receiver_count() > 0 {
            self.changed.send_modify(|n| *n += 1);
        }
        messages
    }
}

/// A request in flight, as the suspects see it.
#[derive(Debug)]
pub(crate) struct WatchedRun {
    shared: Arc<Shared>,
    fingerprint: Fingerprint,
    upstream: UpstreamName,
    address: SocketAddr,
    alone: bool,
    end: RunEnd,
}

impl WatchedRun {
    /// Starts a run; the request's standing has to allow it.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        address: SocketAddr,
        alone: bool,
    ) -> Self {
        shared.suspicion.lock().start(fingerprint);
        let shared = Arc::clone(shared);
        Self {
            shared,
            fingerprint,
            upstream: upstream.clone(),
            address,
            alone,
            end: RunEnd::Other,
        }
    }

    pub(crate) fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        let incarnation = self.shared.policies.incarnation(&self.upstream).unwrap_or_default();
        let crash = Crash {
            upstream: self.upstream.clone(),
            incarnation,
        };
        let (fingerprint, end, alone) = (self.fingerprint, self.end, self.alone);
        let now = Instant::now();
        let messages = self
            .shared
            .suspicion
            .change(|s| s.finish(fingerprint, crash.clone(), end, alone, now));
        send_messages(&self.shared, messages);
        if end == RunEnd::Broken {
            tokio::spawn(examine_crash(Arc::clone(&self.shared), crash, self.address));
        }
    }
}

/// Waits until a request may run and tells whether it must run alone.
///
/// # Errors
///
/// Gives the reason if the request is blocked or its turn doesn't come before the deadline.
pub(crate) async fn wait_for_standing(
    shared: &Arc<Shared>,
    fingerprint: Fingerprint,
    deadline: Instant,
) -> Result<bool, Reason> {
    let mut changed = None;
    loop {
        let now = Instant::now();
        let (standing, messages) = shared.suspicion.lock().judge(fingerprint, now);
        send_messages(shared, messages);
        match standing {
            Standing::Clear => return Ok(false),
            Standing::Alone => return Ok(true),
            Standing::Blocked => return Err(Reason::SuspectBlocked),
            Standing::Wait if now >= deadline => {
                let messages = shared.suspicion.change(|s| s.give_up(fingerprint, now));
                send_messages(shared, messages);
                return Err(Reason::SuspectWaiting);
            }
            Standing::Wait => {
                let until = deadline.min(now + JUDGE_EVERY);
                match &mut changed {
                    // A change before the subscription shows at the next judgement.
                    None => changed = Some(shared.suspicion.changed.subscribe()),
                    Some(changed) => drop(timeout_at(until, changed.changed()).await),
                }
            }
        }
    }
}

/// Asks an upstream whose connection broke whether it is the same run as before.
async fn examine_crash(shared: Arc<Shared>, crash: Crash, address: SocketAddr) {
    for _ in 0..PROBES_MAX {
        let end = shared.calls.probe(address).await;
        let now = Instant::now();
        let messages = match end {
            CallEnd::Answered(clock) if clock.incarnation == crash.incarnation => {
                shared.suspicion.change(|s| s.disprove_crash(&crash, now))
            }
            CallEnd::Answered(_) | CallEnd::Refused => {
                note_crash(&shared, &crash);
                shared.suspicion.change(|s| s.confirm_crash(&crash, now))
            }
            CallEnd::Failed => {
                sleep(PROBE_EVERY).await;
                continue;
            }
        };
        return send_messages(&shared, messages);
    }
}

/// Notes that an upstream answers with another incarnation than before.
pub(crate) fn note_restart(shared: &Arc<Shared>, upstream: &UpstreamName, before: crate::types::Incarnation) {
    let crash = Crash {
        upstream: upstream.clone(),
        incarnation: before,
    };
    let messages = shared.suspicion.change(|s| s.confirm_crash(&crash, Instant::now()));
    send_messages(shared, messages);
}

/// Takes messages of another host and gives those that answer them.
pub(super) fn take_news(shared: &Arc<Shared>, news: &SuspectNews) {
    let now = Instant::now();
    for crash in news.messages.iter().flat_map(list_proved) {
        note_crash(shared, crash);
    }
    let answers = shared
        .suspicion
        .change(|s| news.messages.iter().flat_map(|m| s.hear(m, now)).collect());
    send_messages(shared, answers);
}

/// Recent crashes that a message proves.
fn list_proved(message: &SuspectMessage) -> impl Iterator<Item = &Crash> {
    let suspect = match message {
        SuspectMessage::Share(suspect) | SuspectMessage::Confirm { suspect, .. } => Some(suspect),
        SuspectMessage::Ask { .. }
        | SuspectMessage::Grant { .. }
        | SuspectMessage::End { .. }
        | SuspectMessage::Ended { .. } => None,
    };
    let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
    let proved = crashes.filter(|(_, info)| info.confirmed && !info.cleared && info.age < CRASH_NEWS);
    proved.map(|(crash, _)| crash)
}

/// Does what time requires.
pub(super) fn tick_suspicion(shared: &Arc<Shared>, members: impl IntoIterator<Item = HostName>, now: Instant) {
    let messages = {
        let mut suspects = shared.suspicion.lock();
        suspects.set_members(members);
        suspects.tick(now)
    };
    send_messages(shared, messages);
}

/// Sends messages to peers, and those to this host itself at once.
fn send_messages(shared: &Arc<Shared>, messages: Messages) {
    if messages.is_empty() {
        return;
    }
    let members: Vec<HostName> = shared.peers.members();
    let mut pending = messages;
    while let Some((target, message)) = pending.pop() {
        let receivers = match target {
            Target::All => members.clone(),
            Target::Host(host) => vec![host],
        };
        for host in receivers {
            if host != shared.me.host {
                tokio::spawn(send_message(Arc::clone(shared), host, message.clone()));
            } else if target_is_me(&message) {
                pending.extend(shared.suspicion.change(|s| s.hear(&message, Instant::now())));
            }
        }
    }
}

/// Tells whether a message has a meaning for its own sender, as the arbiter may be the same host.
fn target_is_me(message: &SuspectMessage) -> bool {
    match message {
        SuspectMessage::Share(_) => false,
        SuspectMessage::Confirm { .. }
        | SuspectMessage::Ask { .. }
        | SuspectMessage::Grant { .. }
        | SuspectMessage::End { .. }
        | SuspectMessage::Ended { .. } => true,
    }
}

async fn send_message(shared: Arc<Shared>, host: HostName, message: SuspectMessage) {
    // A lost message is repeated by the decisions.
    shared
        .peers
        .share_suspects(
            &host,
            SuspectNews {
                messages: vec![message],
            },
        )
        .await
        .ok();
}
