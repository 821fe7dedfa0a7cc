use super::*;

#[test]
fn the_commands_arguments_agree_with_each_other() {
    use clap::CommandFactory;
    Arguments::command().debug_assert();
    let wrong = Arguments::try_parse_from(["plovershelf", "trial", "x", "--seconds", "many"]).err();
    let told = one_line(&wrong.expect("no number").to_string());
    assert!(told.starts_with("invalid value 'many' for '--seconds <SECONDS>'"), "{told}");
    assert_eq!(told.lines().count(), 1);
}
