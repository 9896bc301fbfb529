//! The gRPC client to peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use thiserror::Error;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use super::generated::peers_client::PeersClient;
use super::server::CREDENTIAL;
use super::{
    Batch, ClaimMessage, CopyPage, CopyQuestion, CreditReport, Heartbeat, HeartbeatAnswer, HoldAnswer, Lends, Received,
    RegisterAnswer, SuspectNews,
};
use crate::fold::Membership;
use crate::settings::Secret;
use crate::types::HostName;

/// A call to a peer takes about 1 ms; one without an answer must not delay a failover.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// A connection without an answer to a ping for longer has gone silent and is replaced.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);
const MESSAGE_MAX: usize = 16 << 20;

/// Why a call to a peer failed.
#[derive(Debug, Display, Error)]
pub(crate) enum CallError {
    /// {0} is no member
    NotMember(HostName),
    /// peer {0} did not answer: {1}
    Failed(HostName, Box<Status>),
}

type Client = PeersClient<InterceptedService<Channel, ShowCredential>>;

/// Connections to all members.
#[derive(Debug)]
pub(crate) struct Peers {
    credential: MetadataValue<Ascii>,
    members: Mutex<BTreeMap<HostName, (SocketAddr, Client)>>,
}

/// Adds the peer credential to each call.
#[derive(Clone, Debug)]
pub(crate) struct ShowCredential(MetadataValue<Ascii>);

impl Interceptor for ShowCredential {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(CREDENTIAL, self.0.clone());
        Ok(request)
    }
}

macro_rules! calls {
    ($($name:ident($question:ty) -> $answer:ty;)+) => {$(
        /// Calls a peer.
        ///
        /// # Errors
        ///
        /// Fails if the peer is no member or doesn't answer in time.
        pub(crate) async fn $name(&self, to: &HostName, message: $question) -> Result<$answer, CallError> {
            let mut client = self.client(to)?;
            let answer = client.$name(message).await;
            answer.map(tonic::Response::into_inner).map_err(|status| CallError::Failed(to.clone(), Box::new(status)))
        }
    )+};
}

impl Peers {
    /// # Panics
    ///
    /// Panics if the credential is not visible ASCII; the settings are checked for it.
    pub(crate) fn new(credential: &Secret) -> Self {
        let credential = credential.0.parse().expect("a credential of visible ASCII");
        Self {
            credential,
            members: Mutex::default(),
        }
    }

    /// Follows the membership; connections to members that stay are kept.
    pub(crate) fn set_members(&self, membership: &Membership) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.retain(|host, (address, _)| membership.members.get(host).is_some_and(|m| m.address == *address));
        for (host, member) in &membership.members {
            if !members.contains_key(host) {
                members.insert(host.clone(), (member.address, self.connect(member.address)));
            }
        }
    }

    /// Names of all members.
    pub(crate) fn members(&self) -> Vec<HostName> {
        self.members
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .keys()
            .cloned()
            .collect()
    }

    fn connect(&self, address: SocketAddr) -> Client {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address forms a URI");
        let channel = endpoint
            .connect_timeout(CALL_LIMIT)
            .timeout(CALL_LIMIT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(SILENCE_LIMIT)
            .keep_alive_timeout(SILENCE_LIMIT)
            .keep_alive_while_idle(true)
            .connect_lazy();
        let service = InterceptedService::new(channel, ShowCredential(self.credential.clone()));
        PeersClient::new(service).max_decoding_message_size(MESSAGE_MAX)
    }

    fn client(&self, to: &HostName) -> Result<Client, CallError> {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members
            .get(to)
            .map(|(_, client)| client.clone())
            .ok_or_else(|| CallError::NotMember(to.clone()))
    }

    calls! {
        exchange_heartbeat(Heartbeat) -> HeartbeatAnswer;
        report_credits(CreditReport) -> Lends;
        lend_credits(Lends) -> Received;
        claim_key(ClaimMessage) -> RegisterAnswer;
        copy_register(CopyQuestion) -> CopyPage;
        hold_counts(Batch) -> HoldAnswer;
        share_suspects(SuspectNews) -> Received;
    }
}
