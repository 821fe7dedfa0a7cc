use super::*;

fn open() -> (Connection, ClientConfig) {
    let mut connection = Connection::new(EndpointId(1), 0.0);
    connection.established(0.0);
    (connection, ClientConfig::default())
}

/// A cancelled attempt may be answered all the same: that is late, and no violation of the protocol as a second answer is.
#[test]
fn answer_to_a_cancelled_attempt_is_told_from_an_answer_to_nothing() {
    let (mut connection, _) = open();
    let sequence = connection.send(1.0, CallId(7));
    assert!(connection.cancel(2.0, sequence) && !connection.cancel(2.0, sequence));
    assert!(matches!(connection.answered(3.0, sequence), AnsweredAttempt::Cancelled));
    assert!(matches!(connection.answered(3.0, sequence), AnsweredAttempt::Unknown));
}

#[test]
fn silent_connection_with_an_attempt_in_flight_is_probed_and_given_up() {
    let (mut connection, config) = open();
    connection.send(1.0, CallId(7));
    assert_eq!(connection.check(250.0, &config), ConnectionCheck::InOrder);
    assert_eq!(connection.check(251.0, &config), ConnectionCheck::ProbeDue);
    let sequence = connection.start_probe(251.0).expect("numbers are left");
    assert_eq!(connection.check(750.0, &config), ConnectionCheck::InOrder);
    assert_eq!(connection.check(751.0, &config), ConnectionCheck::ProbeNotAnswered);
    assert!(connection.probe_answered(sequence) && !connection.probe_answered(sequence));
}

#[test]
fn connection_that_has_to_prove_itself_takes_attempts_after_its_health_check() {
    let (mut connection, config) = open();
    connection.require_proof();
    assert!(!connection.has_capacity(&config));
    let sequence = connection.start_probe(0.0).expect("numbers are left");
    assert!(!connection.probe_answered(sequence + 1) && !connection.has_capacity(&config));
    assert!(connection.probe_answered(sequence) && connection.has_capacity(&config));
}
