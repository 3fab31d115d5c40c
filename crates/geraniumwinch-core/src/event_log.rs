//! Log lines of key=value pairs.

/// Writes one line `event=NAME key=value …` at a level of the `log` crate.
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

/// Quotes a value that holds anything but plain characters.
pub fn quote_value(value: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
    if !value.is_empty() && value.bytes().all(plain) {
        value.to_owned()
    } else {
        format!("{value:?}")
    }
}
