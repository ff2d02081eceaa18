//! Starts a sidecar as a process, from a given `milletturn` program and configuration files that the benchmark writes.
#![allow(dead_code)]

use milletturn_test_support::{Client, UnusedAddress, wait_until};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Finds an unused loopback address.
pub(crate) fn unused_address() -> SocketAddr {
    UnusedAddress::bind_on([127, 77, 0, 1]).address
}

/// A running sidecar process, which is killed on drop.
pub(crate) struct Sidecar {
    program: PathBuf,
    file: PathBuf,
    pub http: SocketAddr,
    outcomes: SocketAddr,
    process: Child,
    _folder: tempfile::TempDir,
}

impl Sidecar {
    /// Writes the files, starts a sidecar with the first one as its configuration, and waits until it is ready.
    pub(crate) fn new(
        program: &Path,
        files: &[(&str, &str)],
        http: SocketAddr,
        outcomes: SocketAddr,
    ) -> Self {
        let folder =
            tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("temporary folder created");
        for (name, text) in files {
            std::fs::write(folder.path().join(name), text).expect("written");
        }
        let file = folder
            .path()
            .join(files.first().expect("at least one file").0);
        let process = Sidecar::spawn(program, &file);
        let program = program.to_path_buf();
        let sidecar = Sidecar {
            program,
            file,
            http,
            outcomes,
            process,
            _folder: folder,
        };
        sidecar.wait_until_ready();
        sidecar
    }

    fn spawn(program: &Path, file: &Path) -> Child {
        let arguments = ["sidecar", "--config", file.to_str().expect("text")];
        // the environment variable MILLETTURN_LOG shows the sidecar's log
        let is_log_shown = std::env::var_os("MILLETTURN_LOG").is_some();
        let log = if is_log_shown {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        Command::new(program)
            .args(arguments)
            .stderr(log)
            .spawn()
            .expect("the sidecar starts")
    }

    fn wait_until_ready(&self) {
        wait_until("ready", || {
            TcpStream::connect(self.http).is_ok()
                && Client::new(self.http)
                    .send(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    .is_some_and(|(code, _)| code == 200)
        });
    }

    /// Kills the sidecar with SIGKILL, starts it again on the same files, and waits until it is ready.
    pub(crate) fn kill_and_restart(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        self.process = Sidecar::spawn(&self.program, &self.file);
        self.wait_until_ready();
    }

    /// Resident memory of the sidecar, in MB.
    pub(crate) fn memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).expect("the sidecar runs");
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .expect("a line VmRSS");
        let kibibytes = line
            .split_whitespace()
            .nth(1)
            .and_then(|value| value.parse::<f64>().ok());
        kibibytes.expect("a number") / 1024.0
    }

    /// Reads outcomes by message id until `is_complete` returns true, or until the timeout.
    pub(crate) fn read_outcomes(
        &self,
        timeout: Duration,
        is_complete: impl Fn(&BTreeMap<String, String>) -> bool,
    ) -> BTreeMap<String, String> {
        let mut stream =
            TcpStream::connect(self.outcomes).expect("the sidecar accepts connections");
        stream
            .write_all(b"GET /v1/outcomes?from=0 HTTP/1.1\r\nHost: a\r\n\r\n")
            .expect("written");
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("set");
        let (mut reader, mut line, mut outcomes) =
            (BufReader::new(stream), Vec::new(), BTreeMap::new());
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline && !is_complete(&outcomes) {
            match reader.read_until(b'\n', &mut line) {
                Ok(0) => break,
                Ok(_) if line.ends_with(b"\n") => {
                    if line.starts_with(b"{") {
                        let outcome: serde_json::Value =
                            serde_json::from_slice(&line).expect("JSON");
                        let field = |name: &str| outcome[name].as_str().expect("text").to_string();
                        assert!(
                            outcomes.insert(field("id"), field("state")).is_none(),
                            "two outcomes for one message"
                        );
                    }
                    line.clear();
                }
                _ => {}
            }
        }
        outcomes
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
