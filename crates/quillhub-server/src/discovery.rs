//! Discovery: the list at first, then a watch on its changes, opened again whenever it ends or discovery
//! is elsewhere.

use crate::http::{self, Framing};
use crate::instance::Instance;
use crate::link::{Broken, Link};
use quillhub::{EndpointState, EndpointUpdate};
use quillhub_settings::At;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

const PATH: &str = "/registry/instances";
/// A watch sends a line every 2 s; one silent for so long has ended, whatever its connection says.
const SILENCE: Duration = Duration::from_millis(2_500);
/// How long a call may take from its begin to the end of its answer's head: discovery answers at once, and this is
/// room for a connection that comes up with its second try, after 1 s. One bound for all of it: a call that is lost as
/// discovery comes back must leave time for the next (docs/architecture.md, "When a change is known").
const CALL: Duration = SILENCE;
/// How long a list may take from its first byte to its last, if more of it keeps coming: the longest, at 140 KB/s.
const LONGEST_LIST: Duration = Duration::from_secs(30);
/// Shortest time from one watch's opening to the next, where discovery tells changes unasked: one that lasted longer
/// is opened again at once.
const PAUSE: Duration = Duration::from_millis(250);
/// Bytes of a line that a courier takes from discovery: the whole list of a large deployment.
pub const MOST_LINE: usize = 4 * 1024 * 1024;

fn listing(phase: &At) -> Result<EndpointState, String> {
    match phase.word()? {
        "up" => Ok(EndpointState::Available),
        "draining" => Ok(EndpointState::Draining),
        "removed" => Ok(EndpointState::Removed),
        _ => phase.wrong("up, draining or removed"),
    }
}

/// One row, in the order in which it is told: name, address, zone and kind, owner, phase, rate.
type Row<'a> = (&'a str, SocketAddr, [&'a str; 2], u64, EndpointState, Option<f64>);

fn row<'a>(member: At<'a>) -> Result<Row<'a>, String> {
    let at = member.need("host_port")?.address()?;
    let word = |name| member.get(name).map_or(Ok(""), |v| v.word());
    let places = [word("locality")?, word("flavor")?];
    let rate = member.get("size").map(|v| v.number()).transpose()?;
    let phase = listing(&member.need("phase")?)?;
    Ok((member.need("id")?.word()?, at, places, member.need("cell")?.whole()?, phase, rate))
}

/// Reads a list or changes of it: its number, whether it is whole, and its rows.
fn read(list: &Value) -> Result<(u64, bool, Vec<Row<'_>>), String> {
    let top = At::top(list);
    let whole = top.get("complete").map_or(Ok(false), |v| v.flag())?;
    let rows = top.need("members")?.rows()?.into_iter().map(row).collect::<Result<_, String>>()?;
    Ok((top.need("revision")?.whole()?, whole, rows))
}

/// What is wrong with a list, if anything.
pub fn check(list: &Value) -> Result<(), String> {
    read(list).map(|_| ())
}

/// Tells the courier a list or changes of it, and gives its number. `asked` is false for the list known at
/// the start. A list that cannot be read tells nothing.
pub fn tell(host: &mut Instance, list: &Value, asked: bool) -> Result<u64, String> {
    let (revision, whole, rows) = read(list)?;
    for (name, address, _, _, phase, _) in &rows {
        match phase {
            EndpointState::Removed => host.endpoint_removed(name),
            _ => host.endpoint_listed(name, *address),
        }
    }
    let names: BTreeSet<String> = rows.iter().map(|row| row.0.to_owned()).collect();
    if whole {
        host.keep_only_endpoints(|name| names.contains(name));
    }
    host.handle_event(|courier| {
        for (name, _, [zone, kind], owner, phase, rate) in rows {
            courier.endpoint_updated(EndpointUpdate {
                name,
                zone,
                kind,
                destination: owner,
                state: phase,
                listed_rate: rate,
            });
        }
        courier.endpoint_list_ended(whole.then_some(&names), asked);
    });
    Ok(revision)
}

/// Discovery's answer to a question, as far as its head, and where its body ends.
async fn ask(at: SocketAddr, path: &str) -> Result<(Link, Framing), Broken> {
    let head = async {
        let mut link = Link::open(at).await.map_err(Broken::Failed)?;
        let request = http::request("GET", path, &at.to_string(), &[], &[]);
        link.write(&request).await.map_err(Broken::Failed)?;
        let head = link.head().await?;
        Ok((link, head))
    };
    let (mut link, head) = timeout(CALL, head).await.unwrap_or(Err(Broken::Ended))?;
    tracing::debug!(path, status = head.status, "discovery answers");
    if head.status != 200 {
        return Err(Broken::Malformed);
    }
    link.ends_after_silence_of(SILENCE);
    Ok((link, head.framing()?))
}

/// Tells the courier a list, and keeps the number of that.
fn take(host: &RefCell<Instance>, list: &Value, revision: &Cell<Option<u64>>) -> Result<(), Broken> {
    let told = tell(&mut host.borrow_mut(), list, true);
    tracing::debug!(revision = ?told, "discovery tells");
    revision.set(Some(told.map_err(|trouble| {
        tracing::error!(trouble, "discovery's list cannot be read");
        Broken::Malformed
    })?));
    Ok(())
}

