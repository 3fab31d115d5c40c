//! Sets the log up.

use log::LevelFilter;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;

use crate::line_writer::LineWriter;

/// The form of a line: key=value pairs that begin with the time and the level.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";
/// The name of the one appender.
const STDOUT: &str = "stdout";

/// Writes log lines of a level and above to the standard output.
pub(crate) fn init(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let appender = LineWriter::start(PatternEncoder::new(PATTERN));
    let quiet = |name: &str| Logger::builder().build(name, LevelFilter::Error);
    let config = Config::builder()
        .appender(Appender::builder().build(STDOUT, Box::new(appender)))
        .logger(quiet("actix_server"))
        .logger(quiet("actix_http"))
        .logger(quiet("awc"))
        .build(Root::builder().appender(STDOUT).build(level));
    let config = config.expect("the configuration names its own appender");
    log4rs::init_config(config).expect("the log is set up once");
}
