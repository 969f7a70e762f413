//! Proxy between an instance and an endpoint, which forwards both directions and writes surplus responses.

use super::plan::{CopyPlan, CopyShape, CopyTiming};
use super::record::Copy;
use super::response::{is_interim, is_over};
use super::state::SharedRun;
use crate::http::parse_request;
use rand::RngExt;
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Mutex, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Time between the two pieces of a surplus response in two pieces.
const PIECE_GAP: Duration = Duration::from_millis(2);

/// Endpoint behind a proxy, and what happens on the way to it.
pub(super) struct Server {
    pub(super) number: usize,
    pub(super) address: SocketAddr,
    /// Time that bytes take in each direction.
    pub(super) path_time: Duration,
    /// Surplus responses, if the endpoint writes any.
    pub(super) copies: Option<CopyPlan>,
}

/// Bytes that arrive at a time. Without any, the connection ends.
struct Bytes {
    due: Instant,
    bytes: Vec<u8>,
}

impl Bytes {
    /// Returns bytes that are sent now.
    fn sent(bytes: Vec<u8>, path_time: Duration) -> Self {
        Self { due: Instant::now() + path_time, bytes }
    }

    /// Waits until they arrive.
    async fn arrived(self) -> Vec<u8> {
        if self.due > Instant::now() {
            sleep_until(self.due).await;
        }
        self.bytes
    }
}

/// State that both directions of a connection share.
struct Link {
    run: SharedRun,
    endpoint: usize,
    path_time: Duration,
    to_instance: Mutex<OwnedWriteHalf>,
    /// What is on its way to the instance.
    responses: UnboundedSender<Bytes>,
    /// Message of the last complete request that has reached the endpoint.
    last_message: RefCell<String>,
    /// Number of complete requests that have reached the endpoint.
    requests: watch::Sender<u64>,
}

impl Link {
    /// Sends bytes to the instance, behind those that are on their way.
    fn send(&self, bytes: Vec<u8>) {
        // Nobody receives them once the connection is closed.
        let _ = self.responses.send(Bytes::sent(bytes, self.path_time));
    }

    /// Reads what the instance sends, which then is on its way.
    async fn read_requests(
        &self,
        mut from: OwnedReadHalf,
        requests: UnboundedSender<Bytes>,
    ) -> io::Result<()> {
        let mut bytes = [0; 4096];
        loop {
            let length = from.read(&mut bytes).await?;
            if length == 0 {
                return Ok(());
            }
            let _ = requests.send(Bytes::sent(bytes[..length].to_vec(), self.path_time));
        }
    }

    /// Writes to the endpoint what has reached it.
    async fn write_requests(
        &self,
        mut requests: UnboundedReceiver<Bytes>,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut request = Vec::new();
        while let Some(bytes) = requests.recv().await {
            let bytes = bytes.arrived().await;
            request.extend_from_slice(&bytes);
            to.write_all(&bytes).await?;
            if let Some((complete, used)) = parse_request(&request)? {
                request.drain(..used);
                self.last_message.replace(complete.id.unwrap_or_default());
                self.requests.send_modify(|count| *count += 1);
            }
        }
        Ok(())
    }

    /// Reads what the endpoint writes, which then is on its way, and adds the planned surplus responses.
    async fn read_responses(self: Rc<Self>, mut from: OwnedReadHalf, copies: Option<CopyPlan>) {
        let mut bytes = [0; 4096];
        // The endpoint writes each response in one piece, and the next one only after another request.
        while let Ok(length @ 1..) = from.read(&mut bytes).await {
            self.send(bytes[..length].to_vec());
            if let Some(plan) = &copies
                && !is_interim(&bytes[..length])
                && self.run.borrow_mut().rng.random::<f64>() < plan.share
            {
                spawn_local(write_surplus(self.clone(), plan.clone(), bytes[..length].to_vec()));
            }
        }
        self.send(Vec::new());
    }

