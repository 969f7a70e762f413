//! Tests that endpoint changes are applied although discovery responds late, for some requests never or with errors.
//! They use real sockets and virtual time.

use super::outage_tests::{CHUNKED, chunk, settings};
use super::overlap::MAX_OPEN_REQUESTS;
use super::*;
use crate::test_support::{StateDirectory, instance_with, on_one_thread};
use quillhub_fakes::http::ServerConnection;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum time from the start of one request to the start of the next (docs/discovery-timing.md).
const MAX_INTERVAL: Duration = Duration::from_secs(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Revision that the instance has at its start.
const FIRST_REVISION: u64 = 6;

/// Response to a request, or the reason why there is none.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// The head is sent after the first time, the rest after the second one.
    Late(Duration, Duration),
    /// Half of the response's first line, or of the list, is sent after the time, and nothing more.
    Half(Duration),
    Never,
    Unavailable,
    Closed,
}

fn late(seconds: u64) -> Behaviour {
    Behaviour::Late(Duration::from_secs(seconds), Duration::ZERO)
}

/// Fake discovery with one endpoint `f`, whose response to each request depends on the number of the request.
struct LateDiscovery {
    behaviour: Box<dyn Fn(usize) -> Behaviour>,
    revision: Cell<u64>,
    requests: Cell<usize>,
    open: Cell<usize>,
    most_open: Cell<usize>,
}

impl LateDiscovery {
    async fn start(behaviour: impl Fn(usize) -> Behaviour + 'static) -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Rc::new(Self {
            behaviour: Box::new(behaviour),
            revision: Cell::new(FIRST_REVISION),
            requests: Cell::new(0),
            open: Cell::new(0),
            most_open: Cell::new(0),
        });
        let accepting = discovery.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let serving = accepting.clone();
                spawn_local(async move {
                    serving.open.set(serving.open.get() + 1);
                    serving.most_open.set(serving.most_open.get().max(serving.open.get()));
                    let _ = serving.serve(stream).await;
                    serving.open.set(serving.open.get() - 1);
                });
            }
        });
        (discovery, address)
    }

    /// Serves one request, until either side closes the connection.
    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = ServerConnection::new(stream);
        let Some(requested) = stream.next().await? else { return Ok(()) };
        let number = self.requests.get();
        self.requests.set(number + 1);
        let is_watch = requested.path.contains("watch");
        let revision = self.revision.get();
        match (self.behaviour)(number) {
            Behaviour::Closed => return Ok(()),
            Behaviour::Unavailable => stream.answer(503, "", b"").await?,
            Behaviour::Never => until_closed(&mut stream, None).await?,
            Behaviour::Half(delay) => {
                until_closed(&mut stream, Some(delay)).await?;
                let [head, body] = response(is_watch, revision);
                stream.write(head.as_bytes()).await?;
                stream.write(&body.as_bytes()[..body.len() / 2]).await?;
                until_closed(&mut stream, None).await?;
            }
            Behaviour::Late(head_delay, body_delay) => {
                let [head, body] = response(is_watch, revision);
                for (delay, part) in [(head_delay, head), (body_delay, body)] {
                    until_closed(&mut stream, Some(delay)).await?;
                    stream.write(part.as_bytes()).await?;
                }
                if is_watch {
                    self.send_changes(&mut stream, revision).await?;
                }
                until_closed(&mut stream, None).await?;
            }
        }
        Ok(())
    }

    /// Sends each change in an open watch at once, and an empty line from time to time.
    async fn send_changes(&self, stream: &mut ServerConnection, mut sent: u64) -> std::io::Result<()> {
        let mut last_line = Instant::now();
        loop {
            until_closed(stream, Some(Duration::from_millis(10))).await?;
            let revision = self.revision.get();
            if revision != sent || last_line.elapsed() >= HEARTBEAT_INTERVAL {
                let line = if revision == sent { String::new() } else { list(revision) };
                stream.write(chunk(&format!("{line}\n")).as_bytes()).await?;
                (sent, last_line) = (revision, Instant::now());
            }
        }
    }
}

