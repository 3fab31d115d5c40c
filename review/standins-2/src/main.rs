//! The stand-ins and the cases of the second review.
//!
//! `review-standins-2 CASE FOLDER` runs a case from the repository's root and writes `record.txt` to the
//! folder. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod bed;
mod cases;
mod executor;
mod http;
mod judge;
mod record;
mod store;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use self::record::Record;

/// How long a case may take.
const MAX_TIME: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(folder)) else {
        eprintln!("{folder} can't be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {case}, trouble: {trouble}"));
    let late = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        late.say("the case couldn't run: it takes too long");
        bed::kill_started();
        std::process::exit(2);
    });
    let run = || cases::run(case, Path::new("."), &record, trouble);
    let verdict = catch_unwind(AssertUnwindSafe(run));
    match verdict.unwrap_or_else(|_| Err("a stand-in panicked".to_owned())) {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.say(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
