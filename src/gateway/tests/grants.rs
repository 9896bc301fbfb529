use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::super::grants::{GrantorState, PoolGrantor, start_action};
use super::{CONFIGURATION, gateway};
use crate::gateway::watch::apply_catalog;
use crate::keys::{
    Action, Admissions, Confirmations, Grantor, Holder, KeyRange, KeyRates, KeyTable, LeaseTiming, STORE_OUTAGE_LIMIT,
};
use crate::types::{Offset, PoolName};

const EPOCH: u64 = 7;
/// Time until the grantor's confirmation is too old, when the grant is decided on.
const PERMITTED_TIME: Duration = Duration::from_millis(100);
/// Time for which the upstream's response on its health path takes.
const HEALTH_DELAY: Duration = Duration::from_millis(400);

/// Time between two checks for a grant.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Accepts connections, responds to each request late, and counts the grants.
async fn serve_upstream(listener: TcpListener, grants: Rc<Cell<u32>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let grants = Rc::clone(&grants);
        spawn_local(async move {
            let mut buffer = vec![0; 4_096];
            while let Ok(length) = stream.read(&mut buffer).await {
                if length == 0 {
                    return;
                }
                if buffer.starts_with(b"POST /grant") {
                    grants.set(grants.get() + 1);
                }
                sleep(HEALTH_DELAY).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
            }
        });
    }
}

/// Makes a gateway the grantor of a pool whose confirmation by the store is about to become too old, and starts a grant
/// that follows a health check. Returns the number of grants that arrive, at the latest after a time.
async fn count_grants(permitted_time: Duration, wait_max: Duration) -> u32 {
    let gateway = gateway();
    apply_catalog(&gateway, Offset(1), CONFIGURATION.as_bytes());
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("a free port");
    let holder = Holder {
        upstream: "u".parse().expect("valid name"),
        incarnation: 1,
    };
    let address = listener.local_addr().expect("an address");
    gateway.grants.addresses.borrow_mut().insert(holder.clone(), address);
    let pool: PoolName = "placas".parse().expect("valid name");
    let host = &gateway.settings.host;
    let now = Instant::now();
    let timing = LeaseTiming {
        duration: Duration::from_secs(2),
        renewal_period: Duration::from_millis(600),
        call_timeout: Duration::from_millis(900),
    };
    let table = KeyTable::new(pool.clone(), host.clone(), EPOCH);
    let pool_grantor = PoolGrantor {
        grantor: Grantor::take_over(now, host, EPOCH, table, timing),
        rates: KeyRates::default(),
        speeds: None,
        last_rebalance: now,
        last_even: now,
        last_watch: now,
        admissions: Admissions::default(),
    };
    *gateway.grants.active.borrow_mut() = Some(GrantorState {
        epoch: EPOCH,
        active_since: now,
        confirmations: Confirmations {
            by_store: (now + permitted_time)
                .checked_sub(STORE_OUTAGE_LIMIT)
                .expect("a time since boot"),
            by_witness: BTreeMap::new(),
        },
        needs_confirmation: false,
        last_responses: BTreeMap::new(),
        saved_tables: BTreeMap::new(),
        pools: BTreeMap::from([(pool.clone(), pool_grantor)]),
    });
    let grants = Rc::new(Cell::new(0));
    spawn_local(serve_upstream(listener, Rc::clone(&grants)));
    let (saves, _queue) = unbounded_channel();
    let grant = Action::Grant {
        holder,
        range: KeyRange::ALL,
        fence: 1,
        handover: None,
        check_health: true,
        is_renewal: false,
    };
    start_action(&gateway, EPOCH, &pool, grant, &saves);
    let start = Instant::now();
    while grants.get() == 0 && start.elapsed() < wait_max {
        sleep(POLL_PERIOD).await;
    }
    grants.get()
}

/// Guards against a grant that leaves a host after a health check although its confirmations have become too old
/// meanwhile: the next grantor assumes that the host has stopped.
#[tokio::test]
async fn grant_is_not_sent_after_its_permission_has_expired() {
    LocalSet::new()
        .run_until(async {
            assert_eq!(count_grants(PERMITTED_TIME, HEALTH_DELAY * 2).await, 0);
            assert_eq!(
                count_grants(STORE_OUTAGE_LIMIT, STORE_OUTAGE_LIMIT).await,
                1,
                "a permitted grant must be sent"
            );
        })
        .await;
}