/// One watch, from `revision` on, until it ends. Where there is none, the whole list is taken first: another
/// discovery may number its changes otherwise.
async fn one_watch(
    host: &RefCell<Instance>,
    at: SocketAddr,
    revision: &Cell<Option<u64>>,
) -> Result<(), Broken> {
    let heard = host.borrow().discovery_responded();
    let after = match revision.get() {
        Some(revision) => revision,
        None => {
            let (mut link, framing) = ask(at, PATH).await?;
            let body = link.body(framing, MOST_LINE);
            let body = timeout(LONGEST_LIST, body).await.map_err(|_| Broken::Ended)??;
            take(host, &serde_json::from_slice(&body).map_err(|_| Broken::Malformed)?, revision)?;
            heard.notify_one();
            revision.get().unwrap_or_default()
        }
    };
    let (mut link, framing) = ask(at, &format!("{PATH}?watch=1&after={after}")).await?;
    if framing != Framing::Chunked {
        return Err(Broken::Malformed);
    }
    let (mut text, mut ends, mut began) = (Vec::new(), ValueEnds::default(), Instant::now());
    loop {
        let chunk = timeout(LONGEST_LIST, link.chunk(MOST_LINE)).await.map_err(|_| Broken::Ended)??;
        if text.is_empty() {
            began = Instant::now();
        }
        if chunk.is_empty() || text.len() > MOST_LINE || began.elapsed() > LONGEST_LIST {
            return Err(Broken::Ended);
        }
        text.extend_from_slice(&chunk);
        if ends.within(&chunk) {
            for list in whole_values(&mut text)? {
                take(host, &list, revision)?;
            }
        }
        heard.notify_one();
    }
}

/// Where the JSON values of a stream may end, found in looking at each byte once. Against lists of some MiB over many
/// lines, which would be read from their start again with each.
#[derive(Default)]
struct ValueEnds {
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl ValueEnds {
    /// Whether a value, or a line outside of any, ends within `octets`, which follow those looked at before.
    fn within(&mut self, octets: &[u8]) -> bool {
        let mut found = false;
        for octet in octets {
            match octet {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    found |= self.depth == 0;
                }
                b'\n' => found |= self.depth == 0,
                _ => {}
            }
        }
        found
    }
}

/// Takes the whole JSON values from the start of `text`, which may be written over several lines each; empty lines
/// are none.
fn whole_values(text: &mut Vec<u8>) -> Result<Vec<Value>, Broken> {
    let (mut found, mut used) = (Vec::new(), 0);
    let mut values = serde_json::Deserializer::from_slice(text).into_iter();
    loop {
        match values.next() {
            Some(Ok(value)) => {
                found.push(value);
                used = values.byte_offset();
            }
            Some(Err(error)) if !error.is_eof() => return Err(Broken::Malformed),
            ended => {
                used = if ended.is_none() { text.len() } else { used };
                text.drain(..used);
                return Ok(found);
            }
        }
    }
}

/// What outlives a panic of [`follow`].
#[derive(Default)]
pub struct Progress {
    /// The number of the list that the courier was told last; none if the next must be a whole one.
    pub revision: Cell<Option<u64>>,
    /// Whether discovery is elsewhere, and has not been called there.
    moved: Cell<bool>,
    /// Whether a call, or the watch that it opened, has begun and the courier was not told of its end.
    out: Cell<bool>,
}

impl Progress {
    pub fn new(revision: Option<u64>) -> Rc<Self> {
        Rc::new(Self { revision: Cell::new(revision), ..Self::default() })
    }

    fn moves(&self) {
        self.moved.set(true);
        self.revision.set(None);
        self.out.set(false);
    }
}

/// Takes back what was wanted before now.
async fn forget(wanted: &Notify) {
    tokio::select! {
        biased;
        () = wanted.notified() => {}
        () = std::future::ready(()) => {}
    }
}

/// Keeps a watch open. Where discovery `must_be_asked`, the courier says when; but once discovery is
/// elsewhere it is watched there at once, and its whole list taken.
pub async fn follow(
    host: Rc<RefCell<Instance>>,
    mut discovery: watch::Receiver<SocketAddr>,
    progress: Rc<Progress>,
    must_be_asked: bool,
) {
    let wanted = host.borrow().watch_requested();
    loop {
        // Here, so that the courier is also told of what a panic has ended: it would never ask again.
        if progress.out.get() {
            forget(&wanted).await;
            host.borrow_mut().handle_event(|courier| courier.endpoint_list_failed());
            progress.out.set(false);
        }
        if must_be_asked && !progress.moved.get() {
            tokio::select! {
                () = wanted.notified() => {}
                Ok(()) = discovery.changed() => progress.moves(),
            }
        }
        let at = *discovery.borrow_and_update();
        let opened = Instant::now();
        progress.out.set(true);
        progress.moved.set(false);
        let ended = tokio::select! {
            ended = one_watch(&host, at, &progress.revision) => ended,
            Ok(()) = discovery.changed() => {
                progress.moves();
                continue;
            }
        };
        if let Err(end) = ended {
            tracing::info!(%end, revision = progress.revision.get(), "the watch on discovery ended");
        }
        if !must_be_asked {
            sleep_until(opened + PAUSE).await;
        }
    }
}

#[cfg(test)]
#[path = "discovery_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "discovery_return_tests.rs"]
mod return_tests;
