//! `milletturn demo`: runs a sidecar and an endpoint for it in one process, without any configuration.

use crate::assemble::{Signals, block_on};
use crate::output;
use crate::sidecar::start;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use milletturn_config::document::Document;
use milletturn_config::{check_documents, template};
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Maximum wait for a response over loopback, where a call normally takes milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the demo until SIGTERM or, with `once`, until one message has its final outcome.
///
/// # Errors
/// If the demo can't start or, with `once`, the message is not submitted or gets no outcome within [`CALL_TIMEOUT`].
pub(crate) fn run(once: bool) -> Result<(), Box<dyn Error>> {
    block_on(run_demo(once))
}

async fn run_demo(once: bool) -> Result<(), Box<dyn Error>> {
    let signals = Signals::new()?;
    let folder = tempfile::tempdir()?;
    let endpoint = TcpListener::bind("127.0.0.1:0").await?;
    let address = endpoint.local_addr()?;
    tokio::task::spawn_local(serve_endpoint(endpoint));
    let (http, outcomes) = (free_port()?, free_port()?);
    let document = configuration(folder.path(), http, outcomes, address)?;
    let (name, running) = start(&document).await?;
    if once {
        let status = submit_message(http).await?;
        output::print_line(format_args!("handed in: {status}"))?;
        let outcome = first_outcome(outcomes).await?;
        output::print_line(format_args!("final answer: {outcome}"))?;
        return Ok(());
    }
    output::print_line(format_args!(
        r#"The sidecar takes messages at {http}; its endpoint at {address} prints what it gets. In another terminal:

curl -i http://{http}/notice -H 'X-Request-ID: 1' -H 'X-Priority-Class: notice' -H 'X-Timeout: 4000m' \
     -H 'Idempotency-Key: k1' -H 'Envelope: dest=1' -d 'hello'
curl -N 'http://{outcomes}/v1/outcomes?from=0'
"#
    ))?;
    running
        .run_until_sigterm(signals, || {
            drop(output::print_line(format_args!("{name}: SIGHUP")));
        })
        .await
}

/// Builds the sidecar's configuration from the template of `config new`, with the demo's addresses.
fn configuration(
    folder: &Path,
    http: SocketAddr,
    outcomes: SocketAddr,
    endpoint: SocketAddr,
) -> Result<Document, Box<dyn Error>> {
    let text = template::new("demo", http.port(), "keyed", &endpoint.to_string()).replace(
        &format!("127.0.0.1:{}", http.port() + 100),
        &outcomes.to_string(),
    );
    let parsed = Document::parse(&folder.join("demo.toml"), text);
    let mut valid = check_documents(vec![parsed])
        .into_iter()
        .filter(|document| document.findings.is_empty());
    Ok(valid
        .next()
        .ok_or("the demo's built-in configuration has findings")?)
}

/// Finds a free port on loopback. The port is released again, so another process could still take it.
fn free_port() -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Serves the demo's endpoint: prints the id of each request and responds 200.
async fn serve_endpoint(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| async move {
                let id = request
                    .headers()
                    .get("x-request-id")
                    .and_then(|id| id.to_str().ok())
                    .unwrap_or("-");
                // a closed standard output does not stop the endpoint
                let _ = output::print_line(format_args!("endpoint: got {id}"));
                Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
            });
            // errors of a connection, such as its close by the sender, don't matter to the demo
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Sends one request on a new connection and returns the response once its head has been received.
async fn call(
    address: SocketAddr,
    request: hyper::http::request::Builder,
    body: &'static str,
) -> Result<Response<Incoming>, Box<dyn Error>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    let request = request
        .header("host", address.to_string())
        .body(Full::<Bytes>::from(body))?;
    Ok(timeout(CALL_TIMEOUT, sender.send_request(request)).await??)
}

/// Submits one message to the sidecar and returns the status of its response.
async fn submit_message(address: SocketAddr) -> Result<hyper::StatusCode, Box<dyn Error>> {
    let request = Request::post("/notice")
        .header("x-request-id", "demo-1")
        .header("x-priority-class", "notice")
        .header("x-timeout", "4000m")
        .header("idempotency-key", "demo-key-1")
        .header("envelope", "dest=1");
    Ok(call(address, request, "hello").await?.status())
}

/// Reads the first outcome from the sidecar's stream of outcomes.
async fn first_outcome(address: SocketAddr) -> Result<String, Box<dyn Error>> {
    let mut body = call(address, Request::get("/v1/outcomes?from=0"), "")
        .await?
        .into_body();
    loop {
        let frame = timeout(CALL_TIMEOUT, body.frame())
            .await?
            .ok_or("the stream of outcomes ended before the first outcome")??;
        let text = frame.into_data().unwrap_or_default();
        let text = String::from_utf8_lossy(&text).trim().to_string();
        if !text.is_empty() {
            return Ok(text);
        }
    }
}
