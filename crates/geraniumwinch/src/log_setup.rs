//! Setup of the log.

use log::LevelFilter;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Logger;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;

use crate::stdout_appender::StdoutAppender;

/// Format of a line: `key=value` pairs, starting with the time and the level.
const LINE_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";
/// Name of the only appender.
const APPENDER_NAME: &str = "stdout";

/// Starts logging to standard output, at a level and above.
pub(crate) fn init(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let appender = StdoutAppender::start(PatternEncoder::new(LINE_PATTERN));
    let errors_only = |name: &str| Logger::builder().build(name, LevelFilter::Error);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(appender)))
        .logger(errors_only("actix_server"))
        .logger(errors_only("actix_http"))
        .logger(errors_only("awc"))
        .build(Root::builder().appender(APPENDER_NAME).build(level));
    let config = config.expect("the configuration names its own appender");
    log4rs::init_config(config).expect("the log is set up once");
}
