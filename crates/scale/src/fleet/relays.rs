//! The product's relays as processes: each with a counted way in front of it and ways of its own to the stewards.

use super::meter::{Meter, Passed};
use super::process::Process;
use super::relay::Relay as Passage;
use super::stewards::{GROUP, Group};
use crate::Error;
use crate::cost::Cost;
use milletturn_fleet::bounds;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;
use tokio::runtime::Handle;

/// The relays of a run.
#[derive(Debug)]
pub struct Relays {
    processes: Vec<Option<Process>>,
    front: Vec<Passage>,
    _folder: TempDir,
}

impl Relays {
    /// Starts so many. The stewards' regions from `first` on are their ways to the stewards.
    ///
    /// # Errors
    /// One does not come up.
    pub fn start(
        program: &Path, count: usize, group: &Group, first: usize, runtime: &Handle,
    ) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(Error::io("a folder for the relays"))?;
        let (mut processes, mut front) = (Vec::new(), Vec::new());
        for number in 0..count {
            let stewards: Vec<String> =
                group.addresses(first + number).iter().map(|address| format!("\"{address}\"")).collect();
            let text = format!(
                "group = \"{GROUP}\"\nname = \"relay-{number}\"\nlisten = \"127.0.0.1:0\"\nplaces = {}\n\
                 stewards = [{}]\n",
                bounds::RELAYED,
                stewards.join(", ")
            );
            let file = folder.path().join(format!("relay{number}.toml"));
            std::fs::write(&file, text).map_err(Error::io(file.display().to_string()))?;
            let mut command = Command::new(program);
            command.args(["relay", "--config"]).arg(&file);
            let mut process =
                Process::start(&mut command, &folder.path().join(format!("relay{number}.log")))?;
            let said = process.until_said("listens on ")?;
            let address: SocketAddr =
                said.parse().map_err(|_| Error::Wrong(format!("no address: {said}")))?;
            let passage = Passage::start(runtime, Meter::default())?;
            passage.lead_to(Some(address));
            processes.push(Some(process));
            front.push(passage);
        }
        Ok(Self { processes, front, _folder: folder })
    }

    /// Where members reach them.
    pub fn addresses(&self) -> Vec<String> {
        self.front.iter().map(|passage| passage.address.to_string()).collect()
    }

    /// Ends one as a crash would.
    pub fn kill(&mut self, number: usize) {
        self.front[number].lead_to(None);
        self.processes[number] = None;
    }

    /// Those that run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        self.processes.iter().enumerate().filter(|(_, process)| process.is_some()).map(|(number, _)| number)
    }

    /// What one has cost so far, and what its members asked it and were told.
    ///
    /// # Errors
    /// It is not running.
    pub fn read(&self, number: usize) -> Result<(Cost, Passed), Error> {
        let process = self.processes[number].as_ref();
        let process = process.ok_or_else(|| Error::Wrong(format!("relay {number} is not running")))?;
        Ok((Cost::of(process.id())?, self.front[number].meter.sum()))
    }

    /// Highest second of what members asked one of them, from this moment on: messages.
    pub fn peak(&self, number: usize, from: u64) -> u64 {
        self.front[number].meter.peak(from).0
    }
}
