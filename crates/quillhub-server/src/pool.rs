//! The endpoints: their addresses, the connections kept to them, and one call on one connection.

use crate::http;
use crate::link::Link;
use quillhub::{AttemptOutcome, LoadReport};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Bytes of an answer's body: it means nothing, and is only read so that the connection can be kept.
const MAX_BODY: usize = 64 * 1024;
/// How long the rest of an answer may take once it has begun: it is written at once, and a quarter of a second
/// covers a packet that must be sent again. Against answers that never end, which would hold their call.
const RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Connections that may break under one call before its last byte: a kept one, and a new one by chance.
const MAX_RECONNECTS: u32 = 2;
/// Calls a second beyond which a reported limit cannot be one.
const MAX_RATE: f64 = 1e6;
/// Part of the idle time before its end in which a kept connection is not used: a call written then could
/// reach an endpoint that has just closed. A tenth is more than the way there and back takes.
const IDLE_MARGIN: u32 = 10;

/// How far a call came that got no response.
#[derive(Debug)]
pub enum CallError {
    /// Never left: no descriptor or address was free here, or it was held back at the last moment.
    NotSent,
    /// The connection did not come up, or broke before the call's last byte was out.
    ConnectFailed,
    /// It broke after that, or what came was no response.
    ConnectionReset,
    /// Nothing came in time after that.
    TimedOut,
}

/// An response: the status, what was told with it, and the report.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    /// Whether all of it came, framed to the letter, and nothing behind it but a copy: only then a status is
    /// proof that nothing ran.
    pub complete: bool,
    /// From the call's start to the answer's first line.
    pub latency: Duration,
    pub retry_after: Option<Duration>,
    pub egress_full: bool,
    /// Whether the connection was opened for this call.
    pub on_new_connection: bool,
    pub load_report: Option<LoadReport>,
}

/// What a call's end means: the outcome, and whether the notice is over with it. Where answers hold `reports`,
/// one without, to the first call of a connection, comes from the connections' table and not from the limit.
pub fn outcome(end: &Result<Response, CallError>, reports: bool) -> (AttemptOutcome, bool) {
    match end {
        Ok(Response { status: 200, .. }) => (AttemptOutcome::Delivered, true),
        Ok(Response { status: 503, egress_full: true, complete: true, .. }) => {
            (AttemptOutcome::NotSent, false)
        }
        Ok(Response {
            status: 503,
            retry_after: None,
            complete: true,
            on_new_connection: true,
            load_report: None,
            ..
        }) if reports => (AttemptOutcome::ConnectionLimit, false),
        Ok(Response { status: 429 | 503, retry_after: wait, complete: true, .. }) => {
            (AttemptOutcome::Rejected { retry_after: *wait }, false)
        }
        Ok(Response { status: 429 | 503, retry_after: wait, .. }) => {
            (AttemptOutcome::AmbiguousRejection { retry_after: *wait }, false)
        }
        Ok(Response { status: 504 | 410, complete: false, .. }) => (AttemptOutcome::ConnectionReset, false),
        Ok(Response { status: 504, .. }) => (AttemptOutcome::NotSent, false),
        Ok(Response { status: 410, .. }) => (AttemptOutcome::NotSent, true),
        Ok(_) => (AttemptOutcome::Failed, false),
        Err(CallError::NotSent) => (AttemptOutcome::NotSent, false),
        Err(CallError::ConnectFailed) => (AttemptOutcome::ConnectFailed, false),
        Err(CallError::ConnectionReset) => (AttemptOutcome::ConnectionReset, false),
        Err(CallError::TimedOut) => (AttemptOutcome::TimedOut, false),
    }
}

/// The share of the limit that is left and the limit, from a report like `x0=0.4,x1=25`.
pub fn load_report(text: &str) -> Option<LoadReport> {
    let value = |name| {
        let pair = text.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='));
        pair?.trim().parse().ok().filter(|value: &f64| value.is_finite())
    };
    let (left, limit) = (value("x0")?, value("x1")?);
    ((0.0..=1.0).contains(&left) && (0.0..=MAX_RATE).contains(&limit))
        .then_some(LoadReport { remaining_share: left, rate_limit: limit })
}

fn connect_error(error: &io::Error) -> CallError {
    use io::ErrorKind::*;
    match error.kind() {
        AddrNotAvailable | AddrInUse | OutOfMemory | PermissionDenied => CallError::NotSent,
        _ if matches!(error.raw_os_error(), Some(23 | 24 | 105)) => CallError::NotSent, // no descriptors, no buffers
        _ => CallError::ConnectFailed,
    }
}

