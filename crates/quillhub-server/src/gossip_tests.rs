use super::*;

#[test]
fn gossip_messages_are_sent_up_to_the_maximum_length_and_longer_ones_are_dropped() {
    crate::test_support::on_one_thread(async {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let listen = "127.0.0.1:0".parse().unwrap();
        let gossip = GossipSocket::open(listen, other.local_addr().unwrap(), None).await.unwrap();
        gossip.broadcast(&[1; MAX_DATAGRAM_BYTES + 1]);
        gossip.broadcast(&[2; MAX_DATAGRAM_BYTES]);
        let mut bytes = [0; 2 * MAX_DATAGRAM_BYTES];
        let (length, from) = other.recv_from(&mut bytes).await.unwrap();
        assert_eq!((length, bytes[0]), (MAX_DATAGRAM_BYTES, 2), "the message that is too long was not sent");
        assert_eq!(from, gossip.socket.local_addr().unwrap());
    });
}
