use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

use super::*;

#[test]
fn processor_time_is_parsed_after_a_command_name_with_brackets_and_memory_by_its_key() {
    let stat = "17 (a ) b (c) S 1 17 17 0 -1 4194304 900 0 0 0 250 50 7 8 20 0 3 0 100 1000 200";
    assert_eq!(parse_processor_ms(stat, 100.0), Some(3000.0));
    assert_eq!(parse_processor_ms("17 (truncated", 100.0), None);
    assert_eq!(parse_processor_ms("17 (a) S 1 17", 100.0), None);
    let status = "VmHWM:\t  9000 kB\nVmRSS:\t  4096 kB\nVmRSSx:\t 1 kB\n";
    assert_eq!(parse_kb(status, "VmRSS"), Some(4096.0));
    assert_eq!(parse_kb(status, "VmSwap"), None);
    assert_eq!(parse_kb("VmRSS:\t many\n", "VmRSS"), None);
    assert!(process(std::process::id()).is_some_and(|usage| usage.resident_kb > 0.0));
    assert_eq!(process(u32::MAX), None);
}

fn socket(cookie: u64, sent: u64, received: u64) -> Socket {
    let address = |last: u8, port: u16| SocketAddr::from(([127, 128, 0, last], port));
    Socket { local: address(1, 7400), remote: address(9, 40_000), inode: 5, cookie, sent, received }
}

#[test]
fn traffic_counts_growth_since_the_first_sample_without_the_pollers_connections() {
    let poller_address = IpAddr::from([127, 99, 0, 1]);
    let mut traffic = TrafficCounter::new(&[7400], poller_address, BTreeMap::new());
    let member = IpAddr::from([127, 128, 0, 1]);
    traffic.record_sample(&[socket(1, 100, 1000)], &[], &BTreeMap::new());
    assert_eq!(traffic.member_total(member), None, "a single sample has no difference");
    let polled = Socket { remote: (poller_address, 50_000).into(), ..socket(3, 7, 7) };
    traffic.record_sample(&[socket(1, 110, 1300), socket(2, 5, 20), polled], &[], &BTreeMap::new());
    assert_eq!(traffic.all, Bytes { sent: 15, received: 320 });
    assert_eq!(traffic.member_total(member), Some(335.0));
    // Outgoing connections are attributed by socket inode.
    let outgoing = Socket {
        local: ([127, 0, 0, 1], 41_000).into(),
        remote: ([127, 128, 0, 2], 7400).into(),
        ..socket(4, 50, 1)
    };
    traffic.record_sample(
        &[socket(1, 110, 1300)],
        &[outgoing, Socket { inode: 6, ..outgoing }],
        &BTreeMap::from([(5, member)]),
    );
    assert_eq!(traffic.member_total(member), Some(335.0 + 51.0));
    assert_eq!(
        traffic.member_total(IpAddr::from([127, 128, 0, 3])),
        None,
        "a member without connections has no figure"
    );
}

#[test]
fn the_kernel_counts_the_bytes_of_a_connection() {
    use std::io::{Read, Write};
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a port");
    let address = listener.local_addr().expect("local address");
    let mut outgoing = TcpStream::connect(address).expect("connect");
    let (mut accepted, _) = listener.accept().expect("accept");
    outgoing.write_all(&[1; 700]).expect("write");
    accepted.read_exact(&mut [0; 700]).expect("read");
    let listed = sockets(address.port(), true).expect("the kernel lists its sockets");
    let local = outgoing.local_addr().expect("local address");
    let found: Vec<&Socket> = listed.iter().filter(|socket| socket.remote == local).collect();
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].local, found[0].received), (address, 700));
    assert!(socket_inodes(std::process::id()).contains(&found[0].inode));
    assert!(parse_sockets(&[1, 2, 3], &mut Vec::new()).is_err(), "a truncated datagram is an error");
}
