//! The stand-ins and the checks of the second review's cases. `review-driver-2 NUMBER ROOT FOLDER` plays a case.
//! It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod aggregator;
mod client;
mod crowd;
mod discovery;
mod dns;
mod foreign;
mod http;
mod memory;
mod record;
mod removed;
mod search_store;
mod settings;
mod store;
mod upgrades;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case needs.
pub struct Case {
    pub root: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(number), Some(root), Some(folder)) = (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-driver-2 NUMBER ROOT FOLDER");
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
    let case = Case { root: root.into(), record: record.clone(), trouble };
    record.line(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let result = match number.as_str() {
        "6" => crowd::play(&case),
        "7" => memory::play(&case),
        "8" => foreign::play(&case),
        "9" => removed::play(&case),
        "10" => upgrades::play(&case),
        _ => Err(format!("there is no case {number}")),
    };
    match result {
        Ok(broken) if broken.is_empty() => {
            record.tell("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for text in &broken {
                record.tell(&format!("BROKEN: {text}"));
            }
            ExitCode::from(1)
        }
        Err(why) => {
            record.tell(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
