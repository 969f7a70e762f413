//! A quillhub courier on sockets, to run as a program or to embed.
//!
//! [`serve`] runs one courier on the current thread, inside a [`tokio::task::LocalSet`] of its own.

mod clients;
pub mod command;
mod configuration;
mod discovery;
pub mod http;
mod instance;
pub mod link;
mod outcomes;
mod partial;
mod peers;
mod pool;
pub mod resp;
#[cfg(test)]
mod test_support;
mod wal;

pub use discovery::MOST_LINE;

use clients::Phase;
use instance::Instance;
use peers::Peers;
use pool::ConnectionPool;
use quillhub_settings::At;
use serde_json::Value;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wal::Wal;

/// Descriptors for all that is neither a client's connection nor one to an endpoint.
const OTHER_SOCKETS: usize = 64;
/// Part of the rest that clients' connections may take: a half, as each may bring a call.
const CLIENTS: usize = 2;
/// Part of it that idle connections to endpoints may take; calls that are out have the last quarter, and that of the
/// idle ones as they need it.
const IDLE: usize = 4;
/// How often closed idle connections are looked for: well within the time that one is kept.
const SWEEP: Duration = Duration::from_millis(500);
// After the sign to stop, counted from it; a process is killed no sooner than 3.7 s after it.
const ACCEPTS: Duration = Duration::from_millis(500); // new connections may still come so long
const DECIDES: Duration = Duration::from_millis(2_000); // and so long what is held is still worked on
const CALLS: Duration = Duration::from_millis(3_000); // calls that are out may take until then
const FLUSHES: Duration = Duration::from_millis(3_300); // and final answers on their way
/// How long a start waits for discovery's first word: it answers at once, unless it is down.
const FIRST_WORD: Duration = Duration::from_millis(200);
/// Pause after a panic in a job that lasts.
const AFTER_PANIC: Duration = Duration::from_millis(50);
/// How often the end of all that is looked for.
const LOOK: Duration = Duration::from_millis(5);

/// Runs a courier with the configuration in `text`, its lasting folder at `state`, until `stop` is done and
/// what is owed is put in order. `next` waits for a new configuration and gives its text; it is called again
/// and again. What can change while the courier runs is where discovery and the platform are.
pub async fn serve(
    text: &str,
    state: &Path,
    stop: impl Future<Output = ()>,
    next: impl AsyncFnMut() -> Result<String, String>,
) -> Result<(), String> {
    let value = configuration::parse(text)?;
    let top = At::top(&value);
    let (at, seen) = watch::channel(configuration::discovery(&top)?);
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                ended = run(&top, state, seen, stop) => ended,
                never = follow(&value, &at, next) => match never {},
            }
        })
        .await
}

/// Takes up new configurations as they come; one that cannot be used changes nothing.
async fn follow(
    started_with: &Value,
    at: &watch::Sender<SocketAddr>,
    mut next: impl AsyncFnMut() -> Result<String, String>,
) -> Infallible {
    loop {
        let read = next().await.and_then(|text| {
            let value = configuration::parse(&text)?;
            let top = At::top(&value);
            configuration::check(&top)?;
            Ok((configuration::discovery(&top)?, configuration::differing(started_with, &value)))
        });
        match read {
            Ok((to, later)) => {
                let moved = at.send_if_modified(|at| std::mem::replace(at, to) != to);
                tracing::info!(discovery = %to, moved, "a new configuration");
                if !later.is_empty() {
                    tracing::warn!(?later, "differs, and will only be heeded at the next start");
                }
            }
            Err(trouble) => tracing::error!(trouble, "a new configuration cannot be used; the old one stays"),
        }
    }
}

/// Reads all of a configuration, as [`serve`] does, and does nothing with it.
pub fn check(text: &str) -> Result<(), String> {
    configuration::check(&At::top(&configuration::parse(text)?))
}

/// Keeps a job running that is to last as long as the process: a panic ends only what it was at.
fn lasting<F: Future<Output = ()> + 'static>(job: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(job()).await.is_err() {
            sleep(AFTER_PANIC).await;
        }
    });
}

