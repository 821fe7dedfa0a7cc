use super::*;
use std::io::{Read, Write};

#[test]
fn partitioned_path_delivers_after_healing_and_a_reset_truncates_the_message() {
    let executor: Executor = Rc::new(async_executor::LocalExecutor::new());
    let there = TcpListener::bind("127.0.0.1:0").expect("a port");
    let path = NetworkPath::start(&executor, there.local_addr().expect("an address"), 1).expect("a path");
    path.partition();
    let mut near = TcpStream::connect(path.address).expect("a path that listens");
    near.write_all(b"hello").expect("room");
    let wait = |ms: u64| async_io::block_on(executor.run(Timer::after(Duration::from_millis(ms))));
    wait(50);
    there.set_nonblocking(true).expect("it takes that");
    assert!(there.accept().is_err(), "a partitioned path connects nobody");
    path.heal();
    wait(50);
    let (mut far, _) = there.accept().expect("healed");
    far.set_nonblocking(false).expect("it takes that");
    let mut bytes = [0; 5];
    far.read_exact(&mut bytes).expect("what was sent");
    assert_eq!(&bytes, b"hello");
    path.faults.borrow_mut().resets += 1;
    near.write_all(b"0123456789").expect("room");
    wait(50);
    let mut rest = Vec::new();
    far.read_to_end(&mut rest).expect("an end");
    assert_eq!(rest, b"01234");
}
