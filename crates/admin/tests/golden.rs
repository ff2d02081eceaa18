//! The admin listener compared with stored responses: paths, methods, statuses, headers, bodies and the names of the
//! metrics. Guards against a rename in the code that changes what operators' scripts read.

use milletturn_admin::server::{AdminState, serve};
use milletturn_admin::{Metrics, MetricsObserver};
use milletturn_engine::observer::NoopObserver;
use milletturn_engine::{
    ArrivalOutcome, EndReason, Ending, EngineEvent, EngineStatus, Input, Observer,
};
use milletturn_platform::DrainGate;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Sends a request. Returns the request line and the response without its date.
async fn request(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server accepts");
    let head = format!("{line} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("written");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .await
        .expect("a response, and the end of the stream");
    let without_date: String = text
        .split_inclusive("\r\n")
        .filter(|line| !line.starts_with("date: "))
        .collect();
    format!("> {line}\n{}\n", without_date.replace("\r\n", "\n"))
}

fn metrics() -> Rc<Metrics> {
    let metrics = Rc::new(Metrics::default());
    let mut observer = MetricsObserver {
        metrics: metrics.clone(),
        next: Box::new(NoopObserver),
    };
    let names = ["webhook".to_string(), "order".to_string()];
    let reason = EndReason::DeadlineExceeded;
    let rejected = |outcome| EngineEvent::Rejected {
        id: "m-1",
        class: 1,
        destination: 7,
        at: 0,
        outcome,
    };
    let abandoned = |ending| EngineEvent::Abandoned {
        id: "m-1",
        class: 0,
        destination: 7,
        ending,
        reason,
        never_attempted: false,
        age: 0,
    };
    let delivered = |class| EngineEvent::Delivered {
        id: "m-1",
        class,
        destination: 7,
        age: 5,
    };
    for event in [
        EngineEvent::Classes(&names),
        delivered(0),
        delivered(0),
        rejected(ArrivalOutcome::Rejected { retry_after: None }),
        rejected(ArrivalOutcome::Failed),
        abandoned(Ending::Returned { after_ms: None }),
        abandoned(Ending::Failed),
        delivered(9),
    ] {
        observer.observe(&event);
    }
    metrics.attempts_written.set(11);
    metrics.config_applied.set(3);
    metrics.config_rejected.set(2);
    metrics
}

/// Stands in for the engine: replies to each status request.
async fn answer_status(mut received: mpsc::UnboundedReceiver<Input>) {
    while let Some(input) = received.recv().await {
        if let Input::GetStatus(reply) = input {
            let _ = reply.send(EngineStatus {
                open_messages: 5,
                listed_endpoints: 4,
                ejected_endpoints: 1,
            });
        }
    }
}

#[test]
fn responses_to_operators_are_unchanged() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let text = runtime.block_on(local.run_until(async {
        let (inputs, received) = mpsc::unbounded_channel();
        let (set_ready, ready) = watch::channel(false);
        let gate = Rc::new(DrainGate::new());
        let state = AdminState {
            metrics: metrics(),
            inputs,
            gate: gate.clone(),
            ready,
            last_status: Cell::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        tokio::task::spawn_local(serve(listener, Rc::new(state)));
        tokio::task::spawn_local(answer_status(received));
        let mut text = request(address, "GET /-/ready").await;
        set_ready.send_replace(true);
        for line in [
            "GET /-/ready",
            "GET /-/metrics",
            "POST /-/drain",
            "GET /-/ready",
            "POST /-/resume",
            "GET /-/ready",
            "POST /-/ready",
            "GET /-/drain",
            "GET /-/x",
        ] {
            text.push_str(&request(address, line).await);
        }
        gate.begin_shutdown();
        for line in ["POST /-/drain", "POST /-/resume", "GET /-/ready"] {
            text.push_str(&request(address, line).await);
        }
        text
    }));
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/operators.txt");
    assert_eq!(text, std::fs::read_to_string(path).expect("read"));
}
