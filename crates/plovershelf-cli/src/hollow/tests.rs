use super::*;

#[test]
fn commands_round_trip_and_malformed_lines_are_named_in_the_error() {
    let propose = HollowCommand::Propose {
        member: "m1".into(),
        key: "scale".into(),
        number: 7,
        bytes: b"seven".to_vec(),
    };
    for command in [HollowCommand::Begin, propose] {
        assert_eq!(HollowCommand::parse(&command.to_line()), Ok(command));
    }
    for (wrong, named) in [("kill m1", "kill m1"), ("word m1 scale x seven", "\"x\""), ("", "begin")] {
        let error = HollowCommand::parse(wrong).expect_err(wrong);
        assert!(error.contains(named), "{error}");
    }
}
