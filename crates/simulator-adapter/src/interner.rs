//! Maps the names that the simulator uses to the numbers that the decision module uses.

use std::collections::BTreeMap;

/// Assigns a number to each name, starting from 0, in the order in which the names first appear.
#[derive(Default)]
pub(crate) struct Interner {
    numbers: BTreeMap<String, u64>,
    names: Vec<String>,
}

impl Interner {
    /// The number of a name; a name that is not known yet gets the next number.
    pub(crate) fn number(&mut self, name: &str) -> u64 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u64;
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// The name for a number that [`number`](Self::number) returned.
    pub(crate) fn name(&self, number: u64) -> &str {
        &self.names[number as usize]
    }
}
