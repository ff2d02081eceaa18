//! The real sender as a process, on files that a measurement writes.

use super::probe;
use crate::Error;
use milletturn_test_support::UnusedAddress;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A start that takes longer is given up.
const PATIENCE: Duration = Duration::from_secs(120);

/// A folder of this process, on the disk of the program and not in memory.
pub(crate) fn folder() -> Result<tempfile::TempDir, Error> {
    let this = std::env::current_exe().map_err(Error::io("this program"))?;
    let place = this.parent().unwrap_or(Path::new("."));
    tempfile::tempdir_in(place).map_err(Error::io(place.display().to_string()))
}

/// An address on which nothing listens.
pub(crate) fn free() -> SocketAddr {
    UnusedAddress::bind_on([127, 0, 0, 1]).address
}

/// A sender that runs; it ends with this.
pub(crate) struct Sender {
    process: Child,
    /// Where clients connect.
    pub http: SocketAddr,
    /// Seconds on the wall from its start until it was ready.
    pub ready: f64,
}

/// What a sidecar is told beside its addresses.
pub(crate) struct Sidecar<'a> {
    pub limits: &'a str,
    /// The file of endpoints.
    pub list: &'a str,
}

impl Sender {
    /// Starts a sidecar in a folder, and waits until it is ready.
    pub(crate) fn sidecar(program: &Path, folder: &Path, told: &Sidecar) -> Result<Self, Error> {
        Sender::sidecar_with(program, folder, told, None)
    }

    /// The same, with a door for operators.
    pub(crate) fn sidecar_with(
        program: &Path,
        folder: &Path,
        told: &Sidecar,
        operators: Option<SocketAddr>,
    ) -> Result<Self, Error> {
        let (http, outcomes) = (free(), free());
        let operators = operators.map_or(String::new(), |address| {
            format!("operators = '{address}'\n")
        });
        let text = format!(
            "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n{operators}\
             [limits]\n{}\n[endpoints]\nfile = 'list.toml'\n\
             [class.notice]\neffect = 'keyed'\nwindow = '7d'\ndeadline = '7d'\n",
            told.limits
        );
        write(&folder.join("app.toml"), &text)?;
        write(&folder.join("list.toml"), told.list)?;
        let mut command = Command::new(program);
        command
            .args(["sidecar", "--config"])
            .arg(folder.join("app.toml"));
        Sender::start(command, http, PATIENCE)
    }

    /// Starts a command, and waits until it answers that it is ready.
    pub(crate) fn start(
        mut command: Command,
        http: SocketAddr,
        patience: Duration,
    ) -> Result<Self, Error> {
        let shown = std::env::var_os("MILLETTURN_LOG").is_some();
        let log = if shown {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        let begun = Instant::now();
        let process = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(Error::io("the sender"))?;
        let mut sender = Sender {
            process,
            http,
            ready: 0.0,
        };
        while !is_ready(http) {
            if let Some(status) = sender.process.try_wait().map_err(Error::io("the sender"))? {
                return Err(Error::Wrong(format!("the sender ended: {status}")));
            }
            if begun.elapsed() > patience {
                return Err(Error::Wrong(format!(
                    "not ready within {} s",
                    patience.as_secs()
                )));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        sender.ready = begun.elapsed().as_secs_f64();
        Ok(sender)
    }

    /// Its number.
    pub(crate) fn id(&self) -> u32 {
        self.process.id()
    }

    /// Processor time so far.
    pub(crate) fn cpu(&self) -> Result<f64, Error> {
        probe::cpu_of(self.id())
    }

    /// Memory now, and the most that it ever was.
    pub(crate) fn memory(&self) -> Result<(f64, f64), Error> {
        probe::memory_of(&self.id().to_string())
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Writes a file.
pub(crate) fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(Error::io(path.display().to_string()))
}

/// Where a sidecar keeps its journal.
pub(crate) fn state(folder: &Path) -> PathBuf {
    folder.join("app.state")
}

fn is_ready(http: SocketAddr) -> bool {
    let asked = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(http)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut head = [0u8; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b" 200"))
    };
    asked().unwrap_or(false)
}
