//! Plays one case of the review: `rig CASE ROOT RECORD`, with `TROUBLE=0` without its disruption. Exits with 0 if the
//! rule held, with 1 if it was broken, and with 2 if the case could not run.

mod delay;
mod discovery;
mod dns;
mod ending;
mod foreign;
mod frames;
mod http;
mod program;
mod record;
mod removed;
mod searches;

use std::path::Path;
use std::sync::Arc;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, path] = &words[..] else { record::quit("usage: rig CASE ROOT RECORD") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::create(Path::new(path)));
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let play: fn(&Path, Arc<record::Record>, bool) -> bool = match case.as_str() {
        "foreign" => foreign::run,
        "ending" => ending::run,
        "removed" => removed::run,
        other => record::quit(&format!("no case {other}")),
    };
    // A panic of the rig is no finding.
    let outcome = std::panic::catch_unwind(|| play(Path::new(root), record.clone(), trouble));
    let Ok(held) = outcome else { record::quit("the rig failed") };
    record.say(if held { "the rule held" } else { "the rule was broken" });
    std::process::exit(if held { 0 } else { 1 })
}