/// Returns the list at `revision`, with `f` at the port of the same number.
fn list(revision: u64) -> String {
    format!(
        "{{\"revision\":{revision},\"complete\":true,\"members\":[{{\"id\":\"f\",\
         \"host_port\":\"127.0.0.1:{revision}\",\"cell\":9,\"phase\":\"up\"}}]}}"
    )
}

/// Returns the head and the body of the response with the list at `revision`.
fn response(is_watch: bool, revision: u64) -> [String; 2] {
    let list = list(revision);
    if is_watch {
        [CHUNKED.to_owned(), chunk(&format!("{list}\n"))]
    } else {
        [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len()), list]
    }
}

/// Waits for `delay`, or without limit. Returns an error as soon as the instance closes the connection.
async fn until_closed(stream: &mut ServerConnection, delay: Option<Duration>) -> std::io::Result<()> {
    tokio::select! {
        _ = stream.next() => Err(std::io::ErrorKind::UnexpectedEof.into()),
        () = sleep(delay.unwrap_or_default()), if delay.is_some() => Ok(()),
    }
}

/// Instance that watches a [`LateDiscovery`].
struct Watched {
    discovery: Rc<LateDiscovery>,
    instance: Rc<RefCell<Instance>>,
    address: watch_channel::Sender<SocketAddr>,
}

impl Watched {
    /// Starts the instance with [`FIRST_REVISION`], or with no list.
    async fn start(
        directory: &StateDirectory,
        must_be_polled: bool,
        has_list: bool,
        behaviour: impl Fn(usize) -> Behaviour + 'static,
    ) -> Self {
        let (discovery, address) = LateDiscovery::start(behaviour).await;
        let endpoint = "127.0.0.1:1".parse().unwrap();
        let instance = instance_with(7, &settings(must_be_polled), directory, endpoint);
        let (address, address_receiver) = watch_channel::channel(address);
        let watch_state = WatchState::new(Some(FIRST_REVISION).filter(|_| has_list));
        spawn_local(keep_watching(instance.clone(), address_receiver, watch_state, must_be_polled));
        // Applies the rules once, so that the dispatcher requests its first watch.
        instance.borrow_mut().handle_event(|_| ());
        Self { discovery, instance, address }
    }

    fn port(&self) -> Option<u16> {
        self.instance.borrow().endpoint_address("f").map(|address| address.port())
    }

    /// Returns the time until the list of discovery's current revision is applied.
    async fn time_until_current(&self) -> Duration {
        let (started, revision) = (Instant::now(), self.discovery.revision.get());
        let current = async {
            while self.port() != u16::try_from(revision).ok() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(60), current).await.expect("the list is applied");
        started.elapsed()
    }
}

/// Runs `test` for discovery that pushes and that is polled, from a known list and from none.
fn for_each_start(test: impl AsyncFn(&StateDirectory, bool, bool)) {
    for (must_be_polled, has_list) in [(false, true), (false, false), (true, true), (true, false)] {
        let directory = StateDirectory::new();
        on_one_thread(async {
            tokio::time::pause();
            test(&directory, must_be_polled, has_list).await;
        });
    }
}

/// Checks that the first list is applied at the latest after one interval and `delay`, the longest delay of a response,
/// and that the watch that is then open reports further changes at once.
fn assert_heard(delay: Duration, behaviour: impl Fn(usize) -> Behaviour + Clone + 'static) {
    for_each_start(async |directory, must_be_polled, has_list| {
        let watched = Watched::start(directory, must_be_polled, has_list, behaviour.clone()).await;
        let heard = watched.time_until_current().await;
        assert!(heard < MAX_INTERVAL + delay, "polled {must_be_polled}, list {has_list}: {heard:?}");
        // A request that was sent in the meantime, and a watch after the complete list, are answered too.
        sleep(2 * (MAX_INTERVAL + delay)).await;
        watched.discovery.revision.set(FIRST_REVISION + 1);
        let heard = watched.time_until_current().await;
        assert!(heard < HEARTBEAT_INTERVAL, "polled {must_be_polled}, list {has_list}: then {heard:?}");
        assert!(watched.discovery.most_open.get() <= MAX_OPEN_REQUESTS);
    });
}