    /// Writes to the instance what has reached it.
    async fn write_responses(&self, mut responses: UnboundedReceiver<Bytes>) -> io::Result<()> {
        while let Some(bytes) = responses.recv().await {
            let bytes = bytes.arrived().await;
            if bytes.is_empty() {
                break;
            }
            self.to_instance.lock().await.write_all(&bytes).await?;
        }
        Ok(())
    }
}

/// Forwards one connection until a side closes it.
pub(super) async fn forward(run: SharedRun, server: Server, instance: TcpStream) -> io::Result<()> {
    instance.set_nodelay(true)?;
    let upstream = TcpStream::connect(server.address).await?;
    upstream.set_nodelay(true)?;
    let (from_instance, to_instance) = instance.into_split();
    let (from_endpoint, to_endpoint) = upstream.into_split();
    let (request_sender, requests) = unbounded_channel();
    let (response_sender, responses) = unbounded_channel();
    let link = Rc::new(Link {
        run,
        endpoint: server.number,
        path_time: server.path_time,
        to_instance: Mutex::new(to_instance),
        responses: response_sender,
        last_message: RefCell::default(),
        requests: watch::channel(0).0,
    });
    let to_instance = async {
        let read = link.clone().read_responses(from_endpoint, server.copies);
        tokio::join!(read, link.write_responses(responses)).1
    };
    // The end of one direction ends both, so that the endpoint learns at once that a call is given up.
    tokio::select! {
        result = link.read_requests(from_instance, request_sender) => result,
        result = link.write_requests(requests, to_endpoint) => result,
        result = to_instance => result,
    }
}

/// Writes a surplus response for `response` at its time.
async fn write_surplus(link: Rc<Link>, plan: CopyPlan, response: Vec<u8>) -> io::Result<()> {
    let of_message = link.last_message.borrow().clone();
    match plan.timing {
        CopyTiming::Late(max) => {
            let delay = max.mul_f64(link.run.borrow_mut().rng.random());
            sleep(delay).await;
        }
        CopyTiming::Directly(range) => {
            let before = *link.requests.borrow();
            let delay = link.run.borrow_mut().rng.random_range(range);
            sleep(delay).await;
            if *link.requests.borrow() != before {
                return Ok(());
            }
            // Not on the other way, so that it arrives behind its response.
            sleep(link.path_time).await;
        }
        CopyTiming::BehindNextRequest(delay) => {
            let mut requests = link.requests.subscribe();
            let next = *requests.borrow() + 1;
            if requests.wait_for(|count| *count >= next).await.is_err() {
                return Ok(());
            }
            sleep(delay).await;
        }
    }
    let is_over = is_over(&response);
    let surplus = match plan.shape {
        CopyShape::Noise => b"\x16\x03\x01 no response\r\n".to_vec(),
        CopyShape::Interim => b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(),
        CopyShape::OtherStatus => with_other_status(&response),
        _ => response,
    };
    let mut to_instance = link.to_instance.lock().await;
    let before_message = link.last_message.borrow().clone();
    let (first, second) = surplus.split_at(surplus.len() / 2);
    to_instance.write_all(first).await?;
    if plan.shape == CopyShape::TwoPieces {
        sleep(PIECE_GAP).await;
    }
    to_instance.write_all(second).await?;
    let copy = Copy { endpoint: link.endpoint, of_message, before_message, at: Instant::now(), is_over };
    link.run.borrow_mut().record.copies.push(copy);
    match plan.shape {
        CopyShape::ThenClose => to_instance.shutdown().await,
        CopyShape::ThenReset => SockRef::from(to_instance.as_ref()).set_linger(Some(Duration::ZERO)),
        _ => Ok(()),
    }
}

fn with_other_status(response: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(response).into_owned();
    let other =
        if text.contains(" 200 ") { text.replace(" 200 ", " 503 ") } else { text.replace(" 503 ", " 200 ") };
    other.into_bytes()
}
