use super::*;

#[test]
fn notes_of_any_length_up_to_the_bound_are_sent_and_longer_ones_are_not() {
    crate::test_support::on_one_thread(async {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let listen = "127.0.0.1:0".parse().unwrap();
        let peers = Peers::open(listen, other.local_addr().unwrap(), None).await.unwrap();
        peers.tell(&[1; MOST + 1]);
        peers.tell(&[2; MOST]);
        let mut octets = [0; 2 * MOST];
        let (length, from) = other.recv_from(&mut octets).await.unwrap();
        assert_eq!((length, octets[0]), (MOST, 2), "the one that is too long never came");
        assert_eq!(from, peers.socket.local_addr().unwrap());
    });
}
