//! Follows the store's topics: reads them in turn with other hosts and relays the records to all hosts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use super::counting::boot_time;
use super::peers::Message;
use super::state::{Gateway, Presence};
use super::watch::{apply_listing, apply_record, has_table, is_returned_entry};
use crate::fleet::EXPIRY_GRACE;
use crate::keys::TableDelta;
use crate::platform::{HOST_TOPIC, OPERATOR_TOPIC, Record, StoreError, UPSTREAM_TOPIC};
use crate::relay::{Continuity, ReaderCandidate, Schedule, Topic, TopicDelta, Update, rank_readers};
use crate::types::{HostName, Offset, StoreEra};

/// Time for which an update waits for one before it.
const DEFER_TIME: Duration = Duration::from_millis(200);
/// Most updates that wait.
const DEFERRED_MAX: usize = 32;
/// Time after the store's return from an older copy in which operators, upstreams and hosts write again what it lost.
const RECONCILE_DELAY: Duration = EXPIRY_GRACE;
/// Most bytes of records that are relayed for one topic; compressed, they fit into a datagram.
const UPDATES_MAX_BYTES: usize = 24 << 10;

fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operators => OPERATOR_TOPIC,
        Topic::Upstreams => UPSTREAM_TOPIC,
        Topic::Hosts => HOST_TOPIC,
    }
}

/// Progress of this host in the topics of the store.
#[derive(Debug)]
pub(crate) struct Feed {
    /// Era of the store that the offsets belong to; `None` before the first response of the store.
    era: Cell<Option<StoreEra>>,
    /// Offset of the next record of each topic that has been listed.
    next_offsets: RefCell<BTreeMap<Topic, Offset>>,
    /// Offset of the next record of each topic as other hosts know it.
    relayed_offsets: RefCell<BTreeMap<Topic, Offset>>,
    /// Topics that have to be read without waiting for the schedule.
    requested: RefCell<BTreeSet<Topic>>,
    read_requested: Notify,
    /// Set by a failed read; cleared by a successful one or a delta from a reader.
    store_lost: Cell<bool>,
    pub(crate) schedule: Cell<Schedule>,
    deferred: RefCell<Vec<Deferred>>,
    /// When the store was last known to have come back from a copy, until this host has reconciled its state.
    restored: Cell<Option<Instant>>,
    /// Time from which on a read shows all that the store had acknowledged.
    complete_from: Cell<Option<Instant>>,
}

/// An update that can't be applied yet: one before it may still be on its way, as datagrams overtake each other.
#[derive(Clone, Debug)]
struct Deferred {
    since: Instant,
    update: DeferredUpdate,
}

#[derive(Clone, Debug)]
enum DeferredUpdate {
    /// A relayed delta that names owners of keys that this host doesn't know.
    Relay(TopicDelta),
    /// Owners of keys that changed after a change that this host doesn't know.
    Owners(TableDelta),
}

impl Feed {
    pub(crate) fn new(jitter: f64) -> Self {
        Self {
            era: Cell::default(),
            next_offsets: RefCell::default(),
            relayed_offsets: RefCell::default(),
            requested: RefCell::default(),
            read_requested: Notify::new(),
            store_lost: Cell::new(false),
            schedule: Cell::new(Schedule::new(Instant::now(), jitter)),
            deferred: RefCell::default(),
            restored: Cell::default(),
            complete_from: Cell::default(),
        }
    }

    fn defer(&self, update: DeferredUpdate) {
        let mut deferred = self.deferred.borrow_mut();
        let since = Instant::now();
        deferred.push(Deferred { since, update });
        let surplus = deferred.len().saturating_sub(DEFERRED_MAX);
        deferred.drain(..surplus);
    }

    /// Keeps a change of owners until the change before it arrives.
    pub(super) fn defer_owners(&self, delta: TableDelta) {
        self.defer(DeferredUpdate::Owners(delta));
    }

    /// Takes the deferred changes of owners.
    pub(super) fn take_deferred_owners(&self) -> Vec<TableDelta> {
        let is_owners = |deferred: &mut Deferred| matches!(deferred.update, DeferredUpdate::Owners(_));
        let mut deferred = self.deferred.borrow_mut();
        let taken = deferred.extract_if(.., is_owners);
        let owners = taken.filter_map(|deferred| match deferred.update {
            DeferredUpdate::Owners(delta) => Some(delta),
            DeferredUpdate::Relay(_) => None,
        });
        owners.collect()
    }

