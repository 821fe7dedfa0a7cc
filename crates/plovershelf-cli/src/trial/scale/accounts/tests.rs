use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

use super::*;

#[test]
fn processor_time_is_found_behind_a_name_with_brackets_and_memory_by_its_key() {
    let stat = "17 (a ) b (c) S 1 17 17 0 -1 4194304 900 0 0 0 250 50 7 8 20 0 3 0 100 1000 200";
    assert_eq!(processor_ms(stat, 100.0), Some(3000.0));
    assert_eq!(processor_ms("17 (torn", 100.0), None);
    assert_eq!(processor_ms("17 (a) S 1 17", 100.0), None);
    let status = "VmHWM:\t  9000 kB\nVmRSS:\t  4096 kB\nVmRSSx:\t 1 kB\n";
    assert_eq!(told_kb(status, "VmRSS"), Some(4096.0));
    assert_eq!(told_kb(status, "VmSwap"), None);
    assert_eq!(told_kb("VmRSS:\t many\n", "VmRSS"), None);
    assert!(process(std::process::id()).is_some_and(|own| own.resident_kb > 0.0));
    assert_eq!(process(u32::MAX), None);
}

fn socket(cookie: u64, sent: u64, received: u64) -> Socket {
    let at = |last: u8, port: u16| SocketAddr::from(([127, 128, 0, last], port));
    Socket { local: at(1, 7400), remote: at(9, 40_000), inode: 5, cookie, sent, received }
}

#[test]
fn a_tally_counts_what_grew_and_leaves_out_what_was_there_before_and_the_trials_own() {
    let own = IpAddr::from([127, 99, 0, 1]);
    let mut tally = Tally::new(&[7400], own, BTreeMap::new());
    let member = IpAddr::from([127, 128, 0, 1]);
    tally.take(&[socket(1, 100, 1000)], &[], &BTreeMap::new());
    assert_eq!(tally.of(member), None, "one look tells no difference");
    let asked = Socket { remote: (own, 50_000).into(), ..socket(3, 7, 7) };
    tally.take(&[socket(1, 110, 1300), socket(2, 5, 20), asked], &[], &BTreeMap::new());
    assert_eq!(tally.all, Bytes { sent: 15, received: 320 });
    assert_eq!(tally.of(member), Some(335.0));
    // Links that it made are told by their inodes.
    let out = Socket {
        local: ([127, 0, 0, 1], 41_000).into(),
        remote: ([127, 128, 0, 2], 7400).into(),
        ..socket(4, 50, 1)
    };
    tally.take(&[socket(1, 110, 1300)], &[out, Socket { inode: 6, ..out }], &BTreeMap::from([(5, member)]));
    assert_eq!(tally.of(member), Some(335.0 + 51.0));
    assert_eq!(tally.of(IpAddr::from([127, 128, 0, 3])), None, "one that was never seen has no figure");
}

#[test]
fn the_kernel_tells_the_bytes_of_a_connection() {
    use std::io::{Read, Write};
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let at = listener.local_addr().expect("an address");
    let mut out = TcpStream::connect(at).expect("a connection");
    let (mut in_, _) = listener.accept().expect("accepted");
    out.write_all(&[1; 700]).expect("written");
    in_.read_exact(&mut [0; 700]).expect("read");
    let seen = sockets(at.port(), true).expect("the kernel tells");
    let local = out.local_addr().expect("an address");
    let found: Vec<&Socket> = seen.iter().filter(|socket| socket.remote == local).collect();
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].local, found[0].received), (at, 700));
    assert!(sockets_of(std::process::id()).contains(&found[0].inode));
    assert!(read_sockets(&[1, 2, 3], &mut Vec::new()).is_err(), "what is torn is no data");
}
