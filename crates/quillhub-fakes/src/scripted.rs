//! A server that answers what it is told to, call by call.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;

/// A response with status 200.
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Whether all of a call is there, or nothing that tells its length.
fn is_complete(call: &[u8]) -> bool {
    let text = String::from_utf8_lossy(call);
    let Some((head, _)) = text.split_once("\r\n\r\n") else { return !text.starts_with("POST") };
    let length = head.split_once("Content-Length: ").map(|(_, rest)| rest.lines().next().unwrap());
    call.len() >= head.len() + 4 + length.map_or(0, |length| length.parse().unwrap())
}

/// Takes one call a connection: answers each with the next of `answers` and leaves the connection open, or
/// closes it where that is empty. The receiver gets what was read.
pub async fn answering(answers: Vec<&'static [u8]>) -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (at, (tell, told)) = (listener.local_addr().unwrap(), unbounded_channel());
    spawn_local(async move {
        let mut open = Vec::new();
        for answer in answers {
            let mut stream = listener.accept().await.unwrap().0;
            let mut read = Vec::new();
            while stream.read_buf(&mut read).await.unwrap() > 0 && !is_complete(&read) {}
            let _ = tell.send(String::from_utf8_lossy(&read).into_owned());
            if !answer.is_empty() {
                stream.write_all(answer).await.unwrap();
                open.push(stream);
            }
        }
        std::future::pending::<()>().await;
    });
    (at, told)
}

/// An address where no connection comes up, as long as what is given with it is kept: its queue is full, and nobody
/// accepts.
pub fn full() -> (SocketAddr, (Socket, std::net::TcpStream)) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let at = socket.local_addr().unwrap().as_socket().unwrap();
    (at, (socket, std::net::TcpStream::connect(at).unwrap()))
}