    /// Takes the topics whose read was requested; the caller has to read them.
    pub(super) fn take_requested(&self) -> BTreeSet<Topic> {
        std::mem::take(&mut *self.requested.borrow_mut())
    }

    /// Requests a read of a topic at once.
    pub(crate) fn request_read(&self, topic: Topic) {
        self.requested.borrow_mut().insert(topic);
        self.read_requested.notify_one();
    }

    fn request_all(&self) {
        for topic in Topic::ALL {
            self.request_read(topic);
        }
    }

    fn record_relayed_offset(&self, topic: Topic, next: Offset) {
        let mut offsets = self.relayed_offsets.borrow_mut();
        let known = offsets.entry(topic).or_default();
        *known = next.max(*known);
    }

    /// Reports whether another host has records of a topic that this host still has to read.
    pub(super) fn lacks_records(&self, topic: Topic) -> bool {
        self.relayed_offsets.borrow().get(&topic).copied() > self.next_offset(topic)
    }

    /// Reports whether this host's state is to be reconciled with what the store has since it came back from a copy.
    fn is_unsettled(&self) -> bool {
        self.restored.get().is_some()
    }

    /// Reports whether a read shows all that the store had acknowledged. It may not in the first seconds of an era, nor in
    /// those of a process, which can't tell how old the era is.
    pub(super) fn is_store_complete(&self, now: Instant) -> bool {
        self.complete_from.get().is_some_and(|from| now >= from)
    }

    /// Returns the era of the store that the offsets belong to.
    pub(super) fn era(&self) -> StoreEra {
        self.era.get().unwrap_or_default()
    }

    pub(super) fn next_offset(&self, topic: Topic) -> Option<Offset> {
        self.next_offsets.borrow().get(&topic).copied()
    }
}

/// Returns the readers by rank: the hosts that read the store and relay its records to all others.
pub(super) fn readers(gateway: &Gateway) -> Vec<HostName> {
    let hosts = gateway.hosts.borrow();
    let candidates = hosts.iter().map(|(host, presence)| candidate(host, presence));
    rank_readers(candidates).into_iter().cloned().collect()
}

fn candidate<'a>(host: &'a HostName, presence: &'a Presence) -> ReaderCandidate<'a> {
    ReaderCandidate {
        host,
        zone: &presence.zone,
        millicores: presence.millicores,
    }
}

/// Returns this host's rank among the readers, if it is one.
pub(super) fn reader_rank(gateway: &Gateway) -> Option<usize> {
    readers(gateway).iter().position(|host| *host == gateway.settings.host)
}

/// Returns this host's rank among the candidates for the grantor: the readers, of hosts that reach upstreams.
pub(super) fn election_rank(gateway: &Gateway) -> Option<usize> {
    let now = Instant::now();
    let hosts = gateway.hosts.borrow();
    let linked = hosts.iter().filter(|(host, _)| !gateway.links.is_host_cut(now, host));
    let ranked = rank_readers(linked.map(|(host, presence)| candidate(host, presence)));
    ranked.into_iter().position(|host| *host == gateway.settings.host)
}

/// Reads the topics whenever a read is due or requested, for the life of the process.
pub(crate) async fn follow_topics(gateway: Rc<Gateway>) {
    loop {
        let topics = wait_for_read(&gateway).await;
        let (started, boot_started) = (Instant::now(), boot_time());
        // While the store doesn't respond, one call detects its recovery as well as three.
        let probe = if gateway.feed.schedule.get().is_failing() {
            read_topic(&gateway, Topic::Upstreams).await
        } else {
            Ok(None)
        };
        let result = match probe {
            Ok(_) => read_topics(&gateway, &topics).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(deltas) => {
                let is_complete = !gateway.feed.requested.borrow().contains(&Topic::Operators);
                if topics.contains(&Topic::Operators) && is_complete && gateway.feed.is_store_complete(started) {
                    gateway.tenancy.record_read(boot_started);
                }
                record_success(&gateway, started, &topics, deltas);
            }
            Err(error) => {
                gateway.feed.requested.borrow_mut().extend(Topic::ALL);
                let backoff = record_failure(&gateway, &error);
                sleep(backoff).await;
            }
        }
    }
}

