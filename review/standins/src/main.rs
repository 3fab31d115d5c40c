//! Runs the cases of the review: `review-standins CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment, a case runs without its disruption.

mod cases;
mod cell;
mod executor;
mod http;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;

use crate::record::Record;

/// The time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(folder)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    end_processes_on_signals();
    record.note(&format!("case {name}, with the disruption: {trouble}"));
    let shared = Arc::clone(&record);
    let case = thread::spawn(move || cases::run(&name, shared, trouble));
    while !case.is_finished() {
        if record.now() > TIME_LIMIT {
            record.note("given up: the case takes too long");
            cell::end_processes();
            exit(2);
        }
        thread::sleep(Duration::from_millis(20));
    }
    match case.join() {
        Ok(Ok(true)) => {
            record.note("RESULT: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Ok(false)) => {
            record.note("RESULT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Err(error)) => {
            record.note(&format!("RESULT: the case couldn't run: {error}"));
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}

/// Ends the started processes when this one is told to stop.
fn end_processes_on_signals() {
    let signals: SigSet =
        [Signal::SIGINT, Signal::SIGTERM, Signal::SIGHUP].into_iter().collect();
    // The processes that are started get an empty mask.
    if signals.thread_block().is_err() {
        return;
    }
    thread::spawn(move || {
        let _ = signals.wait();
        cell::end_processes();
        exit(2);
    });
}
