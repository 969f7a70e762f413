//! A quillhub courier on sockets, to run as a program or to embed.
//!
//! [`serve`] runs one courier on the current thread, inside a [`tokio::task::LocalSet`] of its own.

mod clients;
pub mod command;
mod endpoints;
mod finals;
mod host;
pub mod http;
mod link;
mod peers;
mod register;
pub mod resp;
#[cfg(test)]
mod stand_in;
mod wal;

use clients::Phase;
use endpoints::Endpoints;
use host::Host;
use quillhub_settings::At;
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

const MB: u64 = 1024 * 1024;
/// The lasting folder's bound where none is told.
const FOLDER_MB: f64 = 64.0;
/// Descriptors where none are told: the usual soft limit.
const SOCKETS: u64 = 1024;
/// Descriptors for all that is neither a client's connection nor one to an endpoint.
const OTHER_SOCKETS: usize = 64;
/// How often closed idle connections are looked for: well within the time that one is kept.
const SWEEP: Duration = Duration::from_millis(500);
// After the sign to stop, counted from it; a process is killed no sooner than 3.7 s after it.
const ACCEPTS: Duration = Duration::from_millis(500); // new connections may still come so long
const DECIDES: Duration = Duration::from_millis(2_000); // and so long what is held is still worked on
const CALLS: Duration = Duration::from_millis(3_000); // calls that are out may take until then
const FLUSHES: Duration = Duration::from_millis(3_300); // and final answers on their way
/// How often the end of all that is looked for.
const LOOK: Duration = Duration::from_millis(5);

fn address(at: &At) -> Result<SocketAddr, String> {
    at.word()?.parse().or_else(|_| at.wrong("an address"))
}

/// Runs a courier with the configuration in `text`, its lasting folder at `state`, until `stop` is done and
/// what is owed is put in order.
pub async fn serve(text: &str, state: &Path, stop: impl Future<Output = ()>) -> Result<(), String> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| format!("the configuration is no JSON: {e}"))?;
    LocalSet::new().run_until(run(&value, state, stop)).await
}

/// Reads all of a configuration, as [`serve`] does, and does nothing with it.
pub fn check(text: &str) -> Result<(), String> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| format!("the configuration is no JSON: {e}"))?;
    read(&value)?;
    value.get("known").map_or(Ok(()), register::check)
}

struct Plan {
    courier: quillhub::courier::Courier,
    reports: bool,
    listen: SocketAddr,
    platform: SocketAddr,
    peers: Option<(SocketAddr, SocketAddr, Option<SocketAddr>)>,
    folder: u64,
    sockets: usize,
    connecting: Duration,
    idle_close: Duration,
    must_be_asked: bool,
}

fn read(value: &Value) -> Result<Plan, String> {
    let top = At::top(value);
    let seed = top.need("seed")?;
    let Ok(number) = u64::from_str_radix(seed.word()?, 16) else { return seed.wrong("a hexadecimal number") };
    let settings = top.need("settings")?;
    let (courier, places) = quillhub_settings::read(number, settings.value)?;
    let limits = settings.get("limits");
    let limit = |name| limits.as_ref().and_then(|limits| limits.get(name));
    let span = |name| limit(name).map(|v| v.span()).transpose();
    let own = settings.get("me").map(|me| me.whole()).transpose()?;
    let own = match (top.get("peers"), own) {
        (Some(peers), Some(me)) => peers.rows()?.get(me as usize).map(address).transpose()?,
        _ => None,
    };
    let may_tell = limit("peerMessages").map_or(Ok(false), |v| v.flag())?;
    let peers = match (top.get("peer_listen"), top.get("peers_all")) {
        (Some(listen), Some(all)) if may_tell => Some((address(&listen)?, address(&all)?, own)),
        _ => None,
    };
    let mode = settings.get("membershipMode").map(|v| v.word()).transpose()?;
    let bound = top.get("limits");
    let bound = |name| bound.as_ref().and_then(|bound| bound.get(name));
    Ok(Plan {
        courier,
        reports: places.left.is_some() && places.limit.is_some(),
        listen: address(&top.need("listen")?)?,
        platform: address(&top.need("discovery")?)?,
        peers,
        folder: (bound("disk_mb").map_or(Ok(FOLDER_MB), |v| v.number())? * MB as f64) as u64,
        sockets: bound("sockets").map_or(Ok(SOCKETS), |v| v.whole())? as usize,
        connecting: span("connectTimeoutUs")?.unwrap_or(Duration::MAX),
        idle_close: span("idleCloseUs")?.unwrap_or(Duration::MAX),
        must_be_asked: mode == Some("subscribe"),
    })
}

async fn run(value: &Value, state: &Path, stop: impl Future<Output = ()>) -> Result<(), String> {
    let plan = read(value)?;
    let told = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let (wal, owed) =
        wal::Wal::open(state, plan.folder).map_err(told("the lasting folder cannot be used"))?;
    let peers = match plan.peers {
        Some((listen, all, own)) => {
            let opened = peers::Peers::open(listen, all, own).await;
            Some(Rc::new(opened.map_err(told("the address for notes cannot be used"))?))
        }
        None => None,
    };
    let free = plan.sockets.saturating_sub(OTHER_SOCKETS);
    let endpoints = Endpoints::new(plan.idle_close, free / 4);
    let host = Host::new(plan.courier, wal, endpoints, plan.connecting, peers.clone(), plan.reports);
    let revision = match value.get("known") {
        Some(known) => register::tell(&mut host.borrow_mut(), known, false)?,
        None => 0,
    };
    host.borrow_mut().take_back(owed);
    spawn_local(finals::flush(host.clone(), plan.platform));
    host.borrow_mut().tell(|_| ());
    spawn_local(register::follow(host.clone(), plan.platform, revision, plan.must_be_asked));
    if let Some(peers) = peers {
        spawn_local(peers.hear(host.clone()));
    }
    let listener = TcpListener::bind(plan.listen).await.map_err(told("the address cannot be listened on"))?;
    let sweeper = host.clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            sweeper.borrow_mut().endpoints.sweep();
        }
    });
    tracing::info!(listen = %plan.listen, "serving");

    let (phase, seen) = watch::channel(Phase::Serving);
    let connections = (free / 2).max(1);
    let places = Arc::new(Semaphore::new(connections));
    let crowded = Rc::new(Notify::new());
    let doors = Rc::new(clients::Doors { phase: seen, places: places.clone(), crowded });
    spawn_local(clients::accept(host.clone(), listener, doors));
    stop.await;
    tracing::info!("stopping");
    let sign = Instant::now();
    phase.send_replace(Phase::Stopping);
    sleep_until(sign + ACCEPTS).await;
    phase.send_replace(Phase::Closing);
    // What is held is worked on, then calls may end, then final answers may go; each for its time.
    let free = || places.available_permits() == connections;
    until(sign + DECIDES, || host.borrow().at_rest() && free()).await;
    host.borrow_mut().close();
    until(sign + CALLS, || host.borrow().calls == 0).await;
    until(sign + FLUSHES, || host.borrow().finals.is_empty()).await;
    tracing::info!("stopped");
    Ok(())
}

async fn until(at: Instant, done: impl Fn() -> bool) {
    while Instant::now() < at && !done() {
        sleep(LOOK).await;
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
