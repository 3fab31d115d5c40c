//! Cases of the third review: real processes of the project, stand-ins for all else.

mod cases;
mod cell;
mod http;
mod record;
mod store;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// A case takes 120 s at most.
const MOST_TIME: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let path = arguments.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&path) else { std::process::exit(2) };
    let record = Arc::new(record);
    cell::watch_time(MOST_TIME);
    record.line(&format!("case {case}, trouble {trouble}"));
    let code = match cases::run(&case, &record, trouble) {
        Ok(None) => {
            record.line("the rule held");
            0
        }
        Ok(Some(what)) => {
            record.line(&format!("RULE BROKEN: {what}"));
            println!("rule broken: {what}");
            1
        }
        Err(problem) => {
            record.line(&format!("the case couldn't run: {problem}"));
            println!("couldn't run: {problem}");
            2
        }
    };
    std::process::exit(code);
}
