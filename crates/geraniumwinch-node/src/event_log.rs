//! Log lines of key=value pairs.

/// Writes one line `event=NAME key=value …` at a level of the `log` crate.
macro_rules! log_event {
    ($level:ident, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        log::log!(
            log::Level::$level,
            "{}",
            [
                format!("event={}", $event),
                $(format!("{}={}", stringify!($key), $crate::event_log::quote(&$value.to_string())),)*
            ]
            .join(" ")
        )
    };
}

pub(crate) use log_event;

/// Quotes a value that holds anything but plain characters.
pub(crate) fn quote(value: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
    if !value.is_empty() && value.bytes().all(plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}
