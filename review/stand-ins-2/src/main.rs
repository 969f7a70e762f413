//! Stand-ins and cases of the second review.
//!
//! `stand-ins-2 CASE ROOT FOLDER` plays a case: ROOT is the folder of the repository, and `record.txt` is written to FOLDER.
//! The status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment,
//! the disruption is left out. `stand-ins-2 chaos ROOT SEED SECONDS MODES` is the random search that REPORT-2.md describes.
mod chaos;
mod dropped_call;
mod endless_interim;
mod lost_answer;
mod silent_delivery;
mod stale_list;
mod world;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let number = |n: usize| arguments.get(n).and_then(|a| a.parse().ok()).unwrap_or(1);
    let root = PathBuf::from(arguments.get(2).cloned().unwrap_or_else(|| ".".into()));
    let folder = PathBuf::from(arguments.get(3).cloned().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if arguments.get(1).is_some_and(|case| case != "chaos") {
        world::watch_time(std::time::Duration::from_secs(112));
    }
    let code = match arguments.get(1).map(String::as_str) {
        Some("chaos") => chaos::run(&root, number(3), number(4), number(5)),
        Some("stale-list") => stale_list::run(&root, &folder, trouble),
        Some("endless-interim") => endless_interim::run(&root, &folder, trouble),
        Some("silent-delivery") => silent_delivery::run(&root, &folder, trouble),
        Some("lost-answer") => lost_answer::run(&root, &folder, trouble),
        Some("dropped-call") => dropped_call::run(&root, &folder, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