/// Reads topics concurrently and returns the deltas that can be relayed.
async fn read_topics(gateway: &Gateway, topics: &BTreeSet<Topic>) -> Result<Vec<TopicDelta>, StoreError> {
    let read_if_requested = async |topic| {
        if topics.contains(&topic) {
            read_topic(gateway, topic).await
        } else {
            Ok(None)
        }
    };
    let (operators, upstreams, hosts) = tokio::join!(
        read_if_requested(Topic::Operators),
        read_if_requested(Topic::Upstreams),
        read_if_requested(Topic::Hosts),
    );
    Ok([operators?, upstreams?, hosts?].into_iter().flatten().collect())
}

fn record_success(gateway: &Gateway, started: Instant, topics: &BTreeSet<Topic>, deltas: Vec<TopicDelta>) {
    if topics.len() == Topic::ALL.len() && gateway.feed.requested.borrow().is_empty() {
        // This host has read all records, whatever other hosts said.
        gateway.feed.relayed_offsets.borrow_mut().clear();
        let mut schedule = gateway.feed.schedule.get();
        schedule.record_read(started);
        gateway.feed.schedule.set(schedule);
        relay_deltas(gateway, deltas);
    }
}

/// Records a failed read and returns the backoff before the next one. While other hosts relay their reads, only the way
/// from this host to the store has failed: entries that are gone have not expired in an outage.
pub(super) fn record_failure(gateway: &Gateway, error: &StoreError) -> Duration {
    let now = Instant::now();
    let mut schedule = gateway.feed.schedule.get();
    if !schedule.is_relayed(now) {
        gateway.fleet.borrow_mut().record_store_failure(now);
        if !gateway.feed.store_lost.replace(true) {
            warn!(gateway.log, "store lost"; "error" => %error);
        }
    }
    let backoff = schedule.record_failure(reader_rank(gateway));
    gateway.feed.schedule.set(schedule);
    backoff
}

/// Records that the store responds again, to this host or to a reader.
///
/// Upstreams whose entries expired during the outage can announce themselves again only now, so their
/// grace period starts anew, as after a failure. Must be called before records are applied, because
/// these may remove expired entries.
fn record_store_recovery(gateway: &Gateway) {
    if gateway.feed.store_lost.replace(false) {
        info!(gateway.log, "store regained");
        gateway.fleet.borrow_mut().record_store_failure(Instant::now());
    }
}

/// Starts anew with the topics if the store has come back from an older copy, as offsets then belong to other records.
///
/// What this host knows stays in force, as most of it is written again: operators' changes and announcements have versions,
/// and this host writes its own records again. What the store still lacks after [`RECONCILE_DELAY`] is dropped.
pub(super) fn follow_era(gateway: &Gateway, era: StoreEra) {
    gateway.store.record_era(era);
    let feed = &gateway.feed;
    let known = feed.era.get();
    if known.is_some_and(|known| known >= era) {
        return;
    }
    let now = Instant::now();
    feed.era.set(Some(era));
    feed.complete_from.set(Some(now + RECONCILE_DELAY));
    if known.is_none() {
        return;
    }
    let next = |topic| feed.next_offset(topic).map(|offset| offset.0);
    warn!(gateway.log, "store came back from an older copy"; "era" => era.0, "before" => known.map(|known| known.0),
        "next_operators" => next(Topic::Operators), "next_upstreams" => next(Topic::Upstreams),
        "next_hosts" => next(Topic::Hosts));
    feed.next_offsets.borrow_mut().clear();
    feed.relayed_offsets.borrow_mut().clear();
    feed.deferred
        .borrow_mut()
        .retain(|deferred| matches!(deferred.update, DeferredUpdate::Owners(_)));
    feed.restored.set(Some(now));
    gateway.unread_catalog.set(None);
    gateway.grants.generation.set(0);
    gateway.fleet.borrow_mut().record_store_failure(now);
    gateway.lost_removals.replace(gateway.removed.borrow().clone());
    // The entry and the counts of this host may be lost.
    gateway.entry_lost.notify_one();
    gateway.counts_changed.set(true);
    feed.request_all();
}

