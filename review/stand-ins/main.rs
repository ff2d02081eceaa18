//! Runs one case of the review: `review-case NAME RECORD`. The exit code is 0 if the rule held, 1 if it was broken and
//! 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod parts;
mod redrive;
mod reload;
mod second_answer;
mod second_start;

use parts::{Record, Verdict, Workplace};
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let workplace = match Workplace::new(record.clone()) {
        Ok(workplace) => workplace,
        Err(error) => {
            eprintln!("no temporary folder: {error}");
            return ExitCode::from(2);
        }
    };
    let run = || match name.as_str() {
        "second-start" => second_start::with_store(&workplace, trouble),
        "reload" => reload::pieces(&workplace, trouble),
        "upgrade" => reload::upgrade(&workplace, trouble),
        "redrive" => redrive::effect_changed(&workplace, trouble),
        "second-answer" => second_answer::full_store(&workplace, trouble),
        _ => Verdict::CouldNotRun("no such case".to_string()),
    };
    // a stand-in that fails is no finding
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".to_string()));
    workplace.close();
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
