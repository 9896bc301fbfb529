//! Follows the store's topics: reads them in turn with other hosts and passes on what was read.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::peers::Message;
use super::state::Gateway;
use super::watch::{apply_record, knows_owners, reset_topic};
use crate::platform::{HOST_TOPIC, OPERATOR_TOPIC, Record, StoreError, UPSTREAM_TOPIC};
use crate::relay::{Continuity, ReaderCandidate, Schedule, Topic, TopicDelta, Update, rank_readers};
use crate::types::{HostName, Offset};

/// Most bytes of records that are passed on for one topic; packed they fit into a datagram.
const UPDATES_MAX: usize = 24 << 10;

fn name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operators => OPERATOR_TOPIC,
        Topic::Upstreams => UPSTREAM_TOPIC,
        Topic::Hosts => HOST_TOPIC,
    }
}

/// How far this host has followed the topics.
#[derive(Debug)]
pub(crate) struct Feed {
    /// Next record of each topic that was listed.
    next: RefCell<BTreeMap<Topic, Offset>>,
    /// Topics that have to be read now.
    wanted: RefCell<BTreeSet<Topic>>,
    asked: Notify,
    /// The last read failed.
    is_lost: Cell<bool>,
    pub(crate) schedule: Cell<Schedule>,
}

impl Feed {
    pub(crate) fn new(spread: f64) -> Self {
        Self {
            next: RefCell::default(),
            wanted: RefCell::default(),
            asked: Notify::new(),
            is_lost: Cell::new(false),
            schedule: Cell::new(Schedule::new(Instant::now(), spread)),
        }
    }

    /// Gives the topics that were asked for, which then have to be read.
    pub(super) fn take_wanted(&self) -> BTreeSet<Topic> {
        std::mem::take(&mut *self.wanted.borrow_mut())
    }

    /// Asks for a read of a topic now.
    pub(crate) fn request_read(&self, topic: Topic) {
        self.wanted.borrow_mut().insert(topic);
        self.asked.notify_one();
    }

    pub(super) fn next(&self, topic: Topic) -> Option<Offset> {
        self.next.borrow().get(&topic).copied()
    }
}

/// Gives the hosts that read for all, by rank.
pub(super) fn readers(gateway: &Gateway) -> Vec<HostName> {
    let hosts = gateway.hosts.borrow();
    let candidates = hosts.iter().map(|(host, presence)| ReaderCandidate {
        host,
        zone: &presence.zone,
        millicores: presence.millicores,
    });
    rank_readers(candidates).into_iter().cloned().collect()
}

/// Gives this host's rank among those that read for all.
pub(super) fn rank(gateway: &Gateway) -> Option<usize> {
    readers(gateway).iter().position(|host| *host == gateway.settings.host)
}

/// Reads the topics when it is this host's turn, for the life of the process.
pub(crate) async fn follow(gateway: Rc<Gateway>) {
    loop {
        let topics = wait_due(&gateway).await;
        let started = Instant::now();
        // While the store doesn't answer, one call shows its return as well as three.
        let probe = if gateway.feed.schedule.get().is_failing() {
            refresh(&gateway, Topic::Upstreams).await
        } else {
            Ok(None)
        };
        let result = match probe {
            Ok(_) => refresh_all(&gateway, &topics).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(deltas) => record_success(&gateway, started, &topics, deltas),
            Err(error) => {
                gateway.feed.wanted.borrow_mut().extend(Topic::ALL);
                let pause = record_failure(&gateway, &error);
                sleep(pause).await;
            }
        }
    }
}

/// Reads topics at the same time; gives what can be passed on.
async fn refresh_all(gateway: &Gateway, topics: &BTreeSet<Topic>) -> Result<Vec<TopicDelta>, StoreError> {
    let refresh_wanted = async |topic| {
        if topics.contains(&topic) {
            refresh(gateway, topic).await
        } else {
            Ok(None)
        }
    };
    let (operators, upstreams, hosts) = tokio::join!(
        refresh_wanted(Topic::Operators),
        refresh_wanted(Topic::Upstreams),
        refresh_wanted(Topic::Hosts),
    );
    Ok([operators?, upstreams?, hosts?].into_iter().flatten().collect())
}

fn record_success(gateway: &Gateway, started: Instant, topics: &BTreeSet<Topic>, deltas: Vec<TopicDelta>) {
    if topics.len() == Topic::ALL.len() && gateway.feed.wanted.borrow().is_empty() {
        let mut schedule = gateway.feed.schedule.get();
        schedule.record_read(started);
        gateway.feed.schedule.set(schedule);
        pass_on(gateway, deltas);
    }
}

fn record_failure(gateway: &Gateway, error: &StoreError) -> Duration {
    gateway.fleet.borrow_mut().record_store_failure(Instant::now());
    if !gateway.feed.is_lost.replace(true) {
        warn!(gateway.log, "store lost"; "error" => %error);
    }
    let mut schedule = gateway.feed.schedule.get();
    let pause = schedule.record_failure(rank(gateway));
    gateway.feed.schedule.set(schedule);
    pause
}

