use crate::agent::{self, Notice, RunResult};
use crate::dependency::{self, Reply};
use crate::AttemptId;

const ID: AttemptId = *b"9b1f03aa5c7e2d41";
const NAME: &str = "9b1f03aa5c7e2d41";

fn notice(text: &str) -> Notice<'_> {
    let (notice, used) = agent::decode_first(text.as_bytes(), 100).expect("it parses").expect("it is whole");
    assert_eq!(used, text.len());
    notice
}

#[test]
fn notices_are_read_with_the_bytes_that_belong_to_them() {
    let told = format!("outcome 7 {NAME} success 96 5\r\na\r\nbc\r\n");
    let Notice::RunEnded { number: 7, id: ID, over: RunResult::Succeeded, result: b"a\r\nbc" } =
        notice(&told)
    else {
        panic!()
    };
    let told = format!("request 8 {NAME} 0\r\n\r\n");
    assert_eq!(notice(&told), Notice::CallRequested { number: 8, id: ID, call: b"" });
    assert_eq!(notice("greeting booting 12\r\n"), Notice::Greeting { fresh: true, up_for_ms: 12.0 });
    let gauges = vec![0.5, 12.0, 0.25, 24.0];
    assert_eq!(notice("sampled 3 0.5 12 0.25 24\r\n"), Notice::Sampled { tag: b"3", gauges });
    let told = format!("refusal launch {NAME}\r\n");
    assert_eq!(notice(&told), Notice::CommandRejected { command: b"launch", about: &ID });
    assert_eq!(notice("refusal sample 0\r\n"), Notice::CommandRejected { command: b"sample", about: b"0" });
    assert_eq!(notice("aside 9 any words at all\r\n"), Notice::Skipped { number: 9 });
}

#[test]
fn a_notice_in_parts_is_waited_for() {
    let told = format!("outcome 7 {NAME} failure 96 3\r\nabc\r\n");
    for end in 0..told.len() {
        assert_eq!(agent::decode_first(&told.as_bytes()[..end], 100), Ok(None), "{end}");
    }
}

#[test]
fn lines_that_are_none_of_the_agents_or_the_ledgers_are_errors() {
    let long = "x".repeat(2000);
    let far = format!("outcome 7 {NAME} success 9 101\r\n");
    let negative = format!("request 7 {NAME} -1\r\n");
    let unended = format!("request 7 {NAME} 2\r\nabcd");
    let odd = [
        "\r\n",
        "greeting up 1\r\n",
        "outcome 1 2 success 3 0\r\n",
        "sampled 3 one\r\n",
        "greeting booting 1\n",
    ];
    for text in odd.into_iter().chain([&long[..], &far, &negative, &unended]) {
        assert!(agent::decode_first(text.as_bytes(), 100).is_err(), "{text:?}");
    }
    let far = format!("{NAME} DONE 101\r\n");
    for text in ["\r\n", "x WAIT\r\n", "9b1f03aa5c7e2d41 LATER\r\n", "9b1f03aa5c7e2d41 DONE x\r\n", &far] {
        assert!(dependency::decode_first(text.as_bytes(), 100).is_err(), "{text:?}");
    }
}

#[test]
fn answers_of_the_ledger_are_read() {
    let told = format!("{NAME} DONE 4\r\n\r\n\r\n\r\n{NAME} WAIT\r\n");
    let (id, answer, used) = dependency::decode_first(told.as_bytes(), 100).unwrap().unwrap();
    assert_eq!((id, answer), (ID, Reply::Done(b"\r\n\r\n")));
    assert_eq!(dependency::decode_first(&told.as_bytes()[used..], 100).unwrap().unwrap().1, Reply::Rejected);
    for (word, answer) in [("ERROR", Reply::Failed), ("PAST", Reply::Expired), ("EMPTY", Reply::NoWaitingRun)]
    {
        let told = format!("{NAME} {word}\r\n");
        assert_eq!(dependency::decode_first(told.as_bytes(), 100), Ok(Some((ID, answer, told.len()))));
    }
}

#[test]
fn commands_and_calls_are_written_as_their_readers_expect() {
    assert_eq!(agent::launch(&ID, "quick", b"b\r\n"), b"launch 9b1f03aa5c7e2d41 quick 3\r\nb\r\n\r\n");
    assert_eq!(agent::deliver(&ID, b""), b"deliver 9b1f03aa5c7e2d41 0\r\n\r\n");
    assert_eq!(agent::cancel_run(&ID), b"freeze 9b1f03aa5c7e2d41\r\n");
    assert_eq!([agent::subscribe(41), agent::sample(7)].concat(), b"subscribe 41\r\nsample 7\r\n");
    assert_eq!(dependency::call(&ID, 250.9, b"x"), b"OP 9b1f03aa5c7e2d41 250 1\r\nx\r\n");
    assert_eq!(dependency::abandon(&ID), b"UNOP 9b1f03aa5c7e2d41\r\n");
    assert_eq!(crate::registry::heartbeat("n3", true), b"BEAT n3 draining");
}
