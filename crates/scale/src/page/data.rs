//! Reads the records of all measurements and finds them by role, quantity and axis.

use crate::Error;
use crate::figures::{Fault, Fit, Head, Point, Record, read};
use crate::fit::Form;
use std::collections::BTreeMap;
use std::path::Path;

/// A measured quantity along one axis: its points, the line fitted through them, and the file that holds them.
#[derive(Debug, Clone)]
pub(super) struct Slope {
    /// Name of the file that holds the records.
    pub file: String,
    /// The fitted line; `None` if there are too few sizes.
    pub fit: Option<Fit>,
    /// The measured points, in the order of the file.
    pub points: Vec<Point>,
}

/// A value at a size, and whether it was measured at that size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Value {
    /// The value in the unit of its quantity.
    pub amount: f64,
    /// True if a point was measured at this size; false if the value is interpolated or taken from the fitted line.
    pub measured: bool,
}

/// Relative difference up to which a size counts as equal to a measured one.
const SIZE_TOLERANCE: f64 = 0.03;

impl Slope {
    /// Returns the value at a size: the mean of the points measured there, else an interpolation between the measured
    /// sizes below and above, else the value of the fitted line. Returns `None` outside the measured sizes if no line
    /// was fitted.
    pub(super) fn at(&self, size: f64) -> Option<Value> {
        let measured = self
            .points
            .iter()
            .any(|point| (point.at - size).abs() <= SIZE_TOLERANCE * size);
        Some(Value {
            amount: self.amount(size)?,
            measured,
        })
    }

    /// Returns the amount of [`Slope::at`] without the flag that tells whether it was measured.
    pub(super) fn amount(&self, size: f64) -> Option<f64> {
        let points = self.means_by_size();
        let near = points
            .iter()
            .find(|(at, _)| (at - size).abs() <= SIZE_TOLERANCE * size);
        if let Some((_, value)) = near {
            return Some(*value);
        }
        let neighbors = points
            .windows(2)
            .find(|two| two[0].0 <= size && size <= two[1].0);
        match neighbors {
            Some(two) => {
                let ((from, low), (to, high)) = (two[0], two[1]);
                Some(low + (high - low) * (size - from) / (to - from))
            }
            None => self.line_value(size),
        }
    }

    /// Returns the mean value of the points of each size, sorted by size.
    fn means_by_size(&self) -> Vec<(f64, f64)> {
        let mut sorted: Vec<(f64, f64)> = self
            .points
            .iter()
            .map(|point| (point.at, point.value))
            .collect();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let groups = sorted.chunk_by(|a, b| a.0 == b.0);
        groups
            .map(|group| {
                (
                    group[0].0,
                    group.iter().map(|point| point.1).sum::<f64>() / group.len() as f64,
                )
            })
            .collect()
    }

    /// Returns the value of the fitted line, or zero where the line is negative. A falling line gives the mean of all
    /// points.
    fn line_value(&self, size: f64) -> Option<f64> {
        let fit = self.fit.as_ref()?;
        let form = Form::ALL.into_iter().find(|form| form.name() == fit.form)?;
        let [constant, slope] = fit.coefficients[..] else {
            return None;
        };
        // a negative slope is taken as noise of a loaded machine on a constant quantity: extrapolated, it would go
        // below zero
        if slope < 0.0 {
            return Some(
                self.points.iter().map(|point| point.value).sum::<f64>() / self.points.len() as f64,
            );
        }
        Some((constant + slope * form.term(size)).max(0.0))
    }

    /// Returns the largest measured size.
    pub(super) fn max_size(&self) -> f64 {
        self.points.iter().map(|point| point.at).fold(0.0, f64::max)
    }

    /// Returns the growth per unit of size, if the fitted form is linear.
    pub(super) fn slope_per_unit(&self) -> Option<f64> {
        let fit = self
            .fit
            .as_ref()
            .filter(|fit| fit.form == Form::Linear.name())?;
        fit.coefficients.get(1).copied()
    }
}

/// Returns the role of a point with the kind of sender appended, so that different kinds at the same size are kept
/// apart. Nothing is appended if the point has no kind, or for `hollow` (simulated senders), on which the slopes are
/// based.
fn role_of(point: &Point) -> String {
    match point.other.get("kind").and_then(|kind| kind.as_str()) {
        None | Some("hollow") => point.role.clone(),
        Some(kind) => format!("{}, {kind}", point.role),
    }
}

