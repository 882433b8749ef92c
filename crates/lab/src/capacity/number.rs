//! Formats figures with three significant digits for the tables.

/// Formats a number with three significant digits and thousands separators.
pub fn number(value: f64) -> String {
    let size = value.abs();
    // Rounding errors around zero are shown as zero.
    if size < 1e-9 {
        return "0".into();
    }
    for (unit, name) in [(1e12, "million million"), (1e9, "thousand million"), (1e6, "million")] {
        if size >= unit * 0.9995 {
            return format!("{} {name}", below_thousand(value / unit));
        }
    }
    if size < 999.5 {
        return below_thousand(value);
    }
    let step = 10f64.powf(size.log10().floor() - 2.0).max(1.0);
    let digits = format!("{:.0}", (value / step).round() * step);
    let mut grouped = String::new();
    for (place, digit) in digits.char_indices() {
        if place > 0 && digits[..place].chars().any(char::is_numeric) && (digits.len() - place) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    grouped
}

/// Formats a number below one thousand.
fn below_thousand(value: f64) -> String {
    // The decimal exponent of the first significant digit, after rounding.
    let first = format!("{:.2e}", value.abs());
    let first = first.rsplit('e').next().and_then(|power| power.parse::<i32>().ok()).unwrap_or(0);
    let text = format!("{value:.*}", (2 - first).max(0) as usize);
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_string()
    } else {
        text
    }
}

/// Formats a share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{} %", number(share * 100.0))
}
