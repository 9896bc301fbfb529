use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use http::{Request, Response};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::{AnswerBody, AnswerGuard, ConnectLimits, Connector, Ended, Failure, ForwardBody, Target, run_attempt};
use crate::types::{Reason, Verdict};

/// Notes what it hears, in order.
#[derive(Clone, Debug, Default)]
struct Listener(Arc<Mutex<Vec<String>>>);

impl Listener {
    fn note(&self, what: impl Into<String>) {
        self.0.lock().unwrap().push(what.into());
    }

    fn heard(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }
}

impl AnswerGuard for Listener {
    fn poll_release(&mut self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Ready(())
    }

    fn poll_abort(&mut self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }

    fn upstream_done(&mut self) {
        self.note("done");
    }

    fn finish(&mut self, ended: Ended) {
        self.note(format!("{ended:?}"));
    }
}

/// Starts an upstream that reads the head of one request, answers with a text and closes.
async fn start_upstream(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = Vec::new();
        while !read.ends_with(b"\r\n\r\n") {
            read.push(stream.read_u8().await.unwrap());
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    address
}

async fn send(address: SocketAddr, guard: Listener) -> Result<Response<AnswerBody<Listener>>, Failure<Listener>> {
    let limits = ConnectLimits {
        connect: Duration::from_secs(1),
        open: 1,
        idle: Duration::from_secs(1),
    };
    let target = Target {
        upstream: "placas-1".parse().unwrap(),
        address,
        limits,
        idempotent: true,
    };
    let request = Request::get("/")
        .header("host", "x")
        .body(ForwardBody::empty())
        .unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    run_attempt(&Connector::default(), &target, request, deadline, guard).await
}

/// Guards against a guard that gives its slot back before it has heard of an answer without content.
#[tokio::test]
async fn an_answer_without_content_ends_when_its_head_is_held() {
    let listener = Listener::default();
    let address = start_upstream("HTTP/1.1 204 No Content\r\n\r\n").await;
    let answer = send(address, listener.clone()).await.unwrap();
    listener.note("head");
    answer.into_body().hold_head().await;
    assert_eq!(listener.heard(), ["head", "done", "Whole"]);
}

/// Guards against a cut answer that counts or is delivered as a whole one.
#[tokio::test]
async fn a_cut_answer_ends_with_an_error() {
    let listener = Listener::default();
    let address = start_upstream("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    let answer = send(address, listener.clone()).await.unwrap();
    answer.into_body().collect().await.unwrap_err();
    assert_eq!(listener.heard(), ["Truncated"]);
}

/// Guards against a verdict that claims more than is known of a request that was sent.
#[tokio::test]
async fn a_request_without_an_answer_may_have_run() {
    let address = start_upstream("").await;
    let failure = send(address, Listener::default()).await.unwrap_err();
    let known = (failure.verdict, failure.reason, failure.request.is_none());
    assert_eq!(known, (Verdict::MayHaveRun, Reason::ConnectionLost, true));
}

/// Guards against a request that is lost although it can be sent to another upstream.
#[tokio::test]
async fn a_refused_connection_gives_the_request_back() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = send(address, Listener::default()).await.unwrap_err();
    let known = (failure.verdict, failure.reason, failure.request.is_some());
    assert_eq!(known, (Verdict::NotRun, Reason::ConnectFailed, true));
}
