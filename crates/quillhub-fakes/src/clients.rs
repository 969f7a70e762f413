//! Open-loop clients of one courier: each notice has its instant, and its waits count from then on, whether or not a
//! connection was free. What is denied is handed in again as the day's clients do.

use quillhub_simulator::{FinalOutcome, Scenario};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A client waits so long for the courier's word, then closes.
const PATIENCE: Duration = Duration::from_millis(400);
/// Bytes of a courier's word.
const MOST_WORD: usize = 4 * 1024;

/// A notice to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    pub at: Duration,
    pub grade: usize,
    pub destination: u64,
}

/// What a client knows of a notice, from its instant on.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub due: Due,
    pub denials: u32,
    /// From its instant to the courier's first word.
    pub word: Option<Duration>,
    /// From its instant to its end, and how it ended.
    pub end: Option<(Duration, FinalOutcome)>,
}

/// All notices of a run, and the ids under which they were handed in. Both are as long as the run.
pub struct Book {
    pub orders: Vec<Order>,
    pub ids: BTreeMap<String, usize>,
    /// Handings in by how the courier answered: taken, denied, and anything else or nothing.
    pub taken: u64,
    pub denied: u64,
    pub failed: u64,
    /// From the handing in's first byte to a denial, in the order of their coming.
    pub denial_waits: Vec<Duration>,
    started: Instant,
    day: &'static Scenario,
    rng: Pcg64Mcg,
    next: u64,
}

/// A run's book in its clients' hands.
pub type Shared = Rc<RefCell<Book>>;

impl Book {
    pub fn new(day: &'static Scenario, seed: u64, started: Instant) -> Shared {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (orders, ids, denial_waits) = (Vec::new(), BTreeMap::new(), Vec::new());
        let (taken, denied, failed, next) = (0, 0, 0, 0);
        let book = Self { orders, ids, taken, denied, failed, denial_waits, started, day, rng, next };
        Rc::new(RefCell::new(book))
    }

    /// Whether each notice has its end.
    pub fn is_over(&self) -> bool {
        self.orders.iter().all(|order| order.end.is_some())
    }

    /// An end that came some other way than by the courier's word; only the first counts.
    pub fn ends(&mut self, id: &str, at: Instant, answer: FinalOutcome) -> Option<usize> {
        let order = *self.ids.get(id)?;
        let after = at.saturating_duration_since(self.started + self.orders[order].due.at);
        self.orders[order].end.get_or_insert((after, answer));
        Some(order)
    }
}

/// Driver in `dues`, each at its instant, over at most `connections` at once; ends when the last was handed in.
pub async fn play(book: Shared, courier: SocketAddr, dues: Vec<Due>, connections: usize, body: usize) {
    let pool =
        Rc::new(Pool { idle: RefCell::new(Vec::new()), places: Semaphore::new(connections.max(1)), courier });
    let body: Rc<[u8]> = vec![b'.'; body].into();
    for due in dues {
        let (started, order) = {
            let mut book = book.borrow_mut();
            book.orders.push(Order { due, denials: 0, word: None, end: None });
            (book.started, book.orders.len() - 1)
        };
        sleep_until(started + due.at).await;
        spawn_local(hand_in(book.clone(), pool.clone(), order, body.clone()));
    }
}

/// Denied by the platform's word: its client comes again, as after any denial.
pub fn denied_later(book: Shared, courier: SocketAddr, order: usize, wait: Option<Duration>, body: usize) {
    let pool = Rc::new(Pool { idle: RefCell::new(Vec::new()), places: Semaphore::new(1), courier });
    spawn_local(async move {
        if again(&book, order, wait).await {
            hand_in(book, pool, order, vec![b'.'; body].into()).await;
        }
    });
}

struct Pool {
    idle: RefCell<Vec<TcpStream>>,
    places: Semaphore,
    courier: SocketAddr,
}

