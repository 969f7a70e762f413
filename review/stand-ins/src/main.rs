//! Stand-ins for clients, endpoints, discovery and the platform, and the cases of the review that use them.
//!
//! `stand-ins CASE ROOT FOLDER` runs a case on the build in ROOT and writes `record.txt` in FOLDER. Exit status: 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod copy_before_hang;
mod gateway;
mod http;
mod platform;
mod proxy;
mod record;
mod run;
mod settings;
mod slow_discovery;
mod spoilt_rejection;

use record::Record;
use run::{Folder, Run};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time after which a run is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn run_case(case: &str, root: &Path, out: &Path) -> std::io::Result<bool> {
    let folder = Folder::create()?;
    let record = Record::create(&out.join("record.txt"))?;
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, trouble {trouble}"));
    let run = Run { root, folder: &folder.0, record, trouble };
    match case {
        "spoilt-rejection" => spoilt_rejection::run(&run),
        "copy-before-hang" => copy_before_hang::run(&run),
        "slow-discovery" => slow_discovery::run(&run),
        _ => Err(std::io::Error::other("unknown case")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, out] = &arguments[..] else {
        eprintln!("usage: stand-ins CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let (case, root, out) = (case.clone(), root.clone(), out.clone());
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || sender.send(run_case(&case, Path::new(&root), Path::new(&out))));
    match receiver.recv_timeout(TIME_LIMIT) {
        Ok(Ok(false)) => ExitCode::SUCCESS,
        Ok(Ok(true)) => ExitCode::from(1),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => {
            gateway::kill_running();
            eprintln!("the case failed or did not end in time");
            ExitCode::from(2)
        }
    }
}
