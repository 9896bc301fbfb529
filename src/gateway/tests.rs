use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::connect::{CallError, Endpoint};

/// More bytes than the system buffers for one connection.
const LARGE: usize = 32 << 20;

/// A grant that was given up while a link was cut arrived after the cut had healed, when the keys had
/// another owner (deploy/days/zone-and-grantor.toml). A call that is given up has to reset its connection, so
/// that nothing of it is sent any more.
#[tokio::test]
async fn a_call_that_is_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let call = async move {
        let endpoint = Endpoint::new(address, Duration::from_secs(5));
        let request = Request::post("/grant").body(Full::new(Bytes::from(vec![0; LARGE])));
        endpoint
            .call(request.expect("a request"), Duration::from_millis(50))
            .await
    };
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // Reads only after the call was given up, so that bytes wait at the sender as behind a cut.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await
    };
    // The task of the connection goes on until the server has seen its end.
    let local = LocalSet::new();
    let (called, read) = local.run_until(async { tokio::join!(call, server) }).await;
    assert!(matches!(called, Err(CallError::Silent(_))), "{called:?}");
    assert_eq!(read.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
}
