//! Control of the processes that host the simulated senders.

use super::counters::{Mark, Report};
use super::discovery::Discovery;
use super::simulated_senders::{Request, Response, SimulationConfig};
use crate::Error;
use crate::cost::Cost;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Default number of simulated senders in one process; each takes two descriptors, and a few more while it connects.
pub const SENDERS_PER_PROCESS: u64 = 2_000;

#[derive(Debug)]
struct HostProcess {
    child: Child,
    requests: ChildStdin,
    responses: BufReader<ChildStdout>,
    numbers: std::ops::Range<u64>,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // the process may have ended already
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All simulated senders of a run.
#[derive(Debug)]
pub struct SimulatedFleet {
    hosts: Vec<HostProcess>,
}

impl SimulatedFleet {
    /// Starts the processes for the given number of senders; no sender is running yet.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(
        program: &Path,
        config: &SimulationConfig,
        senders: u64,
        senders_per_process: u64,
    ) -> Result<Self, Error> {
        let mut fleet = SimulatedFleet { hosts: Vec::new() };
        let mut from = 0;
        while from < senders {
            let to = (from + senders_per_process.max(1)).min(senders);
            let child = Command::new(program)
                .arg("hollow")
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::null())
                .spawn();
            let mut child = child.map_err(Error::io(program.display().to_string()))?;
            let (Some(requests), Some(responses)) = (child.stdin.take(), child.stdout.take())
            else {
                return Err(Error::Unexpected(
                    "a child process has no standard input or output".into(),
                ));
            };
            let mut host = HostProcess {
                child,
                requests,
                responses: BufReader::new(responses),
                numbers: from..to,
            };
            host.send(config)?;
            fleet.hosts.push(host);
            from = to;
        }
        Ok(fleet)
    }

    /// Ids of the processes.
    #[must_use]
    pub fn ids(&self) -> Vec<u32> {
        self.hosts.iter().map(|host| host.child.id()).collect()
    }

    /// Returns what the processes have cost so far.
    ///
    /// # Errors
    /// A process has ended.
    pub fn cost(&self) -> Result<Cost, Error> {
        Cost::of_all(self.ids())
    }

    /// Sends each process a request for those of the chosen senders that it hosts; processes that host none of them get
    /// no request.
    fn send_to(
        &mut self,
        numbers: &[u64],
        request: impl Fn(Vec<u64>) -> Request,
    ) -> Result<(), Error> {
        let mut contacted = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let own: Vec<u64> = numbers
                .iter()
                .copied()
                .filter(|number| host.numbers.contains(number))
                .collect();
            if !own.is_empty() {
                host.send(&request(own))?;
                contacted.push(index);
            }
        }
        contacted
            .into_iter()
            .try_for_each(|index| self.hosts[index].receive().map(drop))
    }

    fn broadcast(&mut self, request: &Request) -> Result<Vec<Response>, Error> {
        self.hosts
            .iter_mut()
            .try_for_each(|host| host.send(request))?;
        self.hosts.iter_mut().map(HostProcess::receive).collect()
    }

    /// Starts these senders.
    ///
    /// # Errors
    /// A process has ended, or the settings can't be read.
    pub fn start_senders(&mut self, numbers: &[u64]) -> Result<(), Error> {
        self.send_to(numbers, Request::Start)
    }

    /// Stops these senders as a crash would.
    ///
    /// # Errors
    /// A process has ended.
    pub fn kill_senders(&mut self, numbers: &[u64]) -> Result<(), Error> {
        self.send_to(numbers, Request::Kill)
    }

    /// Stops these senders as SIGTERM would.
    ///
    /// # Errors
    /// A process has ended.
    pub fn stop_senders(&mut self, numbers: &[u64]) -> Result<(), Error> {
        self.send_to(numbers, Request::Stop)
    }

    /// From now on, measures when each sender receives the marked version.
    ///
    /// # Errors
    /// A process has ended.
    pub fn set_mark(&mut self, mark: Mark) -> Result<(), Error> {
        self.broadcast(&Request::Mark(mark)).map(drop)
    }

    /// Checks each sender's permission to act at this interval in milliseconds; 0 stops the checks.
    ///
    /// # Errors
    /// A process has ended.
    pub fn sample_permissions(&mut self, interval_ms: u64) -> Result<(), Error> {
        self.broadcast(&Request::SamplePermissions(interval_ms))
            .map(drop)
    }

    /// Reloads the settings of all senders; returns the microseconds that the slowest process took.
    ///
    /// # Errors
    /// A process has ended, or the settings can't be read.
    pub fn reload_settings(&mut self) -> Result<u64, Error> {
        let responses = self.broadcast(&Request::Reload)?;
        Ok(responses
            .iter()
            .filter_map(|response| {
                if let Response::Done(duration_us) = response {
                    Some(*duration_us)
                } else {
                    None
                }
            })
            .max()
            .unwrap_or(0))
    }

    /// Returns the counters since the last report, compared with the current list.
    ///
    /// # Errors
    /// A process has ended.
    pub fn take_report(&mut self, discovery: &Discovery) -> Result<Report, Error> {
        let request = Request::Report {
            version: discovery.version(),
            destinations: discovery.destinations(),
        };
        let mut sum = Report::default();
        for response in self.broadcast(&request)? {
            if let Response::Report(report) = response {
                sum.add(*report);
            }
        }
        Ok(sum)
    }

    /// Returns how many senders have received this version, and how many may act on their resource now.
    ///
    /// # Errors
    /// A process has ended.
    pub fn count_ready(&mut self, version: u64) -> Result<(u64, u64), Error> {
        let (informed, permitted, _) = self.counts(version)?;
        Ok((informed, permitted))
    }

    /// Returns how many senders hold a session whose lease is still safe by their own clock.
    ///
    /// # Errors
    /// A process has ended.
    pub fn count_sessions_held(&mut self) -> Result<u64, Error> {
        Ok(self.counts(0)?.2)
    }

    fn counts(&mut self, version: u64) -> Result<(u64, u64, u64), Error> {
        let mut sum = (0, 0, 0);
        for response in self.broadcast(&Request::CountReady(version))? {
            if let Response::Counts {
                informed,
                permitted,
                with_session,
            } = response
            {
                sum = (sum.0 + informed, sum.1 + permitted, sum.2 + with_session);
            }
        }
        Ok(sum)
    }
}

impl HostProcess {
    fn send(&mut self, message: &impl serde::Serialize) -> Result<(), Error> {
        let text =
            serde_json::to_string(message).map_err(|error| Error::Unexpected(error.to_string()))?;
        let sent = writeln!(self.requests, "{text}").and_then(|()| self.requests.flush());
        sent.map_err(Error::io("sending a request to simulated senders"))
    }

    fn receive(&mut self) -> Result<Response, Error> {
        let mut text = String::new();
        self.responses
            .read_line(&mut text)
            .map_err(Error::io("reading the response of simulated senders"))?;
        match serde_json::from_str(&text) {
            Ok(Response::Failed(error_message)) => Err(Error::Unexpected(error_message)),
            Ok(response) => Ok(response),
            Err(error) => Err(Error::Unexpected(format!(
                "invalid response of simulated senders: {text:?}: {error}"
            ))),
        }
    }
}
