//! Measures the cost of a log line.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Instant;

use ironpaddle::log::{ended, subscriber, Format, Reason};

/// Writes lines of each format to standard error and prints the mean time of a line, in nanoseconds.
///
/// # Errors
/// If the log cannot be set up.
pub fn cost(lines: u32) -> Result<(), String> {
    let peer: SocketAddr = ([127, 0, 0, 1], 9).into();
    let time = |name: &str, mut one: Box<dyn FnMut(u32)>| {
        let began = Instant::now();
        (0..lines).for_each(&mut one);
        println!("{name:<28} {:>7.0} ns a line", began.elapsed().as_secs_f64() * 1e9 / f64::from(lines));
    };
    time(
        "as before (writeln)",
        Box::new(move |no| {
            let text = format!("end client {peer} code=done requests=1 ms={no}");
            let _ = writeln!(io::stderr().lock(), "{text}");
        }),
    );
    for (name, format, filter) in [
        ("text", Format::Text, "info"),
        ("JSON", Format::Json, "info"),
        ("filtered out", Format::Text, "off"),
    ] {
        let subscriber = subscriber(format, filter, io::stderr)?;
        tracing::subscriber::with_default(subscriber, || {
            time(
                name,
                Box::new(move |no| {
                    ended("client", Some(peer), Reason::Done, format_args!("requests=1 ms={no}"))
                }),
            );
        });
    }
    Ok(())
}
