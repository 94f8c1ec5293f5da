//! Rules that parse and validate single values of settings and contract files, and the formats of such values.

use {
    http::Uri,
    std::{net::SocketAddr, ops::RangeInclusive, str::FromStr, time::Duration},
};

/// Longest name of a node, customer, service, route or version, and longest DNS label, in characters.
const MAX_NAME_CHARS: usize = 63;

/// Longest host name that DNS allows, in characters.
const MAX_HOST_CHARS: usize = 253;

/// Units of sizes with their number of bytes, largest first.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Parser of a value, with the description of what it accepts.
#[derive(Clone, Debug)]
pub struct ValueRule<F> {
    /// Description of the allowed values for error messages.
    pub allowed: String,
    /// Whether error messages must not quote the value.
    pub secret: bool,
    /// Returns the parsed value, or none if the text is not allowed.
    pub parse: F,
}

/// Returns a rule for values that error messages may quote.
pub fn rule<T, F: Fn(&str) -> Option<T>>(allowed: &str, parse: F) -> ValueRule<F> {
    ValueRule {
        allowed: allowed.to_owned(),
        secret: false,
        parse,
    }
}

/// Returns a rule for secrets, which error messages must not quote.
pub fn secret_rule<T, F: Fn(&str) -> Option<T>>(allowed: &str, parse: F) -> ValueRule<F> {
    ValueRule {
        secret: true,
        ..rule(allowed, parse)
    }
}

/// Returns the rule for names of nodes, regions, failure domains, customers, services and routes.
pub fn name_rule() -> ValueRule<impl Fn(&str) -> Option<String>> {
    rule(
        "1 to 63 of a-z, 0-9 and -, starting with a letter",
        |text| is_name(text).then(|| text.to_owned()),
    )
}

/// Returns whether a text is a valid name.
///
/// Names become parts of resource names, table keys and URLs, so they must not contain separators such as `/`.
pub fn is_name(text: &str) -> bool {
    let valid = |char: char| matches!(char, 'a'..='z' | '0'..='9' | '-');
    text.starts_with(|char: char| char.is_ascii_lowercase())
        && text.len() <= MAX_NAME_CHARS
        && text.chars().all(valid)
}

/// Allowed version names, for error messages.
pub const VERSION_NAME_SYNTAX: &str = "1 to 63 of A-Z, a-z, 0-9, '.', '_' and -";

/// Returns whether a text is a valid name of a version.
pub fn is_version_name(text: &str) -> bool {
    let valid = |char: char| char.is_ascii_alphanumeric() || matches!(char, '.' | '_' | '-');
    !text.is_empty() && text.len() <= MAX_NAME_CHARS && text.chars().all(valid)
}

/// Returns the rule for names of versions.
pub fn version_rule() -> ValueRule<impl Fn(&str) -> Option<String>> {
    rule(VERSION_NAME_SYNTAX, |text| {
        is_version_name(text).then(|| text.to_owned())
    })
}

/// Returns the rule for host names.
pub fn host_rule() -> ValueRule<impl Fn(&str) -> Option<String>> {
    rule(
        "a host name in lower case without port, such as yardboard.kestrel.example",
        |text| is_host(text).then(|| text.to_owned()),
    )
}

fn is_host(text: &str) -> bool {
    let valid = |char: char| matches!(char, 'a'..='z' | '0'..='9' | '-');
    text.len() <= MAX_HOST_CHARS
        && text.split('.').all(|label| {
            !label.is_empty()
                && label.len() <= MAX_NAME_CHARS
                && !label.starts_with('-')
                && !label.ends_with('-')
                && label.chars().all(valid)
        })
}

/// Returns the rule for whole numbers within a range.
pub fn number_rule<T>(range: RangeInclusive<T>, unit: &str) -> ValueRule<impl Fn(&str) -> Option<T>>
where
    T: FromStr + PartialOrd + std::fmt::Display,
{
    let allowed = format!(
        "a whole number from {} to {} ({unit})",
        range.start(),
        range.end()
    );
    rule(&allowed, move |text| {
        let digits = text.bytes().all(|byte| byte.is_ascii_digit());
        let number = text.parse().ok().filter(|_| digits);
        number.filter(|number| range.contains(number))
    })
}

/// Returns the rule for durations within a range.
pub fn duration_rule(
    range: RangeInclusive<Duration>,
) -> ValueRule<impl Fn(&str) -> Option<Duration>> {
    let allowed = format!(
        "a duration from {} to {}, such as 800ms, 5s or 10m",
        format_duration(*range.start()),
        format_duration(*range.end())
    );
    rule(&allowed, move |text| {
        let duration = humantime::parse_duration(text).ok();
        duration.filter(|duration| range.contains(duration))
    })
}

/// Formats a duration in the notation that [`duration_rule`] parses.
pub fn format_duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

