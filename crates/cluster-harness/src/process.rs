//! A running process of the program under test, with its captured output.

use crate::program::Program;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for a condition that must become true. Far above the time that any condition takes, so that a slow
/// machine does not make a test fail.
pub const MAX_WAIT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition that has to be polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition until it is true; `what` describes the condition in the panic message.
///
/// # Panics
/// If the condition is not true within [`MAX_WAIT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < MAX_WAIT,
            "condition not met in time: {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// A running process with all lines that it has printed. Dropping the value kills the process.
#[derive(Debug)]
pub struct Process {
    /// The name in panic messages; for a member also its name in the coordination service.
    pub name: String,
    child: Child,
    output: Arc<Output>,
}

/// The lines that a process printed on stdout and stderr, with a condition variable notified for each new line.
#[derive(Debug, Default)]
struct Output {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl Process {
    /// Starts the program with these arguments, and collects what it prints on stdout and stderr.
    ///
    /// # Panics
    /// If the program cannot be started.
    #[must_use]
    pub fn start(program: &Program, name: &str, arguments: &[String]) -> Self {
        let mut child = Command::new(program.path())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let output = Arc::new(Output::default());
        let (stdout, stderr) = (
            child.stdout.take().expect("the output is piped"),
            child.stderr.take().expect("the output is piped"),
        );
        collect_lines(stdout, output.clone());
        collect_lines(stderr, output.clone());
        Self {
            name: name.to_string(),
            child,
            output,
        }
    }

    /// The process id, as in the paths of proc(5).
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All lines that the process has printed so far, on stdout and stderr.
    ///
    /// # Panics
    /// If a thread that reads an output has panicked.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.output
            .lines
            .lock()
            .expect("no reader thread panics")
            .clone()
    }

    /// Waits until the process has printed at least `count` lines that match.
    ///
    /// # Panics
    /// If the process has not printed them within [`MAX_WAIT`].
    pub fn wait_for_lines(&self, count: usize, matches: impl Fn(&str) -> bool) {
        let too_few =
            |lines: &mut Vec<String>| lines.iter().filter(|line| matches(line)).count() < count;
        let lines = self.output.lines.lock().expect("no reader thread panics");
        let (lines, waited) = self
            .output
            .line_added
            .wait_timeout_while(lines, MAX_WAIT, too_few)
            .expect("no reader thread panics");
        let tail = &lines[lines.len().saturating_sub(20)..];
        assert!(
            !waited.timed_out(),
            "{} did not print {count} matching lines; the last lines: {tail:#?}",
            self.name
        );
    }

    /// Waits for the log line with the address on which the process listens, and returns the address.
    pub(crate) fn wait_for_listen_address(&self) -> SocketAddr {
        const BEFORE_ADDRESS: &str = "listens on ";
        self.wait_for_lines(1, |line| line.contains(BEFORE_ADDRESS));
        let lines = self.lines();
        let address = lines
            .iter()
            .find_map(|line| line.split(BEFORE_ADDRESS).nth(1));
        address
            .and_then(|text| text.parse().ok())
            .expect("the log line ends with an address")
    }

    /// Suspends the process at an arbitrary point (SIGSTOP), and waits until it is suspended.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        wait_until("the process is suspended", || {
            self.state_letter() == Some('T')
        });
    }

    /// Resumes the process after [`suspend`](Self::suspend) (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests an orderly shutdown of the process (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process as in a crash (SIGKILL), and waits for its end.
    ///
    /// # Panics
    /// If waiting for the process fails.
    pub fn kill(&mut self) {
        let _ = self.child.kill(); // the process may have ended already
        self.child.wait().expect("the process can be waited for");
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal)
            .expect("a child that was not waited for");
    }

    /// The process state from proc(5), which is the letter after the name in parentheses.
    fn state_letter(&self) -> Option<char> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        stat.rsplit(") ").next()?.chars().next()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn collect_lines(from: impl Read + Send + 'static, output: Arc<Output>) {
    thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            output
                .lines
                .lock()
                .expect("no reader thread panics")
                .push(line);
            output.line_added.notify_all();
        }
    });
}