async fn run(
    top: &At<'_>,
    state: &Path,
    discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let told = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let (dispatcher, reports) = configuration::courier(top)?;
    let listen = configuration::listen(top)?;
    let (folder, sockets) = configuration::bounds(top)?;
    let (connect_timeout, idle_timeout) = configuration::connections(top)?;
    let must_be_asked = configuration::must_be_asked(top)?;
    let peers = match configuration::notes(top)? {
        Some((listen, all, own)) => {
            let opened = Peers::open(listen, all, own).await;
            Some(Rc::new(opened.map_err(told("the address for notes cannot be used"))?))
        }
        None => None,
    };
    let (wal, recovered) = Wal::open(state, folder).map_err(told("the lasting folder cannot be used"))?;
    let free = sockets.saturating_sub(OTHER_SOCKETS);
    let pool = ConnectionPool::new(idle_timeout, free / IDLE);
    let instance = Instance::new(dispatcher, wal, pool, connect_timeout, peers.clone(), reports);
    let connections = (free / CLIENTS).max(1);
    instance.borrow_mut().limit_connections(free - free / CLIENTS);
    let revision = match top.get("known") {
        Some(known) => Some(discovery::tell(&mut instance.borrow_mut(), known.value, false)?),
        None => None,
    };
    let (at, platform) = (instance.clone(), discovery.clone());
    lasting(move || outcomes::flush(at.clone(), platform.clone()));
    let (at, progress) = (instance.clone(), discovery::Progress::new(revision));
    let heard = instance.borrow().discovery_responded.clone();
    lasting(move || discovery::follow(at.clone(), discovery.clone(), progress.clone(), must_be_asked));
    // Against calls by the list that the last process had: what discovery has now counts as told from the first
    // moment on, and what is owed goes at once. Delays a start while discovery is silent.
    instance.borrow_mut().handle_event(|_| ());
    let _ = timeout(FIRST_WORD, heard.notified()).await;
    instance.borrow_mut().recover(recovered);
    if let Some(peers) = peers {
        let at = instance.clone();
        lasting(move || {
            let instance = at.clone();
            peers.clone().hear(move |note| {
                instance.borrow_mut().handle_event(|dispatcher| dispatcher.gossip_received(note))
            })
        });
    }
    let at = instance.clone();
    lasting(move || sweep(at.clone()));
    let listener = TcpListener::bind(listen).await.map_err(told("the address cannot be listened on"))?;
    tracing::info!(%listen, "serving");

    let (phase, seen) = watch::channel(Phase::Serving);
    let places = Arc::new(Semaphore::new(connections));
    let admission = clients::Admission::new(seen, places.clone());
    let (at, listener) = (instance.clone(), Rc::new(listener));
    lasting(move || clients::accept(at.clone(), listener.clone(), admission.clone()));
    stop.await;
    tracing::info!("stopping");
    let sign = Instant::now();
    phase.send_replace(Phase::Stopping);
    sleep_until(sign + ACCEPTS).await;
    phase.send_replace(Phase::Closing);
    // What is held is worked on, then calls may end, then final answers may go; each for its time.
    let free = || places.available_permits() == connections;
    until(sign + DECIDES, || instance.borrow().is_idle() && free()).await;
    instance.borrow_mut().stop_deciding();
    until(sign + CALLS, || instance.borrow().attempts_in_flight == 0).await;
    // A connection in the midst of a command has until then, too: the time of a command is over before.
    until(sign + FLUSHES, || instance.borrow().outcomes.is_empty() && free()).await;
    tracing::info!("stopped");
    Ok(())
}

async fn sweep(instance: Rc<RefCell<Instance>>) {
    loop {
        sleep(SWEEP).await;
        instance.borrow_mut().pool.close_expired();
    }
}

async fn until(at: Instant, done: impl Fn() -> bool) {
    while Instant::now() < at && !done() {
        sleep(LOOK).await;
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
