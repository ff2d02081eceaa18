//! Runs the sidecar as a separate process, and reads its outcomes.
#![allow(dead_code)]
#![expect(
    clippy::needless_pass_by_value,
    reason = "`Sidecar::start` takes a folder that its callers create for it"
)]

pub(crate) use milletturn_test_support::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// Creates an empty folder for a sidecar.
pub(crate) fn new_folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("sidecar-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

/// A free port on a loopback IP address that no other call in this process returns. On 127.0.0.1, a client's
/// connection could take the port before the sidecar does.
pub(crate) fn unused_address() -> SocketAddr {
    static ADDRESSES: AtomicUsize = AtomicUsize::new(1);
    let number = ADDRESSES.fetch_add(1, Ordering::SeqCst) as u32 + (std::process::id() << 8);
    let [_, b, c, d] = number.to_be_bytes();
    UnusedAddress::bind_on([127, b | 1, c, d]).address
}

pub(crate) fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_milletturn"));
    command
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

/// A sidecar process, its configuration file and its listeners.
pub(crate) struct Sidecar {
    pub(crate) file: PathBuf,
    pub(crate) http: SocketAddr,
    pub(crate) outcomes: SocketAddr,
    pub(crate) process: Child,
    pub(crate) log: Arc<Mutex<Vec<String>>>,
}

/// A configuration with two classes, to which `extra_settings` is appended.
pub(crate) fn config(http: SocketAddr, outcomes: SocketAddr, extra_settings: &str) -> String {
    format!(
        "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n\
         [class.notice]\neffect = 'keyed'\nwindow = '12s'\ndeadline = '12s'\n\
         [class.order]\neffect = 'unsafe'\ndeadline = '2s'\naim = '1s'\n{extra_settings}"
    )
}

impl Sidecar {
    pub(crate) fn new(extra_settings: &str) -> Self {
        Sidecar::start(
            new_folder(),
            unused_address(),
            unused_address(),
            extra_settings,
        )
    }

    /// Writes the configuration file, and starts a sidecar with it.
    pub(crate) fn start(
        folder: PathBuf,
        http: SocketAddr,
        outcomes: SocketAddr,
        extra_settings: &str,
    ) -> Self {
        let file = folder.join("app.toml");
        std::fs::write(&file, config(http, outcomes, extra_settings)).expect("written");
        Sidecar::run(file, http, outcomes)
    }

    /// Starts a sidecar with a configuration file, and waits until it is ready.
    pub(crate) fn run(file: PathBuf, http: SocketAddr, outcomes: SocketAddr) -> Self {
        let mut process = command(&["sidecar", "--config", file.to_str().expect("text")])
            .spawn()
            .expect("the process starts");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let (records, errors) = (log.clone(), process.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                records.lock().expect("not poisoned").push(line);
            }
        });
        let mut sidecar = Sidecar {
            file,
            http,
            outcomes,
            process,
            log,
        };
        // the sidecar logs this record once both listeners are open
        wait_until("the sidecar listens for outcome readers", || {
            let ended = sidecar.process.try_wait().expect("a child process");
            assert!(
                ended.is_none(),
                "{ended:?}: {:#?}",
                sidecar.log.lock().expect("not poisoned")
            );
            sidecar.logged("outcomes on")
        });
        wait_until("the sidecar is ready", || {
            sidecar.status(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n") == 200
        });
        sidecar
    }

    /// Sends the bytes to the HTTP listener; returns the status, 0 if no response comes.
    pub(crate) fn status(&self, bytes: &[u8]) -> u16 {
        Client::new(self.http)
            .send(bytes)
            .map_or(0, |(status, _)| status)
    }

    pub(crate) fn submit(&self, class: &str, id: &str, dest: u64) -> u16 {
        self.status(&message_request(class, id, dest, 2_000, b"x"))
    }

    pub(crate) fn restart(mut self) -> Self {
        let _ = self.process.kill();
        self.process.wait().expect("ended");
        let (file, http, outcomes) = (self.file.clone(), self.http, self.outcomes);
        Sidecar::run(file, http, outcomes)
    }

    pub(crate) fn logged(&self, text: &str) -> bool {
        self.log
            .lock()
            .expect("not poisoned")
            .iter()
            .any(|record| record.contains(text))
    }

    /// Sends a GET to the outcomes listener; returns status and body.
    pub(crate) fn get(&self, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.outcomes).expect("the listener accepts");
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("written");
        let mut text = String::new();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.read_to_string(&mut text).expect("a response");
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        (
            status,
            text.split("\r\n\r\n").nth(1).unwrap_or("").to_string(),
        )
    }

    /// Opens a stream of the outcomes after the cursor `from`. The request acknowledges all outcomes up to that cursor.
    pub(crate) fn reader(&self, from: u64) -> OutcomeReader {
        let mut stream = TcpStream::connect(self.outcomes).expect("the listener accepts");
        let request = format!("GET /v1/outcomes?from={from} HTTP/1.1\r\nHost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("written");
        stream
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("set");
        OutcomeReader {
            stream: BufReader::new(stream),
            partial_line: Vec::new(),
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A stream of outcomes.
pub(crate) struct OutcomeReader {
    stream: BufReader<TcpStream>,
    /// Start of a line whose rest has not been received.
    partial_line: Vec<u8>,
}

impl OutcomeReader {
    /// The next outcome; `Ok(None)` if no data arrives for 100 ms, an error if the connection has ended. Lines of the
    /// response head and of chunk sizes are skipped.
    pub(crate) fn next(&mut self) -> Result<Option<serde_json::Value>, ()> {
        loop {
            match self.stream.read_until(b'\n', &mut self.partial_line) {
                Ok(0) => return Err(()),
                Ok(_) if self.partial_line.ends_with(b"\n") => {
                    let line = std::mem::take(&mut self.partial_line);
                    if line.starts_with(b"{") {
                        return Ok(Some(serde_json::from_slice(&line).expect("JSON")));
                    }
                }
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(None),
                Err(_) => return Err(()),
            }
        }
    }
}
