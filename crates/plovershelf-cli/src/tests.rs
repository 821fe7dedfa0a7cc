use super::*;

#[test]
fn the_command_line_definition_is_consistent_and_errors_fit_in_one_line() {
    use clap::CommandFactory;
    Arguments::command().debug_assert();
    let invalid = Arguments::try_parse_from(["plovershelf", "trial", "x", "--seconds", "many"]).err();
    let message = one_line(&invalid.expect("the value is invalid").to_string());
    assert!(message.starts_with("invalid value 'many' for '--seconds <SECONDS>'"), "{message}");
    assert_eq!(message.lines().count(), 1);
}