/// Returns the rule for percentages in steps of 0.1%, parsed as per mille.
pub fn permille_rule(range: RangeInclusive<u32>) -> ValueRule<impl Fn(&str) -> Option<u32>> {
    let allowed = format!(
        "a percentage from {} to {} in steps of 0.1%, such as 5%",
        format_permille(*range.start()),
        format_permille(*range.end())
    );
    rule(&allowed, move |text| {
        parse_permille(text).filter(|permille| range.contains(permille))
    })
}

fn parse_permille(text: &str) -> Option<u32> {
    let number = text.strip_suffix('%')?.trim_end();
    let (whole, tenth) = number.split_once('.').unwrap_or((number, "0"));
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    if !digits(whole) || !digits(tenth) || tenth.len() > 1 {
        return None;
    }
    let whole: u32 = whole.parse().ok()?;
    let tenth: u32 = tenth.parse().ok()?;
    whole.checked_mul(10)?.checked_add(tenth)
}

/// Formats a share in per mille as a percentage.
pub fn format_permille(permille: u32) -> String {
    match permille % 10 {
        0 => format!("{}%", permille / 10),
        tenth => format!("{}.{tenth}%", permille / 10),
    }
}

/// Returns the rule for sizes up to `max_bytes`, parsed as bytes.
pub fn size_rule(max_bytes: u64) -> ValueRule<impl Fn(&str) -> Option<u64>> {
    let allowed = format!(
        "a size from 0B to {} in B, KiB, MiB or GiB, such as 64KiB",
        format_size(max_bytes)
    );
    rule(&allowed, move |text| {
        parse_size(text).filter(|bytes| *bytes <= max_bytes)
    })
}

fn parse_size(text: &str) -> Option<u64> {
    let (number, unit) = SIZE_UNITS
        .iter()
        .find_map(|(suffix, unit)| Some((text.strip_suffix(suffix)?.trim_end(), unit)))?;
    if !number.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    number.parse::<u64>().ok()?.checked_mul(*unit)
}

/// Formats a size in the largest unit that divides it.
pub fn format_size(bytes: u64) -> String {
    let unit = SIZE_UNITS
        .iter()
        .find(|(_, unit)| bytes >= *unit && bytes.is_multiple_of(*unit));
    match unit {
        Some((suffix, unit)) => format!("{}{suffix}", bytes / unit),
        None => format!("{bytes}B"),
    }
}

/// Returns the rule for booleans.
pub fn bool_rule() -> ValueRule<impl Fn(&str) -> Option<bool>> {
    rule("true or false", |text| text.parse().ok())
}

/// Returns the rule for socket addresses that other processes connect to, so neither IP nor port may be 0.
pub fn address_rule() -> ValueRule<impl Fn(&str) -> Option<SocketAddr>> {
    rule(
        "an IP address and a port, such as 10.0.0.7:7100, neither of them 0",
        parse_address,
    )
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let reachable = !address.ip().is_unspecified() && address.port() != 0;
    reachable.then_some(address)
}

/// Returns the rule for lists of distinct socket addresses.
pub fn address_list_rule() -> ValueRule<impl Fn(&str) -> Option<Vec<SocketAddr>>> {
    rule(
        "different addresses separated by commas, such as 10.0.0.7:7100, 10.0.0.8:7100",
        |text| {
            let addresses: Option<Vec<SocketAddr>> = text
                .split(',')
                .map(|part| parse_address(part.trim()))
                .collect();
            addresses.filter(|addresses| all_distinct(addresses))
        },
    )
}

/// Returns whether all values are distinct.
pub fn all_distinct<T: PartialEq>(values: &[T]) -> bool {
    let repeated = |(index, value): (usize, &T)| values[..index].contains(value);
    !values.iter().enumerate().any(repeated)
}

/// Returns the rule for URLs of the platform's services; only `http` is supported, not TLS.
pub fn url_rule() -> ValueRule<impl Fn(&str) -> Option<String>> {
    rule(
        "an http URL with a host, such as http://10.0.0.2:8000",
        |text| {
            let uri: Uri = text.parse().ok()?;
            let is_http = uri.scheme_str() == Some("http");
            (is_http && uri.host().is_some_and(|host| !host.is_empty())).then(|| text.to_owned())
        },
    )
}

/// Returns the rule for text of visible ASCII characters, which excludes spaces.
pub fn visible_ascii_rule(max_chars: usize) -> ValueRule<impl Fn(&str) -> Option<String>> {
    let allowed = format!("1 to {max_chars} visible ASCII characters without spaces");
    rule(&allowed, move |text| {
        (text.len() <= max_chars && is_visible_ascii(text)).then(|| text.to_owned())
    })
}

/// Returns whether a text is not empty and consists of visible ASCII characters.
pub fn is_visible_ascii(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
