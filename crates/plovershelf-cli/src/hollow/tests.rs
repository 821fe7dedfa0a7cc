use super::*;

#[test]
fn lines_come_back_as_they_were_written_and_others_are_refused_by_name() {
    let word = Line::Word { member: "m1".into(), key: "scale".into(), number: 7, bytes: b"seven".to_vec() };
    for line in [Line::Begin, word] {
        assert_eq!(Line::read(&line.written()), Ok(line));
    }
    for (wrong, named) in [("kill m1", "kill m1"), ("word m1 scale x seven", "\"x\""), ("", "begin")] {
        let told = Line::read(wrong).expect_err(wrong);
        assert!(told.contains(named), "{told}");
    }
}