/// One call: on `link` if there is one that still stands, otherwise on a new connection, for `attempt_timeout` at most.
/// `goes` is asked last, before the first byte; then `request` is told how long the call will still wait, in whole
/// milliseconds. The link comes back if another call may use it.
///
/// An answer whose first line is read after `attempt_timeout` is none: the endpoint was told how long the call waits, and
/// may have given it up. Against answers in the moment before the timer goes off, which counts whole milliseconds,
/// and against ones that begin in time and go on. May time out a call that was answered while this process stood
/// still.
pub async fn call(
    link: Option<Link>,
    at: SocketAddr,
    connect_timeout: Duration,
    attempt_timeout: Duration,
    request: impl Fn(Duration) -> Vec<u8>,
    goes: impl Fn() -> bool,
) -> (Result<Response, CallError>, Option<Link>) {
    let started = Instant::now();
    let mut waits = attempt_timeout;
    let left = |waits: Duration| waits.saturating_sub(started.elapsed());
    let (mut kept, mut cut) = (link, 0);
    let (mut link, fresh) = loop {
        let fresh = kept.is_none();
        let mut link = match kept.take() {
            Some(link) => link,
            None => match timeout(connect_timeout.min(left(waits)), Link::open(at)).await {
                Ok(Ok(link)) => link,
                Ok(Err(error)) => return (Err(connect_error(&error)), None),
                Err(_) => return (Err(CallError::ConnectFailed), None),
            },
        };
        // Against an endpoint that works for longer than the call waits, as its connection came up late.
        let told = Duration::from_millis(left(waits).as_millis() as u64);
        if told.is_zero() || !goes() {
            return (Err(CallError::NotSent), Some(link));
        }
        waits = started.elapsed() + told;
        match timeout(left(waits), link.offer(&request(told))).await {
            Ok(Ok(())) => break (link, fresh),
            Ok(Err(_)) if cut < MAX_RECONNECTS => cut += 1, // nothing has run, so this call may have a new connection
            _ => return (Err(CallError::ConnectFailed), None),
        }
    };
    // Interim answers may come long before the one that counts.
    let left = || left(waits);
    let rest = || RESPONSE_TIME.min(left());
    let status = loop {
        match timeout(left(), link.begin()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return (Err(CallError::ConnectionReset), None),
            Err(_) => return (Err(CallError::TimedOut), None),
        }
        match timeout(rest(), link.status()).await {
            _ if left().is_zero() => return (Err(CallError::TimedOut), None),
            Ok(Ok(100..200)) => {}
            Ok(Ok(status)) => break status,
            _ => return (Err(CallError::ConnectionReset), None),
        }
        if !matches!(timeout(rest(), link.any_head()).await, Ok(Ok(_))) {
            return (Err(CallError::ConnectionReset), None);
        }
    };
    // From here on the status stands, whatever the rest is.
    let mut response = Response {
        status,
        complete: false,
        latency: started.elapsed(),
        retry_after: None,
        egress_full: false,
        on_new_connection: fresh,
        load_report: None,
    };
    let kept = timeout(rest(), remainder(&mut link, &mut response)).await.unwrap_or(false);
    (Ok(response), kept.then_some(link))
}

/// Reads an answer behind its first line, and whether its connection may be used again. What has been learned
/// of it stays in `answer` if it never ends.
async fn remainder(link: &mut Link, response: &mut Response) -> bool {
    let Ok(head) = link.head().await else { return false };
    let wait = head.header("x-backoff-ms").and_then(|ms| ms.trim().parse::<f64>().ok());
    let wait = wait.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok());
    response.retry_after = wait.filter(|wait| !wait.is_zero());
    response.egress_full = head.header("x-egress-full").is_some_and(|full| full.trim() == "1");
    response.load_report = head.header("x-load").and_then(load_report);
    let Ok(framing) = head.framing() else { return false };
    if link.body(framing, MAX_BODY).await.is_err() {
        return false;
    }
    response.complete = link.empty() || link.copied();
    response.complete && framing != http::Framing::ToEnd && head.keeps() && link.quiet()
}

/// Addresses by the list, and idle connections; both go with their endpoint, the connections also with time.
pub struct ConnectionPool {
    addresses: BTreeMap<String, SocketAddr>,
    idle: BTreeMap<String, Vec<(Link, Instant)>>,
    idle_timeout: Duration,
    max_idle: usize,
}

impl ConnectionPool {
    /// ConnectionPool close what stood idle for `idle_timeout`; `max_idle` connections are kept, over all of them.
    pub fn new(idle_timeout: Duration, max_idle: usize) -> Self {
        let idle_timeout = idle_timeout - idle_timeout / IDLE_MARGIN;
        Self { addresses: BTreeMap::new(), idle: BTreeMap::new(), idle_timeout, max_idle }
    }

    pub fn listed(&mut self, name: &str, address: SocketAddr) {
        if self.addresses.insert(name.into(), address).is_some_and(|before| before != address) {
            self.idle.remove(name);
        }
    }

    pub fn removed(&mut self, name: &str) {
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
            if since.elapsed() < self.idle_timeout && link.quiet() {
                return Some(link);
            }
        }
        None
    }

    pub fn put_back(&mut self, name: &str, link: Link) {
        if !self.addresses.contains_key(name) || self.max_idle == 0 {
            return;
        }
        self.close_oldest_beyond(self.max_idle - 1);
        self.idle.entry(name.into()).or_default().push((link, Instant::now()));
    }

    /// Closes the oldest idle connections until there are `most` at most.
    pub fn close_oldest_beyond(&mut self, most: usize) {
        if most >= self.max_idle {
            return; // there are no more than that
        }
        while self.idle.values().map(Vec::len).sum::<usize>() > most {
            let oldest =
                self.idle.iter().filter_map(|(name, links)| Some((links.first()?.1, name.clone()))).min();
            let Some(links) = oldest.and_then(|(_, name)| self.idle.get_mut(&name)) else { break };
            links.remove(0);
        }
    }

    pub fn close_idle(&mut self, name: &str) {
        self.idle.remove(name);
    }

    /// Closes what the other side closed or soon will.
    pub fn close_expired(&mut self) {
        let most = self.idle_timeout;
        self.idle.retain(|_, links| {
            links.retain(|(link, since)| since.elapsed() < most && link.quiet());
            !links.is_empty()
        });
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
