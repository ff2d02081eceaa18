//! A child process: its output, signals to it, and its end.

use crate::Error;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Longest wait until a process or the fleet reaches an expected state; far longer than any of these steps takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two polls.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Ids of running child processes, which are killed when a signal ends this process.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn update_running(change: impl FnOnce(&mut BTreeSet<u32>)) {
    // no change leaves the set half-updated, so the data behind a poisoned lock is usable
    change(&mut RUNNING.lock().unwrap_or_else(PoisonError::into_inner));
}

/// From now on, SIGTERM and SIGINT kill the child processes and then end this process.
///
/// # Errors
/// The system provides no thread, no runtime or no signals.
pub fn kill_children_on_signals() -> Result<(), Error> {
    use tokio::signal::unix::{SignalKind, signal};
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(Error::io("a runtime"))?;
    let entered = runtime.enter();
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::io("SIGTERM"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::io("SIGINT"))?;
    drop(entered);
    let wait = move || {
        runtime.block_on(async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        update_running(|ids| {
            for id in ids.iter().filter_map(|id| Pid::from_raw(id.cast_signed())) {
                // the process may have ended already
                let _ = kill_process(id, Signal::KILL);
            }
        });
        std::process::exit(1);
    };
    std::thread::Builder::new()
        .spawn(wait)
        .map_err(Error::io("a thread"))?;
    Ok(())
}

/// Polls until the condition holds.
///
/// # Errors
/// The condition returns an error, or does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(
    text: &str,
    mut condition: impl FnMut() -> Result<bool, Error>,
) -> Result<(), Error> {
    let started = Instant::now();
    while !condition()? {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(Error::Unexpected(format!(
                "not reached within {} s: {text}",
                WAIT_TIMEOUT.as_secs()
            )));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// A child process; dropping the value kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: std::path::PathBuf,
}

impl Process {
    /// Starts the process; standard output and standard error go to the file `log`.
    ///
    /// # Errors
    /// The process can't be started, or the file can't be created.
    pub fn start(command: &mut Command, log: &Path) -> Result<Self, Error> {
        let file = || File::create(log).map_err(Error::io(log.display().to_string()));
        let out = file()?;
        let errors = out
            .try_clone()
            .map_err(Error::io(log.display().to_string()))?;
        let child = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(errors)
            .spawn();
        let child = child.map_err(Error::io(command.get_program().display().to_string()))?;
        update_running(|ids| {
            ids.insert(child.id());
        });
        Ok(Process {
            child,
            log: log.to_path_buf(),
        })
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All lines of output so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let file = File::open(&self.log);
        file.map(|file| BufReader::new(file).lines().map_while(Result::ok).collect())
            .unwrap_or_default()
    }

    /// Waits until the output contains a text, and returns the rest of that line.
    ///
    /// # Errors
    /// The text does not appear within [`WAIT_TIMEOUT`], or the process has ended.
    pub fn wait_for_output(&mut self, text: &str) -> Result<String, Error> {
        let mut rest_of_line = None;
        wait_until(&format!("a process prints {text:?}"), || {
            let lines = self.lines();
            rest_of_line = lines
                .iter()
                .find_map(|line| Some(line.split_once(text)?.1.to_string()));
            if rest_of_line.is_none() && matches!(self.child.try_wait(), Ok(Some(_))) {
                return Err(Error::Unexpected(format!(
                    "a process ended early; its output: {}",
                    lines.join(" / ")
                )));
            }
            Ok(rest_of_line.is_some())
        })?;
        Ok(rest_of_line.unwrap_or_default())
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|error| {
            Error::Io(
                format!("sending a signal to process {}", self.id()),
                error.into(),
            )
        })
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    /// The process does not end within [`WAIT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> Result<(), Error> {
        let child = &mut self.child;
        wait_until("a process ends", || {
            Ok(matches!(child.try_wait(), Ok(Some(_))))
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // the process may have ended already
        let _ = self.child.kill();
        let _ = self.child.wait();
        update_running(|ids| {
            ids.remove(&self.child.id());
        });
    }
}
