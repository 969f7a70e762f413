use super::*;
use std::sync::Arc;

// Discovery and platform share an address, and a connection counts for discovery until a request shows that it is for
// the platform. Counts left behind would be attributed to discovery.
#[test]
fn a_connection_counts_for_its_server_until_it_moves_to_another() {
    let (discovery, platform) = (Arc::new(Traffic::default()), Arc::new(Traffic::default()));
    let mut connection = ConnectionTraffic::accepted(discovery.clone());
    connection.add_read(100);
    connection.add_request();
    connection.add_written(1_449);
    let counts = discovery.counts();
    assert_eq!((counts.connections, counts.requests, counts.bytes(), counts.packets()), (1, 1, 1_549, 6));
    connection.move_to(&platform);
    assert_eq!((discovery.counts(), discovery.open_connections()), (Counts::default(), 0));
    assert_eq!((platform.counts(), platform.open_connections()), (counts, 1));
    drop(connection);
    assert_eq!((platform.counts(), platform.open_connections()), (counts, 0));
}

#[test]
fn the_traffic_since_an_earlier_count_is_the_difference_of_the_counts() {
    let server = Arc::new(Traffic::default());
    let mut connection = ConnectionTraffic::accepted(server.clone());
    connection.add_read(10);
    let earlier = server.counts();
    connection.add_written(30);
    let since = server.counts() - earlier;
    assert_eq!(since, Counts { bytes_out: 30, segments: 1, ..Counts::default() });
}
