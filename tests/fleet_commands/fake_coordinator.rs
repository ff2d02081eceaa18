//! A fake coordinator that answers calls by a script, for tests of the `fleet` commands.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Replaces the address of a fake coordinator in golden texts. It is as long as `127.0.0.1:` with five digits, so that
/// columns of tables stay aligned.
pub(super) const MASKED_ADDRESS: &str = "ADDRESS-OF-HOST";

/// Chooses the status and body of a response by the path and body of the call; `None`: no response.
pub(super) type Script = dyn Fn(&str, &str) -> Option<(u16, String)> + Send + Sync;

/// A fake coordinator that answers by a script and records the calls that it gets.
pub(super) struct FakeCoordinator {
    pub(super) address: SocketAddr,
    /// The request line and the body of each call, without repetitions.
    pub(super) requests: Arc<Mutex<BTreeSet<String>>>,
}

impl FakeCoordinator {
    /// Starts a fake coordinator on a port with five digits, so that its address can be masked.
    pub(super) fn start(script: Arc<Script>) -> Self {
        let listeners =
            std::iter::repeat_with(|| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let listener = listeners
            .take(100)
            .find(|listener| listener.local_addr().is_ok_and(|at| at.port() > 9_999))
            .expect("a port with five digits");
        let address = listener.local_addr().expect("bound");
        let requests = Arc::new(Mutex::new(BTreeSet::new()));
        let recorded = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, recorded) = (script.clone(), recorded.clone());
                std::thread::spawn(move || serve(stream, &*script, &recorded));
            }
        });
        Self { address, requests }
    }

    /// Replaces the address of this coordinator in a text.
    pub(super) fn mask(&self, text: &str) -> String {
        text.replace(&self.address.to_string(), MASKED_ADDRESS)
    }
}

/// Answers calls on a connection until the client closes it.
fn serve(
    stream: TcpStream,
    script: &Script,
    requests: &Mutex<BTreeSet<String>>,
) -> std::io::Result<()> {
    let (mut reader, mut stream) = (BufReader::new(stream.try_clone()?), stream);
    loop {
        let (mut request_line, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end();
            if request_line.is_empty() {
                request_line = line.to_string();
            } else if line.is_empty() {
                break;
            } else if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let body = String::from_utf8(body).expect("text");
        requests
            .lock()
            .expect("not poisoned")
            .insert(format!("{request_line} {body}"));
        let path = request_line.split(' ').nth(1).unwrap_or_default();
        let Some((status, text)) = script(path, &body) else {
            continue;
        };
        let length = text.len();
        write!(
            stream,
            "HTTP/1.1 {status} Any\r\nmilletturn-steward: 2\r\ncontent-length: {length}\r\n\r\n{text}"
        )?;
    }
}

/// The status of a leader.
pub(super) const STATUS: &str = r#"{"group":"north","steward":2,"version":"0.0.9","role":"leader","leader":2,"reign":4,"applied":99,"voters":[1,2,3],"majority_heard":40}"#;
/// The state that a leader returns.
pub(super) const STATE: &str = r#"{"group":"north","leader":2,"sessions":{"7":{"about":{"name":"sender-1","zone":"east","version":"0.1.0","serves":"sender"},"nonce":11,"lease":9000000},"12":{"about":{"name":"by-hand","zone":"","version":"0.0.9","serves":""},"nonce":12,"lease":8000000}},"works":{"limits":{"term":3,"owner":null,"acts":2,"cursor":"row 12"},"list":{"term":5,"owner":7,"acts":4,"cursor":"row 13"}},"history":[{"number":1,"work":"list","term":3,"member":"sender-1","what":"owned"},{"number":2,"work":"list","term":3,"member":"sender-1","what":{"acted":2}},{"number":3,"work":"limits","term":3,"member":"sender-1","what":"released"},{"number":4,"work":"list","term":3,"member":"sender-1","what":"lost"},{"number":5,"work":"limits","term":3,"member":"sender-1","what":"freed"},{"number":6,"work":"list","term":3,"member":"session 3","what":"fenced"}]}"#;
/// A backup of a group's state.
pub(super) const BACKUP: &str = r#"{"form":1,"group":"north","book":{"sessions":{"1":{"about":{"name":"sender-1","zone":"east","version":"0.1.0","serves":"sender"},"nonce":11,"lease":9000000}},"last_session":2,"works":{"list":{"term":1,"owner":null,"acts":2,"cursor":"row 2"}},"floor":0,"history":[{"number":1,"work":"list","term":1,"member":"sender-1","what":"owned"}],"events":6,"generation":3,"resting":12000000,"several":true}}"#;
/// The error body of a coordinator that is not the leader and knows of none.
pub(super) const NO_LEADER: &str = r#"{"why":"another steward leads, or none does yet; ask that one","leader":null,"may_have_happened":false}"#;
