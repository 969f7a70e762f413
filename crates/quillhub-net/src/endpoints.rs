//! The endpoints: their addresses, the connections kept to them, and one call on one connection.

use crate::http;
use crate::link::Link;
use quillhub::Outcome;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Bytes of an answer's body: it means nothing, and is only read so that the connection can be kept.
const MOST_BODY: usize = 64 * 1024;
/// Part of the idle time before its end in which a kept connection is not used: a call written then could
/// reach an endpoint that has just closed. A tenth is more than the way there and back takes.
const IDLE_MARGIN: u32 = 10;

/// How far a call came that got no answer.
#[derive(Debug)]
pub enum Failed {
    /// Never left: no descriptor or address was free here, or it was held back at the last moment.
    Here,
    /// The connection did not come up, or broke before the call's last byte was out.
    Unready,
    /// It broke after that, or what came was no answer.
    Broken,
    /// Nothing came in time after that.
    Silent,
}

/// An answer: the status, what was told with it, and the report.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub wait: Option<Duration>,
    pub slots_taken: bool,
    pub report: Option<(f64, f64)>,
}

/// What a call's end means: the outcome, and whether the notice is over with it.
pub fn outcome(end: &Result<Answer, Failed>) -> (Outcome, bool) {
    match end {
        Ok(Answer { status: 200, .. }) => (Outcome::Handled, true),
        Ok(Answer { status: 429, wait, .. }) => (Outcome::Refused(*wait), false),
        Ok(Answer { status: 503, slots_taken: true, .. }) => (Outcome::Unsent, false),
        Ok(Answer { status: 503, wait, .. }) => (Outcome::Refused(*wait), false),
        Ok(Answer { status: 504, .. }) => (Outcome::Unsent, false),
        Ok(Answer { status: 410, .. }) => (Outcome::Unsent, true),
        Ok(_) => (Outcome::Error, false),
        Err(Failed::Here) => (Outcome::Unsent, false),
        Err(Failed::Unready) => (Outcome::Unconnected, false),
        Err(Failed::Broken) => (Outcome::Reset, false),
        Err(Failed::Silent) => (Outcome::TimedOut, false),
    }
}

/// The share of the limit that is left and the limit, from a report like `x0=0.4,x1=25`.
pub fn report(text: &str) -> Option<(f64, f64)> {
    let value = |name| {
        let pair = text.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='));
        pair?.trim().parse().ok().filter(|value: &f64| value.is_finite())
    };
    Some((value("x0")?, value("x1")?))
}

fn failed_to_open(error: &io::Error) -> Failed {
    use io::ErrorKind::*;
    match error.kind() {
        AddrNotAvailable | AddrInUse | OutOfMemory | PermissionDenied => Failed::Here,
        _ if matches!(error.raw_os_error(), Some(23 | 24 | 105)) => Failed::Here, // no descriptors, no buffers
        _ => Failed::Unready,
    }
}

/// One call: on `link` if there is one, otherwise on a new connection, for `patience` at most. `goes` is asked
/// last, before the first byte. The link comes back if another call may use it.
pub async fn call(
    link: Option<Link>,
    at: SocketAddr,
    connecting: Duration,
    patience: Duration,
    request: &[u8],
    goes: impl Fn() -> bool,
) -> (Result<Answer, Failed>, Option<Link>) {
    let started = Instant::now();
    let left = || patience.saturating_sub(started.elapsed());
    let mut link = match link {
        Some(link) => link,
        None => match timeout(connecting.min(patience), Link::open(at)).await {
            Ok(Ok(link)) => link,
            Ok(Err(error)) => return (Err(failed_to_open(&error)), None),
            Err(_) => return (Err(Failed::Unready), None),
        },
    };
    if !goes() {
        return (Err(Failed::Here), Some(link));
    }
    if !matches!(timeout(left(), link.write(request)).await, Ok(Ok(()))) {
        return (Err(Failed::Unready), None);
    }
    let head = match timeout(left(), link.head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(_)) => return (Err(Failed::Broken), None),
        Err(_) => return (Err(Failed::Silent), None),
    };
    let wait = head.header("x-backoff-ms").and_then(|ms| ms.trim().parse::<f64>().ok());
    let wait = wait.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok());
    let answer = Answer {
        status: head.status,
        wait: wait.filter(|wait| !wait.is_zero()),
        slots_taken: head.header("x-egress-full").is_some_and(|full| full.trim() == "1"),
        report: head.header("x-load").and_then(report),
    };
    let whole = match head.framing() {
        Ok(framing @ (http::Framing::Length(_) | http::Framing::Chunked)) => {
            matches!(timeout(left(), link.body(framing, MOST_BODY)).await, Ok(Ok(_)))
        }
        _ => false,
    };
    let kept = whole && head.keeps() && link.quiet();
    (Ok(answer), kept.then_some(link))
}

/// Addresses by the list, and idle connections; both go with their endpoint, the connections also with time.
pub struct Endpoints {
    addresses: BTreeMap<String, SocketAddr>,
    idle: BTreeMap<String, Vec<(Link, Instant)>>,
    idle_close: Duration,
    most_idle: usize,
}

impl Endpoints {
    /// Endpoints close what stood idle for `idle_close`; `most_idle` connections are kept, over all of them.
    pub fn new(idle_close: Duration, most_idle: usize) -> Self {
        let idle_close = idle_close - idle_close / IDLE_MARGIN;
        Self { addresses: BTreeMap::new(), idle: BTreeMap::new(), idle_close, most_idle }
    }

    pub fn listed(&mut self, name: &str, address: SocketAddr) {
        if self.addresses.insert(name.into(), address).is_some_and(|before| before != address) {
            self.idle.remove(name);
        }
    }

    pub fn gone(&mut self, name: &str) {
        self.addresses.remove(name);
        self.idle.remove(name);
    }

    pub fn keep_only(&mut self, named: impl Fn(&str) -> bool) {
        self.addresses.retain(|name, _| named(name));
        self.idle.retain(|name, _| named(name));
    }

    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }

    /// The connection used last that is still good.
    pub fn take(&mut self, name: &str) -> Option<Link> {
        let links = self.idle.get_mut(name)?;
        while let Some((link, since)) = links.pop() {
            if since.elapsed() < self.idle_close && link.quiet() {
                return Some(link);
            }
        }
        None
    }

    pub fn put(&mut self, name: &str, link: Link) {
        if !self.addresses.contains_key(name) || self.most_idle == 0 {
            return;
        }
        while self.idle.values().map(Vec::len).sum::<usize>() >= self.most_idle {
            let oldest =
                self.idle.iter().filter_map(|(name, links)| Some((links.first()?.1, name.clone()))).min();
            let Some(links) = oldest.and_then(|(_, name)| self.idle.get_mut(&name)) else { break };
            links.remove(0);
        }
        self.idle.entry(name.into()).or_default().push((link, Instant::now()));
    }

    pub fn hang_up(&mut self, name: &str) {
        self.idle.remove(name);
    }

    /// Closes what the other side closed or soon will.
    pub fn sweep(&mut self) {
        let most = self.idle_close;
        self.idle.retain(|_, links| {
            links.retain(|(link, since)| since.elapsed() < most && link.quiet());
            !links.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "endpoints_tests.rs"]
mod tests;
