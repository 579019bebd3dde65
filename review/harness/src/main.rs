//! Runs one case of the review, or one stand-in for an executor.
//!
//! `review_harness CASE ROOT RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! in the environment it does the same without the disruption.
#![allow(
    clippy::disallowed_methods,
    reason = "the stand-ins use the standard library alone, and nothing suspends the machine during a case"
)]

mod executor;
mod http;
mod installation;
mod json;
mod lost_cancel;
mod starved_jobs;
mod wrong_count;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use executor::unix_ms;
use installation::Record;

/// A script may run for 120 s; this leaves time to end all processes.
const LONGEST: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["executor", id, address, control, service, labels] => {
            let (Ok(address), Ok(control)) = (address.parse(), control.parse()) else {
                return ExitCode::from(2);
            };
            let options = executor::Options {
                id: (*id).to_owned(),
                address,
                control,
                service: (*service).to_owned(),
                labels: labels.split(',').map(str::to_owned).collect(),
            };
            let ended = executor::run(&options);
            eprintln!("{ended:?}");
            ExitCode::from(2)
        }
        [case, root, record] => run_case(case, Path::new(root), Path::new(record)),
        _ => {
            eprintln!("review_harness CASE ROOT RECORD");
            ExitCode::from(2)
        }
    }
}

fn run_case(case: &str, root: &Path, path: &Path) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let began_ms = unix_ms();
    let mut record = match Record::create(path, began_ms) {
        Ok(record) => record,
        Err(cause) => {
            eprintln!("cannot write the record: {cause}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let result = match case {
        "lost-cancel" => lost_cancel::run(root, &mut record, has_trouble),
        "wrong-count" => wrong_count::run(root, &mut record, has_trouble),
        "starved-jobs" => starved_jobs::run(root, &mut record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(true) => {
            record.note(unix_ms(), "RULE BROKEN");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.note(unix_ms(), "rule held");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            record.note(unix_ms(), &format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
