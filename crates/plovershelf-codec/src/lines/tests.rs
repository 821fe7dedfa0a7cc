use crate::agent::{self, Notice, RunResult};
use crate::dependency::{self, Reply};
use crate::AttemptId;

const ID: AttemptId = *b"9b1f03aa5c7e2d41";
const NAME: &str = "9b1f03aa5c7e2d41";

fn notice(text: &str) -> Notice<'_> {
    let (notice, used) = agent::decode_first(text.as_bytes(), 100).expect("valid").expect("complete");
    assert_eq!(used, text.len());
    notice
}

#[test]
fn notices_are_decoded_with_their_bodies() {
    let text = format!("outcome 7 {NAME} success 96 5\r\na\r\nbc\r\n");
    let Notice::RunEnded { number: 7, id: ID, over: RunResult::Succeeded, result: b"a\r\nbc" } =
        notice(&text)
    else {
        panic!()
    };
    let text = format!("request 8 {NAME} 0\r\n\r\n");
    assert_eq!(notice(&text), Notice::CallRequested { number: 8, id: ID, call: b"" });
    assert_eq!(notice("greeting booting 12\r\n"), Notice::Greeting { fresh: true, uptime_ms: 12.0 });
    let gauges = vec![0.5, 12.0, 0.25, 24.0];
    assert_eq!(notice("sampled 3 0.5 12 0.25 24\r\n"), Notice::Sampled { tag: b"3", gauges });
    let text = format!("refusal launch {NAME}\r\n");
    assert_eq!(notice(&text), Notice::CommandRejected { command: b"launch", about: &ID });
    assert_eq!(notice("refusal sample 0\r\n"), Notice::CommandRejected { command: b"sample", about: b"0" });
    assert_eq!(notice("aside 9 any words at all\r\n"), Notice::Skipped { number: 9 });
}

#[test]
fn incomplete_notice_is_not_an_error() {
    let text = format!("outcome 7 {NAME} failure 96 3\r\nabc\r\n");
    for end in 0..text.len() {
        assert_eq!(agent::decode_first(&text.as_bytes()[..end], 100), Ok(None), "{end}");
    }
}

#[test]
fn malformed_notices_and_replies_are_errors() {
    let long_line = "x".repeat(2000);
    let long_body = format!("outcome 7 {NAME} success 9 101\r\n");
    let negative_length = format!("request 7 {NAME} -1\r\n");
    let wrong_length = format!("request 7 {NAME} 2\r\nabcd");
    let malformed = [
        "\r\n",
        "greeting up 1\r\n",
        "outcome 1 2 success 3 0\r\n",
        "sampled 3 one\r\n",
        "greeting booting 1\n",
    ];
    for text in malformed.into_iter().chain([&long_line[..], &long_body, &negative_length, &wrong_length]) {
        assert!(agent::decode_first(text.as_bytes(), 100).is_err(), "{text:?}");
    }
    let long_body = format!("{NAME} DONE 101\r\n");
    let malformed =
        ["\r\n", "x WAIT\r\n", "9b1f03aa5c7e2d41 LATER\r\n", "9b1f03aa5c7e2d41 DONE x\r\n", &long_body];
    for text in malformed {
        assert!(dependency::decode_first(text.as_bytes(), 100).is_err(), "{text:?}");
    }
}

#[test]
fn replies_of_the_dependency_are_decoded() {
    let text = format!("{NAME} DONE 4\r\n\r\n\r\n\r\n{NAME} WAIT\r\n");
    let (id, reply, used) = dependency::decode_first(text.as_bytes(), 100).unwrap().unwrap();
    assert_eq!((id, reply), (ID, Reply::Done(b"\r\n\r\n")));
    assert_eq!(dependency::decode_first(&text.as_bytes()[used..], 100).unwrap().unwrap().1, Reply::Rejected);
    for (word, reply) in [("ERROR", Reply::Failed), ("PAST", Reply::Expired), ("EMPTY", Reply::NoWaitingRun)]
    {
        let text = format!("{NAME} {word}\r\n");
        assert_eq!(dependency::decode_first(text.as_bytes(), 100), Ok(Some((ID, reply, text.len()))));
    }
}

#[test]
fn commands_and_calls_are_encoded_as_expected() {
    assert_eq!(agent::launch(&ID, "quick", b"b\r\n"), b"launch 9b1f03aa5c7e2d41 quick 3\r\nb\r\n\r\n");
    assert_eq!(agent::deliver(&ID, b""), b"deliver 9b1f03aa5c7e2d41 0\r\n\r\n");
    assert_eq!(agent::cancel_run(&ID), b"freeze 9b1f03aa5c7e2d41\r\n");
    assert_eq!([agent::subscribe(41), agent::sample(7)].concat(), b"subscribe 41\r\nsample 7\r\n");
    assert_eq!(dependency::call(&ID, 250.9, b"x"), b"OP 9b1f03aa5c7e2d41 250 1\r\nx\r\n");
    assert_eq!(dependency::abandon(&ID), b"UNOP 9b1f03aa5c7e2d41\r\n");
    assert_eq!(crate::registry::heartbeat("n3", true), b"BEAT n3 draining");
}
