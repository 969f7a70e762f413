use super::*;
use crate::test_support::{UNREACHED_TIMEOUT, on_one_thread, process_at, silent_endpoint};
use tokio::net::TcpListener;

/// Returns the connection that [`ConnectionPool::take`] returns for a call at the start of the clock.
fn take(pool: &mut ConnectionPool) -> Option<HttpConnection> {
    let times = CallTimes { now: Duration::ZERO, deadline: UNREACHED_TIMEOUT };
    pool.take("e", times).connection.map(|(connection, _)| connection)
}

#[test]
fn a_pooled_connection_is_reused_until_it_closes_is_dropped_or_expires() {
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut pool = ConnectionPool::new(UNREACHED_TIMEOUT, 2);
        pool.endpoint_listed("e", process_at(address));
        pool.put_back("e", Some(process_at(address)), HttpConnection::open(address).await.unwrap(), None);
        assert!(take(&mut pool).is_some() && take(&mut pool).is_none());

        pool.put_back("e", Some(process_at(address)), HttpConnection::open(address).await.unwrap(), None);
        pool.retire("e");
        assert!(take(&mut pool).is_none());

        for _ in 0..3 {
            let _ = pool.close_oldest_beyond(pool.max_idle() - 1);
            pool.put_back("e", Some(process_at(address)), HttpConnection::open(address).await.unwrap(), None);
        }
        assert_eq!(pool.idle["e"].len(), 2);
        pool.endpoint_listed("e", process_at("127.0.0.1:1".parse().unwrap()));
        assert!(take(&mut pool).is_none());

        pool.put_back("gone", Some(process_at(address)), HttpConnection::open(address).await.unwrap(), None);
        assert!(!pool.idle.contains_key("gone"));

        let mut short_lived = ConnectionPool::new(Duration::ZERO, 2);
        short_lived.endpoint_listed("e", process_at(address));
        short_lived.put_back(
            "e",
            Some(process_at(address)),
            HttpConnection::open(address).await.unwrap(),
            None,
        );
        assert!(take(&mut short_lived).is_none());
    });
}

/// The runtime updates the readiness of a socket only when it next waits for events. A request that is written before
/// that would be lost on a closed connection, or take surplus input for its response.
#[test]
fn a_pooled_connection_that_closed_or_received_input_since_the_last_wait_is_not_reused() {
    on_one_thread(async {
        for received in [&b""[..], b"HTTP/1.1 40"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let mut pool = ConnectionPool::new(UNREACHED_TIMEOUT, 2);
            pool.endpoint_listed("e", process_at(address));
            pool.put_back("e", Some(process_at(address)), HttpConnection::open(address).await.unwrap(), None);
            let mut peer = listener.accept().await.unwrap().0.into_std().unwrap();
            // No await from here on, so that the runtime does not update the readiness of the socket.
            std::io::Write::write_all(&mut peer, received).unwrap();
            let peer = Some(peer).filter(|_| !received.is_empty());
            assert!(take(&mut pool).is_none(), "{}", if peer.is_some() { "surplus input" } else { "closed" });
        }
    });
}

/// Guards against calls on a connection to an earlier process of an endpoint, whose call ended after the endpoint had got
/// another address, destination or start: they reached another endpoint or ran twice.
#[test]
fn a_connection_to_an_earlier_process_of_an_endpoint_is_not_reused() {
    on_one_thread(async {
        let (address, _listener) = silent_endpoint().await;
        let before = process_at(address);
        let others = [
            EndpointProcess { address: "127.0.0.1:1".parse().unwrap(), ..before },
            EndpointProcess { destination: before.destination + 1, ..before },
            EndpointProcess { up_since_ms: 1, ..before },
        ];
        for now in others.map(Some).into_iter().chain([None, Some(before)]) {
            let mut pool = ConnectionPool::new(UNREACHED_TIMEOUT, 8);
            pool.endpoint_listed("e", before);
            match now {
                Some(process) => pool.endpoint_listed("e", process),
                None => pool.endpoint_removed("e"),
            }
            let connection = HttpConnection::open(address).await.unwrap();
            pool.put_back("e", Some(before), connection, None);
            let times = CallTimes { now: Duration::ZERO, deadline: Duration::ZERO };
            assert_eq!(pool.take("e", times).connection.is_some(), now == Some(before), "{now:?}");
        }
    });
}