/// A response that takes longer than the timeout of its request was never heard, however often it came.
#[test]
fn a_response_is_applied_however_late_discovery_sends_it() {
    for delay in [1, 3, 5, 7] {
        assert_heard(Duration::from_secs(delay), move |_| late(delay));
    }
}

/// A head in time ended the timeout of the request, but the first line had a timeout of the same length.
#[test]
fn a_list_is_applied_however_late_it_comes_after_its_head() {
    for delay in [3, 5] {
        let delay = Duration::from_secs(delay);
        assert_heard(delay, move |_| Behaviour::Late(Duration::ZERO, delay));
        assert_heard(2 * delay, move |_| Behaviour::Late(delay, delay));
    }
}

/// Each request took longer than the one before, so that a higher timeout would only be exceeded later.
#[test]
fn a_response_is_applied_while_discovery_becomes_slower_and_slower() {
    assert_heard(Duration::from_secs(8), |number| late((3 + number as u64).min(8)));
}

/// An error at once to a younger request must not end the wait for the response to an older one.
#[test]
fn a_late_response_is_applied_between_requests_that_fail_at_once() {
    for failure in [Behaviour::Unavailable, Behaviour::Closed, Behaviour::Never] {
        assert_heard(Duration::from_secs(4), move |number| if number % 3 == 0 { late(4) } else { failure });
    }
}

/// When a watch opens late, another request is out already; its watch would stay open beside the first one.
#[test]
fn one_watch_is_left_after_two_have_opened() {
    for_each_start(async |directory, must_be_polled, has_list| {
        let watched = Watched::start(directory, must_be_polled, has_list, |_| late(4)).await;
        sleep(Duration::from_secs(40)).await;
        let requests = watched.discovery.requests.get();
        sleep(Duration::from_secs(60)).await;
        assert_eq!((watched.discovery.open.get(), watched.discovery.requests.get()), (1, requests));
    });
}

/// Calls to discovery are priced, and connections that stay open take descriptors.
#[test]
fn silent_discovery_gets_no_more_requests_than_one_for_each_timeout_and_few_stay_open() {
    for behaviour in
        [Behaviour::Never, Behaviour::Half(Duration::ZERO), Behaviour::Half(Duration::from_secs(3))]
    {
        for_each_start(async |directory, must_be_polled, has_list| {
            let watched = Watched::start(directory, must_be_polled, has_list, move |_| behaviour).await;
            sleep(Duration::from_secs(120)).await;
            let (requests, most_open) = (watched.discovery.requests.get(), watched.discovery.most_open.get());
            let most_requests = if must_be_polled { 120 / 4 + 2 } else { 120 * 2 / 5 + 1 };
            assert!(requests <= most_requests, "{behaviour:?}, polled {must_be_polled}: {requests} requests");
            assert!(most_open <= MAX_OPEN_REQUESTS, "{behaviour:?}: {most_open} open");
        });
    }
}

/// A late response from the old address would replace the list of the new one, whose revisions count anew.
#[test]
fn a_response_from_an_address_that_discovery_has_left_is_not_applied() {
    for_each_start(async |directory, must_be_polled, has_list| {
        let watched = Watched::start(directory, must_be_polled, has_list, |_| late(4)).await;
        sleep(Duration::from_secs(3)).await;
        let (moved, address) = LateDiscovery::start(|_| late(0)).await;
        moved.revision.set(2);
        watched.address.send_replace(address);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(watched.port(), Some(2), "polled {must_be_polled}, list {has_list}");
        sleep(Duration::from_secs(30)).await;
        assert_eq!((watched.port(), watched.discovery.open.get(), moved.open.get()), (Some(2), 0, 1));
    });
}
