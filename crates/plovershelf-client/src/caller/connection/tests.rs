use super::*;

fn open_connection() -> (Connection, ClientConfig) {
    let mut connection = Connection::new(EndpointId(1), 0.0);
    connection.set_established(0.0);
    (connection, ClientConfig::default())
}

/// An endpoint may respond to a cancelled attempt, which is late but valid. A second response violates the
/// protocol.
#[test]
fn response_to_a_cancelled_attempt_is_distinguished_from_an_unknown_one() {
    let (mut connection, _) = open_connection();
    let sequence = connection.send(1.0, CallId(7));
    assert!(connection.cancel(2.0, sequence) && !connection.cancel(2.0, sequence));
    assert!(matches!(connection.take_answered(3.0, sequence), AnsweredAttempt::Cancelled));
    assert!(matches!(connection.take_answered(3.0, sequence), AnsweredAttempt::Unknown));
}

#[test]
fn unresponsive_connection_with_an_attempt_in_flight_is_probed_and_times_out() {
    let (mut connection, config) = open_connection();
    connection.send(1.0, CallId(7));
    assert_eq!(connection.check(250.0, &config), ConnectionCheck::Ok);
    assert_eq!(connection.check(251.0, &config), ConnectionCheck::ProbeDue);
    let sequence = connection.start_probe(251.0).expect("sequence numbers are left");
    assert_eq!(connection.check(750.0, &config), ConnectionCheck::Ok);
    assert_eq!(connection.check(751.0, &config), ConnectionCheck::ProbeTimedOut);
    assert!(connection.complete_probe(sequence) && !connection.complete_probe(sequence));
}

#[test]
fn connection_that_requires_a_health_check_takes_attempts_only_after_it() {
    let (mut connection, config) = open_connection();
    connection.require_health_check();
    assert!(!connection.has_capacity(&config));
    let sequence = connection.start_probe(0.0).expect("sequence numbers are left");
    assert!(!connection.complete_probe(sequence + 1) && !connection.has_capacity(&config));
    assert!(connection.complete_probe(sequence) && connection.has_capacity(&config));
}
