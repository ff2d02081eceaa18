//! Control of the processes that host the simulated senders.

use super::discovery::Discovery;
use super::hollow::{Answer, Common, Order};
use super::tally::{Mark, Report};
use crate::Error;
use crate::cost::Cost;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Default number of simulated senders in one process; each takes two descriptors, and a few more while it connects.
pub const EACH: u64 = 2_000;

#[derive(Debug)]
struct Hall {
    child: Child,
    orders: ChildStdin,
    answers: BufReader<ChildStdout>,
    numbers: std::ops::Range<u64>,
}

impl Drop for Hall {
    fn drop(&mut self) {
        // the process may have ended already
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All simulated senders of a run.
#[derive(Debug)]
pub struct Herd {
    halls: Vec<Hall>,
}

impl Herd {
    /// Starts the processes for the given number of senders; no sender is running yet.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(program: &Path, common: &Common, senders: u64, each: u64) -> Result<Self, Error> {
        let mut herd = Herd { halls: Vec::new() };
        let mut from = 0;
        while from < senders {
            let to = (from + each.max(1)).min(senders);
            let child = Command::new(program)
                .arg("hollow")
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::null())
                .spawn();
            let mut child = child.map_err(Error::io(program.display().to_string()))?;
            let (Some(orders), Some(answers)) = (child.stdin.take(), child.stdout.take()) else {
                return Err(Error::Wrong("a process without its pipes".into()));
            };
            let mut hall = Hall {
                child,
                orders,
                answers: BufReader::new(answers),
                numbers: from..to,
            };
            hall.say(common)?;
            herd.halls.push(hall);
            from = to;
        }
        Ok(herd)
    }

    /// Ids of the processes.
    #[must_use]
    pub fn ids(&self) -> Vec<u32> {
        self.halls.iter().map(|hall| hall.child.id()).collect()
    }

    /// Returns what the processes have cost so far.
    ///
    /// # Errors
    /// A process has ended.
    pub fn cost(&self) -> Result<Cost, Error> {
        Cost::of_all(self.ids())
    }

    /// Sends each process an order for those of the chosen senders that it hosts; processes that host none of them get
    /// no order.
    fn each(&mut self, numbers: &[u64], order: impl Fn(Vec<u64>) -> Order) -> Result<(), Error> {
        let mut asked = Vec::new();
        for (place, hall) in self.halls.iter_mut().enumerate() {
            let own: Vec<u64> = numbers
                .iter()
                .copied()
                .filter(|number| hall.numbers.contains(number))
                .collect();
            if !own.is_empty() {
                hall.say(&order(own))?;
                asked.push(place);
            }
        }
        asked
            .into_iter()
            .try_for_each(|place| self.halls[place].hear().map(drop))
    }

    fn all(&mut self, order: &Order) -> Result<Vec<Answer>, Error> {
        self.halls.iter_mut().try_for_each(|hall| hall.say(order))?;
        self.halls.iter_mut().map(Hall::hear).collect()
    }

    /// Starts these senders.
    ///
    /// # Errors
    /// A process has ended, or the settings can't be read.
    pub fn begin(&mut self, numbers: &[u64]) -> Result<(), Error> {
        self.each(numbers, Order::Begin)
    }

    /// Stops these senders as a crash would.
    ///
    /// # Errors
    /// A process has ended.
    pub fn kill(&mut self, numbers: &[u64]) -> Result<(), Error> {
        self.each(numbers, Order::Kill)
    }

    /// Stops these senders as SIGTERM would.
    ///
    /// # Errors
    /// A process has ended.
    pub fn leave(&mut self, numbers: &[u64]) -> Result<(), Error> {
        self.each(numbers, Order::Leave)
    }

    /// Measures from now on when each sender receives the version.
    ///
    /// # Errors
    /// A process has ended.
    pub fn mark(&mut self, mark: Mark) -> Result<(), Error> {
        self.all(&Order::Mark(mark)).map(drop)
    }

    /// Checks each sender's permission to act at this interval in milliseconds; 0 stops the checks.
    ///
    /// # Errors
    /// A process has ended.
    pub fn watch(&mut self, every: u64) -> Result<(), Error> {
        self.all(&Order::Watch(every)).map(drop)
    }

    /// Reloads the settings of all senders; returns the microseconds that the slowest process took.
    ///
    /// # Errors
    /// A process has ended, or the settings can't be read.
    pub fn reload(&mut self) -> Result<u64, Error> {
        let took = self.all(&Order::Reload)?;
        Ok(took
            .iter()
            .filter_map(|took| {
                if let Answer::Done(took) = took {
                    Some(*took)
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
    pub fn report(&mut self, discovery: &Discovery) -> Result<Report, Error> {
        let order = Order::Report {
            version: discovery.version(),
            destinations: discovery.destinations(),
        };
        let mut sum = Report::default();
        for answer in self.all(&order)? {
            if let Answer::Report(report) = answer {
                sum.add(*report);
            }
        }
        Ok(sum)
    }

    /// Returns how many senders know this version, and how many may act on their resource now.
    ///
    /// # Errors
    /// A process has ended.
    pub fn ask(&mut self, version: u64) -> Result<(u64, u64), Error> {
        let (know, may, _) = self.counts(version)?;
        Ok((know, may))
    }

    /// Returns how many senders hold a session whose lease has not expired.
    ///
    /// # Errors
    /// A process has ended.
    pub fn holding(&mut self) -> Result<u64, Error> {
        Ok(self.counts(0)?.2)
    }

    fn counts(&mut self, version: u64) -> Result<(u64, u64, u64), Error> {
        let mut sum = (0, 0, 0);
        for answer in self.all(&Order::Ask(version))? {
            if let Answer::Counts { know, may, hold } = answer {
                sum = (sum.0 + know, sum.1 + may, sum.2 + hold);
            }
        }
        Ok(sum)
    }
}

impl Hall {
    fn say(&mut self, what: &impl serde::Serialize) -> Result<(), Error> {
        let text = serde_json::to_string(what).map_err(|error| Error::Wrong(error.to_string()))?;
        let said = writeln!(self.orders, "{text}").and_then(|()| self.orders.flush());
        said.map_err(Error::io("an order to hollow senders"))
    }

    fn hear(&mut self) -> Result<Answer, Error> {
        let mut text = String::new();
        self.answers
            .read_line(&mut text)
            .map_err(Error::io("an answer of hollow senders"))?;
        match serde_json::from_str(&text) {
            Ok(Answer::Failed(why)) => Err(Error::Wrong(why)),
            Ok(answer) => Ok(answer),
            Err(error) => Err(Error::Wrong(format!(
                "hollow senders answer {text:?}: {error}"
            ))),
        }
    }
}
