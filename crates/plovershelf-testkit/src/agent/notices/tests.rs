use super::NoticeLog;

#[test]
fn resumed_connection_receives_the_notices_that_it_missed() {
    let mut log = NoticeLog::default();
    log.append("request # a", b"x");
    log.append("request # b", b"");
    assert!(!log.has_output(), "nothing is sent before the connection subscribes");
    log.subscribe(1);
    assert_eq!(log.take_output(), b"greeting steady 0\r\nrequest 2 b 0\r\n\r\n");
}
