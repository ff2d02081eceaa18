//! Starts the real sender as a child process with configuration files that a measurement writes.

use super::probe;
use crate::Error;
use milletturn_test_support::UnusedAddress;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a sender to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Creates a temporary folder beside this executable, so that it is on disk and not on a file system in memory.
pub(crate) fn temp_dir() -> Result<tempfile::TempDir, Error> {
    let this = std::env::current_exe().map_err(Error::io("this program"))?;
    let parent = this.parent().unwrap_or(Path::new("."));
    tempfile::tempdir_in(parent).map_err(Error::io(parent.display().to_string()))
}

/// Returns a loopback address on which nothing listens.
pub(crate) fn unused_address() -> SocketAddr {
    UnusedAddress::bind_on([127, 0, 0, 1]).address
}

/// A running sender process, which is killed when the value is dropped.
pub(crate) struct Sender {
    process: Child,
    /// Address to which clients connect.
    pub http: SocketAddr,
    /// Wall-clock time from the start of the process until it was ready, in seconds.
    pub ready: f64,
}

/// Configuration of a sidecar apart from its addresses.
pub(crate) struct SidecarConfig<'a> {
    /// Contents of the `[limits]` section, as TOML.
    pub limits: &'a str,
    /// Contents of the endpoints file, as TOML.
    pub list: &'a str,
}

impl Sender {
    /// Starts a sidecar in the given folder and waits until it is ready.
    pub(crate) fn start_sidecar(
        program: &Path,
        folder: &Path,
        config: &SidecarConfig,
    ) -> Result<Self, Error> {
        Sender::start_sidecar_with_admin(program, folder, config, None)
    }

    /// Starts a sidecar that also has an admin listener if an address is given, and waits until it is ready.
    pub(crate) fn start_sidecar_with_admin(
        program: &Path,
        folder: &Path,
        config: &SidecarConfig,
        admin_address: Option<SocketAddr>,
    ) -> Result<Self, Error> {
        let (http, outcomes) = (unused_address(), unused_address());
        let admin_setting = admin_address.map_or(String::new(), |address| {
            format!("operators = '{address}'\n")
        });
        let text = format!(
            "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n{admin_setting}\
             [limits]\n{}\n[endpoints]\nfile = 'list.toml'\n\
             [class.notice]\neffect = 'keyed'\nwindow = '7d'\ndeadline = '7d'\n",
            config.limits
        );
        write(&folder.join("app.toml"), &text)?;
        write(&folder.join("list.toml"), config.list)?;
        let mut command = Command::new(program);
        command
            .args(["sidecar", "--config"])
            .arg(folder.join("app.toml"));
        Sender::start(command, http, START_TIMEOUT)
    }

    /// Starts a command and waits until `GET /ready` returns 200, for at most the given time.
    pub(crate) fn start(
        mut command: Command,
        http: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Error> {
        let is_log_shown = std::env::var_os("MILLETTURN_LOG").is_some();
        let log = if is_log_shown {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        let started_at = Instant::now();
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
                return Err(Error::Unexpected(format!(
                    "the sender exited before it was ready: {status}"
                )));
            }
            if started_at.elapsed() > timeout {
                return Err(Error::Unexpected(format!(
                    "sender not ready within {} s",
                    timeout.as_secs()
                )));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        sender.ready = started_at.elapsed().as_secs_f64();
        Ok(sender)
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the CPU time used so far, in seconds.
    pub(crate) fn cpu(&self) -> Result<f64, Error> {
        probe::cpu_of(self.id())
    }

    /// Returns the current and the peak resident memory, in bytes.
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

pub(crate) fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(Error::io(path.display().to_string()))
}

/// Returns the folder in which a sidecar started in `folder` keeps its journal.
pub(crate) fn journal_dir(folder: &Path) -> PathBuf {
    folder.join("app.state")
}

fn is_ready(http: SocketAddr) -> bool {
    let request = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(http)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut status_line = [0u8; 12];
        stream.read_exact(&mut status_line)?;
        Ok(status_line.ends_with(b" 200"))
    };
    request().unwrap_or(false)
}
