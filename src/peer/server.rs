//! The gRPC server for peers.

use std::sync::Arc;

use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use super::generated::peers_server::{Peers, PeersServer};
use super::{
    Batch, ClaimMessage, CopyPage, CopyQuestion, CreditReport, Heartbeat, HeartbeatAnswer, HoldAnswer, Lends, Received,
    RegisterAnswer, SuspectNews,
};
use crate::settings::Secret;

/// Largest message, in bytes; a heartbeat with the records that a peer has missed is the largest.
const MESSAGE_MAX: usize = 16 << 20;
/// Metadata key of the peer credential.
pub(super) const CREDENTIAL: &str = "ragworthub-peer-credential";

/// What a host does with the messages of its peers.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    fn exchange_heartbeat(&self, message: Heartbeat) -> HeartbeatAnswer;
    fn report_credits(&self, message: CreditReport) -> Lends;
    fn lend_credits(&self, message: Lends);
    fn claim_key(&self, message: ClaimMessage) -> RegisterAnswer;
    fn copy_register(&self, message: CopyQuestion) -> CopyPage;
    fn hold_counts(&self, message: Batch) -> HoldAnswer;
    fn share_suspects(&self, message: SuspectNews);
}

struct Service<H>(Arc<H>);

type Answer<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl<H: PeerHandler> Peers for Service<H> {
    async fn exchange_heartbeat(&self, request: Request<Heartbeat>) -> Answer<HeartbeatAnswer> {
        Ok(Response::new(self.0.exchange_heartbeat(request.into_inner())))
    }

    async fn report_credits(&self, request: Request<CreditReport>) -> Answer<Lends> {
        Ok(Response::new(self.0.report_credits(request.into_inner())))
    }

    async fn lend_credits(&self, request: Request<Lends>) -> Answer<Received> {
        self.0.lend_credits(request.into_inner());
        Ok(Response::new(Received {}))
    }

    async fn claim_key(&self, request: Request<ClaimMessage>) -> Answer<RegisterAnswer> {
        Ok(Response::new(self.0.claim_key(request.into_inner())))
    }

    async fn copy_register(&self, request: Request<CopyQuestion>) -> Answer<CopyPage> {
        Ok(Response::new(self.0.copy_register(request.into_inner())))
    }

    async fn hold_counts(&self, request: Request<Batch>) -> Answer<HoldAnswer> {
        Ok(Response::new(self.0.hold_counts(request.into_inner())))
    }

    async fn share_suspects(&self, request: Request<SuspectNews>) -> Answer<Received> {
        self.0.share_suspects(request.into_inner());
        Ok(Response::new(Received {}))
    }
}

/// Refuses callers that don't show the peer credential.
#[derive(Clone)]
struct CheckCredential(Secret);

impl Interceptor for CheckCredential {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let given = request
            .metadata()
            .get(CREDENTIAL)
            .map_or(&b""[..], |value| value.as_encoded_bytes());
        if bool::from(given.ct_eq(self.0.0.as_bytes())) {
            Ok(request)
        } else {
            Err(Status::unauthenticated("peer credential is missing or wrong"))
        }
    }
}

/// Serves peers on a bound listener, as long as the runtime lives.
pub(crate) fn serve_peers<H: PeerHandler>(listener: TcpListener, credential: Secret, handler: Arc<H>) {
    let service = PeersServer::new(Service(handler)).max_decoding_message_size(MESSAGE_MAX);
    let checked = InterceptedService::new(service, CheckCredential(credential));
    // Without it small answers wait up to 40 ms for the acknowledgement of the ones before.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    tokio::spawn(Server::builder().add_service(checked).serve_with_incoming(incoming));
}
