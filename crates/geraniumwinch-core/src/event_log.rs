//! Structured log lines of `key=value` pairs.

/// Logs one line `event=NAME key=value …` at the given level of the `log` crate.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if $crate::log::log_enabled!($crate::log::Level::$level) {
            $crate::log::log!(
                $crate::log::Level::$level,
                "{}",
                [
                    format!("event={}", $event),
                    $(format!("{}={}", stringify!($key), $crate::quote_value(&$value.to_string())),)*
                ]
                .join(" ")
            )
        }
    };
}

/// Quotes a value unless it consists of graphic ASCII characters other than `"` and `=`.
pub fn quote_value(value: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
    if !value.is_empty() && value.bytes().all(plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}