/// Words in the labels of older records, and the current terms for them.
const RENAMED_LABEL_WORDS: [(&str, &str); 8] = [
    ("steward", "coordinator"),
    ("stewards", "coordinators"),
    ("relay", "session-proxy"),
    ("relays", "session-proxies"),
    ("catalog", "shard-map"),
    ("holder", "replica"),
    ("undelivered", "dead-letter"),
    ("account", "access-log"),
];

/// Returns a label with its older words replaced by the current terms. Record files are not rewritten after a rename,
/// so the page has to read old and new labels.
fn current_label(label: &str) -> String {
    let is_word_char = |character: char| character.is_alphanumeric();
    let mut out = String::new();
    let mut rest = label;
    while let Some(start) = rest.find(is_word_char) {
        let word = &rest[start..];
        let word = &word[..word
            .find(|character| !is_word_char(character))
            .unwrap_or(word.len())];
        let term = RENAMED_LABEL_WORDS.iter().find(|(old, _)| *old == word);
        out.push_str(&rest[..start]);
        out.push_str(term.map_or(word, |(_, new)| *new));
        rest = &rest[start + word.len()..];
    }
    out + rest
}

/// The records of all files.
#[derive(Debug, Clone, Default)]
pub(super) struct Data {
    /// The head record of each file, with the file name.
    pub heads: Vec<(String, Head)>,
    /// Results of the fault runs, with the file name.
    pub faults: Vec<(String, Fault)>,
    /// Slopes by role, quantity and axis. In roles and quantities the current terms replace those of older records.
    pub slopes: BTreeMap<(String, String, String), Slope>,
}

impl Data {
    /// Reads all `.jsonl` files of a folder in the order of their names. If two files hold the same quantity, the later
    /// file replaces the earlier one.
    ///
    /// # Errors
    /// A file cannot be read, or does not begin with a head record.
    pub(super) fn read(folder: &Path) -> Result<Self, Error> {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(Error::io(folder.display().to_string()))? {
            let path = entry
                .map_err(Error::io(folder.display().to_string()))?
                .path();
            if path
                .extension()
                .is_some_and(|extension| extension == "jsonl")
            {
                files.push(path);
            }
        }
        files.sort();
        let mut data = Data::default();
        for path in files {
            let name = path
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            let records = read(&path)?;
            let Some(Record::Head(head)) = records.first() else {
                return Err(Error::Unexpected(format!(
                    "{name} does not begin with a head record"
                )));
            };
            data.heads.push((name.clone(), head.clone()));
            data.add_records(&name, records);
        }
        Ok(data)
    }

    fn add_records(&mut self, file: &str, records: Vec<Record>) {
        for record in records {
            match record {
                Record::Head(_) => {}
                Record::Point(point) => {
                    // a value that is not finite means that the measured event never happened
                    if !point.value.is_finite() {
                        continue;
                    }
                    let role = role_of(&point);
                    self.slope_mut(file, (&role, &point.quantity, &point.axis))
                        .points
                        .push(point);
                }
                Record::Fit(fit) => {
                    self.slope_mut(file, (&fit.role, &fit.quantity, &fit.axis))
                        .fit = Some(fit.clone());
                }
                Record::Fault(fault) => self.faults.push((file.to_string(), fault)),
            }
        }
    }

    /// Returns the slope of a quantity for more records from `file`. Records that came from another file are dropped.
    fn slope_mut(&mut self, file: &str, (role, quantity, axis): (&str, &str, &str)) -> &mut Slope {
        let key = (
            current_label(role),
            current_label(quantity),
            axis.to_string(),
        );
        let new_slope = || Slope {
            file: file.to_string(),
            fit: None,
            points: Vec::new(),
        };
        let slope = self.slopes.entry(key).or_insert_with(new_slope);
        if slope.file != file {
            *slope = new_slope();
        }
        slope
    }

    /// Returns the slope of a quantity; `None` if it was not measured. `role` and `quantity` are in the current terms,
    /// not in those of older records.
    pub(super) fn find(&self, role: &str, quantity: &str, axis: &str) -> Option<&Slope> {
        self.slopes
            .get(&(role.to_string(), quantity.to_string(), axis.to_string()))
    }
}
