//! Peers whose responses have no end: calls fail by a limit and not by their timeout.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::gateway::connect::{CALL_BODY_MAX_BYTES, CallError, Endpoint};

/// Timeout of the calls, which is longer than any test takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts one connection, reads the start of a request, and sends a text and then another one a number of times.
async fn serve_text(listener: TcpListener, start: &str, rest: &str, count: usize) {
    let (mut stream, _) = listener.accept().await.expect("accepted connection");
    let mut buffer = [0; 1_024];
    let _ = stream.read(&mut buffer).await;
    let batch = rest.repeat(1_000);
    let mut sent = stream.write_all(start.as_bytes()).await;
    for _ in 0..count / 1_000 {
        if sent.is_err() {
            return;
        }
        sent = stream.write_all(batch.as_bytes()).await;
    }
    // Keeps the connection open until the caller closes it.
    let _ = stream.read(&mut buffer).await;
}

async fn call_server(start: &str, rest: &str, count: usize) -> Result<Bytes, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address: SocketAddr = listener.local_addr().expect("valid address");
    let call = async move {
        let endpoint = Endpoint::new(address, Duration::from_secs(5), CALL_BODY_MAX_BYTES);
        let request = Request::get("/health").body(Full::default()).expect("valid request");
        endpoint
            .call(request, CALL_TIMEOUT)
            .await
            .map(http::Response::into_body)
    };
    let local = LocalSet::new();
    let both = async { tokio::join!(call, serve_text(listener, start, rest, count)).0 };
    local.run_until(both).await
}

/// Guards against health checks and lease commands that read interim responses without end until their timeout.
#[tokio::test]
async fn calls_end_at_the_limit_on_interim_responses() {
    let result = call_server("", "HTTP/1.1 103 Early Hints\r\n\r\n", 10_000_000).await;
    let error = result.expect_err("no response");
    assert!(matches!(error, CallError::TooLarge(_)), "{error:?}");
}

/// Guards against responses to health checks and lease commands, whose bodies nobody reads, that are kept: a body in
/// chunks of one byte took 38 times its size.
#[tokio::test]
async fn calls_end_at_the_limit_on_bodies() {
    let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let result = call_server(start, "1\r\nr\r\n", 100_000).await;
    let error = result.expect_err("no response");
    assert!(matches!(error, CallError::TooLarge(_)), "{error:?}");
}
