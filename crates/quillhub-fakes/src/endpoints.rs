//! The endpoints of a day on loopback: one listener each, behind which the emulator's own site decides what a call
//! meets, and the day's faults at their instants.

use crate::accept::accept_each;
use crate::http::Served;
use quillhub_simulator::{Admission, ConnectionFaults, Scenario, Site, SocketFault};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// What an endpoint saw, by the id that its call named.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub id: String,
    pub mark: Option<String>,
    pub at: Instant,
    pub what: What,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Came,
    TurnedAway,
    Failed,
    /// It ran, and 200 was written.
    Handled,
    /// It ran, and nobody heard.
    RanUnheard,
}

/// One endpoint, as the register lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: String,
    pub at: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
}

struct Place<'a> {
    site: Site<'a>,
    rng: Pcg64Mcg,
    started: Instant,
    /// Who waits for a worker, by number; gone when one is free.
    queued: BTreeMap<u64, oneshot::Sender<()>>,
    /// Connections now open, by server.
    open: Vec<usize>,
    calls: u64,
    tell: UnboundedSender<Seen>,
}

type Shared = Rc<RefCell<Place<'static>>>;

/// What of a day's faults sockets on loopback cannot show, in words.
pub fn cannot_show(day: &Scenario) -> Result<(), String> {
    let site = Site::new(day, 0);
    for (at, planned) in day.faults.iter().enumerate() {
        if matches!(site.socket_fault(at), SocketFault::Not) {
            let what = format!("{:?}", planned.fault);
            return Err(format!("faults[{at}].what: expected a trouble that sockets can show, found {what}"));
        }
    }
    Ok(())
}

/// Starts the endpoints of `day` on the current thread's local tasks. Day and clock begin at `started`; they last as
/// long as the process, as does the day's description.
pub async fn start(
    day: &'static Scenario,
    seed: u64,
    started: Instant,
    tell: UnboundedSender<Seen>,
) -> std::io::Result<Vec<Listed>> {
    let site = Site::new(day, seed);
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let open = vec![0; site.servers()];
    let place = Place { site, rng, started, queued: BTreeMap::new(), open, calls: 0, tell };
    let place = Rc::new(RefCell::new(place));
    let mut listed = Vec::new();
    let servers = place.borrow().site.servers();
    for server in 0..servers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let (destination, kind, zone) = {
            let place = place.borrow();
            let owner = place.site.owner(server);
            (owner.destination as u64 + 1, owner.kind.to_owned(), owner.zone.to_owned())
        };
        listed.push(Listed { id: format!("e{}", server + 1), at, zone, kind, destination });
        let place = place.clone();
        spawn_local(accept_each(listener, move |stream| {
            connection(place.clone(), server, Served::new(stream))
        }));
    }
    for (number, planned) in day.faults.iter().enumerate() {
        let place = place.clone();
        let (begin, end) = (started + planned.at, started + planned.at + planned.lasts);
        spawn_local(async move {
            sleep_until(begin).await;
            place.borrow_mut().begins(number);
            sleep_until(end).await;
            let mut place = place.borrow_mut();
            let now = place.started.elapsed();
            place.site.ends_fault(number, now);
        });
    }
    Ok(listed)
}

impl Place<'_> {
    fn begins(&mut self, number: usize) {
        let now = self.started.elapsed();
        self.site.begins_fault(number, now);
        // Whoever waits at one that refuses from now on is cut off when its turn is dropped.
        let waiting: Vec<_> = self.queued.keys().copied().collect();
        let still = self.site.queued();
        waiting.iter().filter(|call| !still.contains(call)).for_each(|call| {
            self.queued.remove(call);
        });
    }
}

fn seen(place: &Shared, id: &Option<String>, mark: &Option<String>, what: What) {
    let (id, mark) = (id.clone().unwrap_or_default(), mark.clone());
    let _ = place.borrow().tell.send(Seen { id, mark, at: Instant::now(), what });
}

/// Serves one connection until it ends.
async fn connection(place: Shared, server: usize, link: Served) {
    let ConnectionFaults { refuses, silent } = place.borrow().site.connection_faults(server);
    let full = {
        let mut place = place.borrow_mut();
        place.open[server] += 1;
        place.site.connections(server).is_some_and(|most| place.open[server] > most)
    };
    if refuses || full {
        link.reset();
    } else if silent {
        std::future::pending::<()>().await;
    } else {
        let _ = calls(&place, server, link).await;
    }
    place.borrow_mut().open[server] -= 1;
}

async fn calls(place: &Shared, server: usize, mut link: Served) -> std::io::Result<()> {
    let idle = place.borrow().site.idle_close();
    loop {
        let next = tokio::time::timeout(idle, link.next()).await;
        let Ok(Some(asked)) = next.unwrap_or(Ok(None)) else { return Ok(()) };
        if asked.method != "POST" || asked.path != "/events" {
            link.answer(404, "", b"").await?;
            continue;
        }
        let (id, mark) = (&asked.id, &asked.mark);
        seen(place, id, mark, What::Came);
        let (taken, call, report) = {
            let place = &mut *place.borrow_mut();
            let now = place.started.elapsed();
            let taken = place.site.admit(server, now, &mut place.rng).admission;
            place.calls += 1;
            let report = place.site.load_report(server, now).map_or(String::new(), |report| {
                format!("X-Load: x0={:.3},x1={:.3}\r\n", report.remaining_share, report.rate_limit)
            });
            (taken, place.calls, report)
        };
        match taken {
            Admission::Breaks => {
                link.reset();
                return Ok(());
            }
            Admission::Hangs => std::future::pending::<()>().await,
            Admission::Rejected(wait) => {
                seen(place, id, mark, What::TurnedAway);
                match wait {
                    Some(wait) => {
                        let ms = wait.as_nanos().div_ceil(1_000_000);
                        link.answer(429, &format!("{report}X-Backoff-Ms: {ms}\r\n"), b"").await?;
                    }
                    None => link.answer(503, &report, b"").await?,
                }
            }
            Admission::Fails(time) => {
                sleep(time).await;
                seen(place, id, mark, What::Failed);
                link.answer(500, &report, b"").await?;
            }
            Admission::Begins | Admission::Queues => {
                if taken == Admission::Queues {
                    let (tell, told) = oneshot::channel();
                    {
                        let mut place = place.borrow_mut();
                        place.site.queues(server, call);
                        place.queued.insert(call, tell);
                    }
                    if told.await.is_err() {
                        link.reset();
                        return Ok(());
                    }
                }
                let (time, starts) = {
                    let place = &mut *place.borrow_mut();
                    let now = place.started.elapsed();
                    let time = place.site.begins(server, now, &mut place.rng);
                    (time, place.site.starts(server))
                };
                sleep(time).await;
                if place.borrow().site.starts(server) != starts {
                    link.reset();
                    return Ok(());
                }
                let heard = {
                    let mut place = place.borrow_mut();
                    if let Some(next) = place.site.ends(server)
                        && let Some(tell) = place.queued.remove(&next)
                    {
                        let _ = tell.send(());
                    }
                    let mute = place.site.response_faults(server).lost;
                    place.rng.random::<f64>() >= mute
                };
                let silent = place.borrow().site.connection_faults(server).silent;
                if !heard || silent {
                    seen(place, id, mark, What::RanUnheard);
                    std::future::pending::<()>().await;
                }
                link.answer(200, &report, b"ok").await?;
                seen(place, id, mark, What::Handled);
            }
        }
    }
}
