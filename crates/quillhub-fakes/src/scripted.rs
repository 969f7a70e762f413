//! A server with a fixed sequence of responses, and an address to which no connection can be established.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::spawn_local;

/// Response with status 200.
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Returns `true` if `request` has its whole body; a request other than POST counts as complete before its
/// head ends.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, _)) = text.split_once("\r\n\r\n") else { return !text.starts_with("POST") };
    let length = head.split_once("Content-Length: ").map(|(_, rest)| rest.lines().next().unwrap());
    request.len() >= head.len() + 4 + length.map_or(0, |length| length.parse().unwrap())
}

/// Starts a server that accepts one connection for each of `responses`, one after the other.
///
/// The server reads one request from a connection, writes the response and leaves the connection open; it closes the
/// connection without a response if the response is empty. Afterwards it accepts no more connections. Returns its
/// address and a receiver of the requests as read.
pub async fn scripted_server(responses: Vec<&'static [u8]>) -> (SocketAddr, UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, (request_sender, requests)) = (listener.local_addr().unwrap(), unbounded_channel());
    spawn_local(async move {
        let mut open = Vec::new();
        for response in responses {
            let mut stream = listener.accept().await.unwrap().0;
            let mut read = Vec::new();
            while stream.read_buf(&mut read).await.unwrap() > 0 && !is_complete(&read) {}
            let _ = request_sender.send(String::from_utf8_lossy(&read).into_owned());
            if !response.is_empty() {
                stream.write_all(response).await.unwrap();
                open.push(stream);
            }
        }
        std::future::pending::<()>().await;
    });
    (address, requests)
}

/// Returns an address to which no connection can be established while the returned sockets are kept open.
///
/// The listener's queue has one connection, which is never accepted, so it is full.
pub fn unconnectable_address() -> (SocketAddr, (Socket, std::net::TcpStream)) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (address, (socket, std::net::TcpStream::connect(address).unwrap()))
}
