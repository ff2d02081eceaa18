//! A sidecar of some program, on files that a bench writes.
#![allow(dead_code)]

use milletturn_test_support::{Client, UnusedAddress, wait_until};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// An address that is free.
pub(crate) fn free() -> SocketAddr {
    UnusedAddress::bind_on([127, 77, 0, 1]).address
}

/// A running program; it ends with this.
pub(crate) struct Sidecar {
    program: PathBuf,
    file: PathBuf,
    pub http: SocketAddr,
    outcomes: SocketAddr,
    process: Child,
    _folder: tempfile::TempDir,
}

impl Sidecar {
    /// Writes the files, starts on the first, and waits until it is ready.
    pub(crate) fn new(
        program: &Path,
        files: &[(&str, &str)],
        http: SocketAddr,
        outcomes: SocketAddr,
    ) -> Self {
        let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
        for (name, text) in files {
            std::fs::write(folder.path().join(name), text).expect("written");
        }
        let file = folder.path().join(files.first().expect("a file").0);
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
        sidecar.wait();
        sidecar
    }

    fn spawn(program: &Path, file: &Path) -> Child {
        let words = ["sidecar", "--config", file.to_str().expect("text")];
        // MILLETTURN_LOG=1 shows what the program says
        let shown = std::env::var_os("MILLETTURN_LOG").is_some();
        let log = if shown {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        Command::new(program)
            .args(words)
            .stderr(log)
            .spawn()
            .expect("it starts")
    }

    fn wait(&self) {
        wait_until("ready", || {
            TcpStream::connect(self.http).is_ok()
                && Client::new(self.http)
                    .send(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    .is_some_and(|(code, _)| code == 200)
        });
    }

    /// Ends it at once, and starts it again.
    pub(crate) fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        self.process = Sidecar::spawn(&self.program, &self.file);
        self.wait();
    }

    /// Resident memory, MB.
    pub(crate) fn memory(&self) -> f64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).expect("it runs");
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .expect("a line");
        let kilobytes = line
            .split_whitespace()
            .nth(1)
            .and_then(|word| word.parse::<f64>().ok());
        kilobytes.expect("a number") / 1024.0
    }

    /// Reads final answers until `done` says that all are there, for so long at most.
    pub(crate) fn answers(
        &self,
        most: Duration,
        done: impl Fn(&BTreeMap<String, String>) -> bool,
    ) -> BTreeMap<String, String> {
        let mut stream = TcpStream::connect(self.outcomes).expect("it accepts");
        stream
            .write_all(b"GET /v1/outcomes?from=0 HTTP/1.1\r\nHost: a\r\n\r\n")
            .expect("written");
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("set");
        let (mut reader, mut line, mut found) =
            (BufReader::new(stream), Vec::new(), BTreeMap::new());
        let until = Instant::now() + most;
        while Instant::now() < until && !done(&found) {
            match reader.read_until(b'\n', &mut line) {
                Ok(0) => break,
                Ok(_) if line.ends_with(b"\n") => {
                    if line.starts_with(b"{") {
                        let answer: serde_json::Value =
                            serde_json::from_slice(&line).expect("JSON");
                        let word = |name: &str| answer[name].as_str().expect("text").to_string();
                        assert!(
                            found.insert(word("id"), word("state")).is_none(),
                            "two answers"
                        );
                    }
                    line.clear();
                }
                _ => {}
            }
        }
        found
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
