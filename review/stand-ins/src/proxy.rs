//! Proxy that passes on the bytes of each connection after a fixed delay in each direction, like a network path.

use crate::http::{Connection, Server};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a proxy for the server at `port`, and returns its server.
pub fn start(port: u16, delay: Duration) -> std::io::Result<Server> {
    Server::start(0, move |connection: Connection| {
        let Ok(server) = TcpStream::connect(("127.0.0.1", port)) else { return };
        let _ = server.set_nodelay(true);
        let client = connection.into_stream();
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else { return };
        pass_on(client, server, delay);
        pass_on(server_copy, client_copy, delay);
    })
}

/// Passes on what arrives on `from` to `to`, each piece after `delay`, and then its end.
fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut chunk = [0; 16 * 1024];
        loop {
            let length = from.read(&mut chunk).unwrap_or(0);
            if sender.send((Instant::now() + delay, chunk[..length].to_vec())).is_err() || length == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