/// Lists the topics again once operators, upstreams and hosts have had time to write again what the store lost.
pub(super) fn reconcile(gateway: &Gateway, now: Instant) {
    let feed = &gateway.feed;
    if feed.restored.get().is_none_or(|at| now < at + RECONCILE_DELAY) {
        return;
    }
    feed.restored.set(None);
    feed.next_offsets.borrow_mut().clear();
    feed.request_all();
}

/// Waits until a read is due or requested and returns the topics to be read.
async fn wait_for_read(gateway: &Gateway) -> BTreeSet<Topic> {
    loop {
        let requested = gateway.feed.take_requested();
        if !requested.is_empty() {
            return requested;
        }
        let now = Instant::now();
        let is_degraded = gateway.store.is_degraded(now);
        let due = gateway.feed.schedule.get().due(reader_rank(gateway), is_degraded);
        let Some(due) = due.filter(|due| *due > now) else {
            return Topic::ALL.into();
        };
        tokio::select! {
            () = sleep_until(due) => {}
            () = gateway.feed.read_requested.notified() => {}
        }
    }
}

/// Reads a topic and returns the delta. Lists the topic instead, without a delta, if the next offset
/// is unknown or the store no longer keeps it.
async fn read_topic(gateway: &Gateway, topic: Topic) -> Result<Option<TopicDelta>, StoreError> {
    let Some(from) = gateway.feed.next_offset(topic) else {
        list_topic(gateway, topic).await?;
        return Ok(None);
    };
    let result = gateway.store.read(topic_name(topic), from).await;
    follow_era(gateway, gateway.store.era());
    match result {
        // The offset was one of an earlier era.
        Ok(_) if gateway.feed.next_offset(topic).is_none() => {
            list_topic(gateway, topic).await?;
            Ok(None)
        }
        Ok(batch) => {
            record_store_recovery(gateway);
            if !batch.is_last {
                gateway.feed.request_read(topic);
            }
            Ok(Some(apply_records(gateway, topic, batch.next, batch.records)))
        }
        Err(StoreError::Gone(first)) => {
            info!(gateway.log, "records gone, listing again"; "topic" => topic_name(topic), "first" => first.0);
            list_topic(gateway, topic).await?;
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

async fn list_topic(gateway: &Gateway, topic: Topic) -> Result<(), StoreError> {
    let listing = gateway.store.list(topic_name(topic)).await?;
    follow_era(gateway, gateway.store.era());
    record_store_recovery(gateway);
    info!(gateway.log, "topic listed"; "topic" => topic_name(topic), "records" => listing.records.len(),
        "next" => listing.next.0);
    let is_settled = !gateway.feed.is_unsettled();
    let is_returned = |record: &&Record| is_returned_entry(gateway, topic, record);
    let returned: Vec<&Record> = listing.records.iter().filter(is_returned).collect();
    apply_listing(gateway, topic, &listing.records, is_settled);
    gateway.feed.next_offsets.borrow_mut().insert(topic, listing.next);
    if is_settled && topic == Topic::Hosts {
        gateway.lost_removals.borrow_mut().clear();
        remove_returned_entries(gateway, &returned).await;
    }
    Ok(())
}

/// Removes entries of hosts for processes that have ended, if this host is the first reader.
async fn remove_returned_entries(gateway: &Gateway, returned: &[&Record]) {
    if returned.is_empty() || reader_rank(gateway) != Some(0) {
        return;
    }
    let removals: Vec<(&str, &[u8])> = returned.iter().map(|record| (record.key.as_str(), &b""[..])).collect();
    match gateway.store.append(HOST_TOPIC, None, &removals).await {
        Ok(_) => info!(gateway.log, "entries of hosts that have left removed again"; "entries" => removals.len()),
        Err(error) => {
            warn!(gateway.log, "entries of hosts that have left not removed again"; "entries" => removals.len(),
            "error" => %error);
        }
    }
}

/// Applies records that were read, except those that another host has relayed meanwhile, and returns
/// the delta to be relayed.
pub(super) fn apply_records(gateway: &Gateway, topic: Topic, next: Offset, records: Vec<Record>) -> TopicDelta {
    let from = gateway.feed.next_offset(topic).unwrap_or(next);
    let mut updates = Vec::new();
    let mut size = 0;
    for record in records.into_iter().filter(|record| record.offset >= from) {
        if let Some(update) = apply_record(gateway, topic, &record) {
            size += update.size();
            updates.push(update);
        }
    }
    gateway.feed.next_offsets.borrow_mut().insert(topic, next.max(from));
    TopicDelta {
        topic,
        from,
        next: next.max(from),
        updates: (size <= UPDATES_MAX_BYTES).then_some(updates),
        era: gateway.feed.era(),
    }
}

/// Relays deltas of all topics to all other hosts if this host is a reader.
fn relay_deltas(gateway: &Gateway, deltas: Vec<TopicDelta>) {
    if deltas.len() == Topic::ALL.len() && reader_rank(gateway).is_some() && !gateway.is_stopping.get() {
        gateway.outbox.send(Message::Relay(deltas));
    }
}

/// Applies deltas that another host relays, and requests a read of the topics with missing records.
pub(crate) fn apply_deltas(gateway: &Gateway, deltas: &[TopicDelta]) {
    let Some(era) = deltas.iter().map(|delta| delta.era).max() else {
        return;
    };
    follow_era(gateway, era);
    if gateway.feed.era.get() != Some(era) {
        // Relayed by a host that doesn't know of the store's return from a copy.
        return;
    }
    record_store_recovery(gateway);
    let mut has_stale = false;
    for delta in deltas {
        gateway.feed.record_relayed_offset(delta.topic, delta.next);
        let next = gateway.feed.next_offset(delta.topic);
        let needs_read = match delta.continuity(next) {
            Continuity::Current => false,
            Continuity::Stale => {
                has_stale = true;
                false
            }
            Continuity::Continues => {
                if !apply_updates(gateway, delta, next.unwrap_or_default()) {
                    gateway.feed.defer(DeferredUpdate::Relay(delta.clone()));
                }
                false
            }
            Continuity::Gap => true,
        };
        if needs_read {
            gateway.feed.request_read(delta.topic);
        } else {
            gateway.feed.requested.borrow_mut().remove(&delta.topic);
        }
    }
    if !has_stale {
        let mut schedule = gateway.feed.schedule.get();
        schedule.record_relayed(Instant::now());
        gateway.feed.schedule.set(schedule);
    }
}

/// Applies the updates that were deferred, or requests a read of the store if what they wait for doesn't arrive.
pub(super) fn retry_deferred(gateway: &Gateway, now: Instant) {
    let is_due = |deferred: &mut Deferred| now >= deferred.since + DEFER_TIME;
    let due: Vec<Deferred> = gateway.feed.deferred.borrow_mut().extract_if(.., is_due).collect();
    for deferred in due {
        let topic = match &deferred.update {
            DeferredUpdate::Relay(delta) => delta.topic,
            DeferredUpdate::Owners(_) => Topic::Hosts,
        };
        let is_applied = match &deferred.update {
            DeferredUpdate::Relay(delta) => {
                let next = gateway.feed.next_offset(topic);
                match delta.continuity(next) {
                    Continuity::Stale | Continuity::Current => true,
                    Continuity::Continues => apply_updates(gateway, delta, next.unwrap_or_default()),
                    Continuity::Gap => false,
                }
            }
            DeferredUpdate::Owners(delta) => has_table(gateway, &delta.pool, (delta.epoch, delta.revision)),
        };
        if !is_applied {
            gateway.feed.request_read(topic);
        }
    }
}

/// Applies the updates of a delta. Returns false if this host has to read the topic itself.
fn apply_updates(gateway: &Gateway, delta: &TopicDelta, next: Offset) -> bool {
    for update in delta.updates.iter().flatten() {
        match update {
            Update::Record(record) if record.offset >= next => {
                apply_record(gateway, delta.topic, record);
            }
            Update::Record(_) => {}
            Update::Owners { pool, epoch, revision } => {
                if !has_table(gateway, pool, (*epoch, *revision)) {
                    return false;
                }
            }
        }
    }
    gateway.feed.next_offsets.borrow_mut().insert(delta.topic, delta.next);
    true
}
