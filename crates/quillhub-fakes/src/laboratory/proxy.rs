//! Proxy between an instance and an endpoint, which forwards both directions and writes surplus responses.

use super::plan::{CopyPlan, CopyShape, CopyTiming};
use super::record::Copy;
use super::response::is_over;
use super::run::SharedRun;
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
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Mutex, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Time between the two pieces of a surplus response in two pieces.
const PIECE_GAP: Duration = Duration::from_millis(2);

/// State that both directions of a connection share.
struct Link {
    run: SharedRun,
    endpoint: usize,
    to_instance: Mutex<OwnedWriteHalf>,
    /// Message of the last complete request.
    last_message: RefCell<String>,
    /// Number of complete requests.
    requests: watch::Sender<u64>,
}

/// Forwards one connection until a side closes it. `copies` is set if this endpoint writes surplus responses.
pub(super) async fn forward(
    run: SharedRun,
    endpoint: usize,
    address: SocketAddr,
    copies: Option<CopyPlan>,
    instance: TcpStream,
) -> io::Result<()> {
    instance.set_nodelay(true)?;
    let upstream = TcpStream::connect(address).await?;
    upstream.set_nodelay(true)?;
    let (mut from_instance, to_instance) = instance.into_split();
    let (mut from_endpoint, mut to_endpoint) = upstream.into_split();
    let link = Rc::new(Link {
        run,
        endpoint,
        to_instance: Mutex::new(to_instance),
        last_message: RefCell::default(),
        requests: watch::channel(0).0,
    });
    let requests = async {
        let (mut bytes, mut request) = ([0; 4096], Vec::new());
        loop {
            let length = from_instance.read(&mut bytes).await?;
            if length == 0 {
                return io::Result::Ok(());
            }
            request.extend_from_slice(&bytes[..length]);
            to_endpoint.write_all(&bytes[..length]).await?;
            if let Some((complete, used)) = parse_request(&request)? {
                request.drain(..used);
                link.last_message.replace(complete.id.unwrap_or_default());
                link.requests.send_modify(|count| *count += 1);
            }
        }
    };
    let responses = async {
        let mut bytes = [0; 4096];
        loop {
            // The endpoint writes each response in one piece, and the next one only after another request.
            let length = from_endpoint.read(&mut bytes).await?;
            if length == 0 {
                return io::Result::Ok(());
            }
            link.to_instance.lock().await.write_all(&bytes[..length]).await?;
            if let Some(plan) = &copies
                && link.run.borrow_mut().rng.random::<f64>() < plan.share
            {
                spawn_local(write_surplus(link.clone(), plan.clone(), bytes[..length].to_vec()));
            }
        }
    };
    // The end of one direction ends both, so that the endpoint learns at once that a call is given up.
    tokio::select! {
        result = requests => result,
        result = responses => result,
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
