use super::*;
use std::io::{Read, Write};

#[test]
fn partitioned_path_delivers_after_healing_and_a_reset_truncates_the_message() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind the listener");
    let listener_address = listener.local_addr().expect("address of the listener");
    let path = NetworkPath::start(&executor, listener_address, 1).expect("start the path");
    path.partition();
    let mut client = TcpStream::connect(path.address).expect("connect to the path");
    client.write_all(b"hello").expect("write to the path");
    let wait = |ms: u64| async_io::block_on(executor.run(Timer::after(Duration::from_millis(ms))));
    wait(50);
    listener.set_nonblocking(true).expect("set the listener nonblocking");
    assert!(listener.accept().is_err(), "a partitioned path must not connect to the listener");
    path.heal();
    wait(50);
    let (mut server, _) = listener.accept().expect("a healed path connects to the listener");
    server.set_nonblocking(false).expect("set the stream blocking");
    let mut bytes = [0; 5];
    server.read_exact(&mut bytes).expect("read the bytes sent before healing");
    assert_eq!(&bytes, b"hello");
    path.faults.borrow_mut().resets += 1;
    client.write_all(b"0123456789").expect("write to the path");
    wait(50);
    let mut rest = Vec::new();
    server.read_to_end(&mut rest).expect("read to the end of the stream");
    assert_eq!(rest, b"01234");
}