/// Notes that the store answers again, before what it holds is taken in: entries may have lapsed
/// meanwhile and come back from now on.
fn record_store_recovery(gateway: &Gateway) {
    if gateway.feed.is_lost.replace(false) {
        info!(gateway.log, "store regained");
        gateway.fleet.borrow_mut().record_store_failure(Instant::now());
    }
}

/// Waits until a read is due; gives the topics to be read.
async fn wait_due(gateway: &Gateway) -> BTreeSet<Topic> {
    loop {
        let wanted = gateway.feed.take_wanted();
        if !wanted.is_empty() {
            return wanted;
        }
        let now = Instant::now();
        let is_degraded = gateway.store.is_degraded(now);
        let due = gateway.feed.schedule.get().due(rank(gateway), is_degraded);
        let Some(due) = due.filter(|due| *due > now) else {
            return Topic::ALL.into();
        };
        tokio::select! {
            () = sleep_until(due) => {}
            () = gateway.feed.asked.notified() => {}
        }
    }
}

/// Reads a topic, or lists it if the next record isn't known; gives what can be passed on.
async fn refresh(gateway: &Gateway, topic: Topic) -> Result<Option<TopicDelta>, StoreError> {
    let Some(from) = gateway.feed.next(topic) else {
        list(gateway, topic).await?;
        return Ok(None);
    };
    match gateway.store.read(name(topic), from).await {
        Ok(batch) => {
            record_store_recovery(gateway);
            if !batch.is_last {
                gateway.feed.request_read(topic);
            }
            Ok(Some(apply_records(gateway, topic, batch.next, batch.records)))
        }
        Err(StoreError::Gone(first)) => {
            info!(gateway.log, "records gone, listing again"; "topic" => name(topic), "first" => first.0);
            list(gateway, topic).await?;
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

async fn list(gateway: &Gateway, topic: Topic) -> Result<(), StoreError> {
    let listing = gateway.store.list(name(topic)).await?;
    record_store_recovery(gateway);
    for record in &listing.records {
        apply_record(gateway, topic, record);
    }
    let keys = listing.records.iter().map(|record| record.key.as_str()).collect();
    reset_topic(gateway, topic, &keys);
    gateway.feed.next.borrow_mut().insert(topic, listing.next);
    Ok(())
}

/// Applies records that were read, but for those that another host has passed on meanwhile.
pub(super) fn apply_records(gateway: &Gateway, topic: Topic, next: Offset, records: Vec<Record>) -> TopicDelta {
    let from = gateway.feed.next(topic).unwrap_or(next);
    let mut updates = Vec::new();
    let mut size = 0;
    for record in records.into_iter().filter(|record| record.offset >= from) {
        if let Some(item) = apply_record(gateway, topic, &record) {
            size += item.size();
            updates.push(item);
        }
    }
    gateway.feed.next.borrow_mut().insert(topic, next.max(from));
    TopicDelta {
        topic,
        from,
        next: next.max(from),
        updates: (size <= UPDATES_MAX).then_some(updates),
    }
}

/// Sends what was read to all other hosts if this host is one of those that do so.
fn pass_on(gateway: &Gateway, deltas: Vec<TopicDelta>) {
    if deltas.len() == Topic::ALL.len() && rank(gateway).is_some() && !gateway.is_stopping.get() {
        gateway.outbox.send(Message::Relay(deltas));
    }
}

/// Takes in what another host has read; asks the store for what is missing.
pub(crate) fn apply_deltas(gateway: &Gateway, deltas: &[TopicDelta]) {
    record_store_recovery(gateway);
    let mut is_old = false;
    for delta in deltas {
        let next = gateway.feed.next(delta.topic);
        let is_missing = match delta.continuity(next) {
            Continuity::Current => false,
            Continuity::Stale => {
                is_old = true;
                false
            }
            Continuity::Continues => !apply_updates(gateway, delta, next.unwrap_or_default()),
            Continuity::Gap => true,
        };
        if is_missing {
            gateway.feed.request_read(delta.topic);
        } else {
            gateway.feed.wanted.borrow_mut().remove(&delta.topic);
        }
    }
    if !is_old {
        let mut schedule = gateway.feed.schedule.get();
        schedule.record_relayed(Instant::now());
        gateway.feed.schedule.set(schedule);
    }
}

/// Applies what another host has read; false if this host has to read it itself.
fn apply_updates(gateway: &Gateway, delta: &TopicDelta, next: Offset) -> bool {
    for update in delta.updates.iter().flatten() {
        match update {
            Update::Record(record) if record.offset >= next => {
                apply_record(gateway, delta.topic, record);
            }
            Update::Record(_) => {}
            Update::Owners { pool, epoch, revision } => {
                if !knows_owners(gateway, pool, (*epoch, *revision)) {
                    return false;
                }
            }
        }
    }
    gateway.feed.next.borrow_mut().insert(delta.topic, delta.next);
    true
}