/// Waits as a client does after a denial; false if it gives up.
async fn again(book: &Shared, order: usize, told: Option<Duration>) -> bool {
    let wait = {
        let mut book = book.borrow_mut();
        let book = &mut *book;
        let of = &mut book.orders[order];
        of.denials += 1;
        let limit = book.day.service_classes[of.due.grade].deadline;
        let after = book.started.elapsed().saturating_sub(of.due.at);
        if of.denials > book.day.clients.retries || after >= limit {
            of.end.get_or_insert((after, FinalOutcome::Rejected { retry_after: None }));
            return false;
        }
        book.day.clients.backoff.mul_f64(book.rng.random_range(0.5..1.0)).max(told.unwrap_or_default())
    };
    sleep(wait).await;
    true
}

async fn hand_in(book: Shared, pool: Rc<Pool>, order: usize, body: Rc<[u8]>) {
    loop {
        let (id, line) = {
            let mut book = book.borrow_mut();
            let book = &mut *book;
            book.next += 1;
            let id = format!("{:016x}", book.next);
            book.ids.insert(id.clone(), order);
            let due = book.orders[order].due;
            let grade = &book.day.service_classes[due.grade];
            let after = book.started.elapsed().saturating_sub(due.at);
            let left = grade.deadline.saturating_sub(after).as_millis();
            let mark =
                if grade.deduplication_window.is_zero() { String::new() } else { format!(",k={order:016x}") };
            let meta = format!("c={},d={left}{mark},dest={}", grade.name, due.destination);
            (id, meta)
        };
        let parts: [&[u8]; 5] = [b"SUBMIT", b"0000000000000000", id.as_bytes(), line.as_bytes(), &body];
        let command = command(&parts);
        let Ok(place) = pool.places.acquire().await else { return };
        let begun = Instant::now();
        let word =
            timeout(PATIENCE, say(&pool, &command)).await.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()));
        drop(place);
        let denied = {
            let mut book = book.borrow_mut();
            let book = &mut *book;
            let after = book.started.elapsed().saturating_sub(book.orders[order].due.at);
            book.orders[order].word.get_or_insert(after);
            match &word {
                Ok(word) if word.starts_with('+') || word.starts_with('$') => {
                    book.taken += 1;
                    return;
                }
                Ok(word) if word.starts_with("-BUSY") => {
                    book.denied += 1;
                    book.denial_waits.push(begun.elapsed());
                    word["-BUSY".len()..].trim().parse().ok().map(Duration::from_millis)
                }
                _ => {
                    book.failed += 1;
                    book.ids.remove(&id); // what becomes of it under that id counts for nothing
                    None
                }
            }
        };
        if !again(&book, order, denied).await {
            return;
        }
    }
}

/// A command of these parts, as it is written.
pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut command = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        command.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        command.extend_from_slice(part);
        command.extend_from_slice(b"\r\n");
    }
    command
}

/// Writes one command on a kept or a new connection and reads one line.
async fn say(pool: &Pool, command: &[u8]) -> std::io::Result<String> {
    let kept = pool.idle.borrow_mut().pop();
    let fresh = kept.is_none();
    let mut stream = match kept {
        Some(stream) => stream,
        None => open(pool.courier).await?,
    };
    let mut word = ask(&mut stream, command).await;
    // A kept connection may have been closed while it idled; the command goes once more on a new one.
    if word.is_err() && !fresh {
        stream = open(pool.courier).await?;
        word = ask(&mut stream, command).await;
    }
    let word = word?;
    pool.idle.borrow_mut().push(stream);
    Ok(word)
}

/// A new connection to a courier.
pub async fn open(at: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Writes one command and reads one line.
pub async fn ask(stream: &mut TcpStream, command: &[u8]) -> std::io::Result<String> {
    stream.write_all(command).await?;
    let mut read = Vec::new();
    while !read.ends_with(b"\n") {
        if stream.read_buf(&mut read).await? == 0 || read.len() > MOST_WORD {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&read).trim_end().into())
}

/// Whether the courier answers `PING` within `most`.
pub async fn ready(courier: SocketAddr, most: Duration) -> bool {
    let until = Instant::now() + most;
    while Instant::now() < until {
        let asked = async { ask(&mut open(courier).await?, b"*1\r\n$4\r\nPING\r\n").await };
        if let Ok(Ok(word)) = timeout(PATIENCE, asked).await
            && word == "+PONG"
        {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}
