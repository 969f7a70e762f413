//! Endpoint for tests whose connections follow scripts, down to the single write.

use crate::test_support::OK;
use quillhub_fakes::accept::accept_each;
use quillhub_fakes::http::parse_request;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Step of a connection's script.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// Reads a whole request.
    Read,
    /// Reads the first part of a request.
    ReadPart,
    /// Writes bytes.
    Write(&'static [u8]),
    /// Waits for [`ScriptedEndpoint::release`].
    Release,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Endpoint whose first connections follow a script each and stay open at its end unless that closes them. On further
/// connections it delivers every message.
pub(super) struct ScriptedEndpoint {
    pub(super) address: SocketAddr,
    /// Notified when a connection that waits for the release may go on.
    pub(super) release: Rc<Notify>,
    /// Notified after each write of a script.
    pub(super) written: Rc<Notify>,
    /// Client ids of the complete requests, in order of arrival.
    calls: Rc<RefCell<Vec<String>>>,
    /// Client ids of the messages that were delivered on connections without a script.
    delivered: Rc<RefCell<Vec<String>>>,
}

/// State of one connection.
struct Connection {
    stream: TcpStream,
    unparsed: Vec<u8>,
    calls: Rc<RefCell<Vec<String>>>,
    delivered: Rc<RefCell<Vec<String>>>,
}

impl Connection {
    /// Reads a whole request and records it; `false` at the end of the stream.
    async fn read_request(&mut self) -> io::Result<bool> {
        loop {
            if let Some((request, used)) = parse_request(&self.unparsed)? {
                self.unparsed.drain(..used);
                self.calls.borrow_mut().push(request.id.unwrap_or_default());
                return Ok(true);
            }
            if self.stream.read_buf(&mut self.unparsed).await? == 0 {
                return Ok(false);
            }
        }
    }

    async fn deliver_all(&mut self) -> io::Result<()> {
        while self.read_request().await? {
            self.stream.write_all(OK).await?;
            self.delivered.borrow_mut().extend(self.calls.borrow().last().cloned());
        }
        Ok(())
    }

    /// Follows the script, then reads what else arrives.
    async fn follow(&mut self, script: &[Step], release: &Notify, written: &Notify) -> io::Result<()> {
        for step in script {
            match step {
                Step::Read => drop(self.read_request().await?),
                Step::ReadPart => drop(self.stream.read_buf(&mut self.unparsed).await?),
                Step::Write(bytes) => {
                    self.stream.write_all(bytes).await?;
                    written.notify_one();
                }
                Step::Release => release.notified().await,
                Step::Close => return Ok(()),
                Step::Reset => return socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)),
            }
        }
        while self.read_request().await? {}
        Ok(())
    }
}

impl ScriptedEndpoint {
    /// Starts an endpoint with a script for each of its first connections.
    pub(super) async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let endpoint = Self {
            address,
            release: Rc::default(),
            written: Rc::default(),
            calls: Rc::default(),
            delivered: Rc::default(),
        };
        let (release, written) = (endpoint.release.clone(), endpoint.written.clone());
        let (calls, delivered) = (endpoint.calls.clone(), endpoint.delivered.clone());
        let connections = Cell::new(0);
        spawn_local(accept_each(listener, move |stream| {
            let script = scripts.get(connections.replace(connections.get() + 1)).cloned();
            let (release, written) = (release.clone(), written.clone());
            let (calls, delivered) = (calls.clone(), delivered.clone());
            let mut connection = Connection { stream, unparsed: Vec::new(), calls, delivered };
            async move {
                connection.stream.set_nodelay(true)?;
                match script {
                    Some(script) => connection.follow(&script, &release, &written).await,
                    None => connection.deliver_all().await,
                }
            }
        }));
        endpoint
    }

    /// Returns the number of calls of each message, in order of their first calls.
    pub(super) fn calls_of_each(&self) -> Vec<usize> {
        let mut counts: Vec<(String, usize)> = Vec::new();
        for id in self.calls.borrow().iter() {
            match counts.iter_mut().find(|(counted, _)| counted == id) {
                Some((_, count)) => *count += 1,
                None => counts.push((id.clone(), 1)),
            }
        }
        counts.into_iter().map(|(_, count)| count).collect()
    }

    /// Returns the client ids of the messages that were delivered on connections without a script, in order.
    pub(super) fn delivered(&self) -> Vec<String> {
        self.delivered.borrow().clone()
    }
}
