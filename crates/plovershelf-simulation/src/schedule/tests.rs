use super::*;

#[test]
fn the_same_seed_gives_the_same_schedule_and_its_text_parses_back() {
    for seed in 0..200 {
        let drawn = Schedule::draw(seed, 9, 3, 14, 30_000.0);
        assert_eq!(drawn, Schedule::draw(seed, 9, 3, 14, 30_000.0));
        let text = drawn.to_string();
        let read: Schedule = text.parse().expect("the written schedule parses");
        assert_eq!(read.to_string(), text);
    }
    let wrong =
        "members 3 zones 1\n10 20 kill n4".parse::<Schedule>().expect_err("there is no fourth member");
    assert!(wrong.starts_with("line 2: \"10 20 kill n4\""), "{wrong}");
}

#[test]
fn shrinking_keeps_just_the_steps_that_the_failure_needs() {
    let drawn = Schedule::draw(5, 9, 3, 20, 30_000.0);
    let needed = [drawn.steps[3].clone(), drawn.steps[11].clone()];
    let small = drawn.shrink(|candidate| needed.iter().all(|step| candidate.steps.contains(step)));
    assert_eq!(small.steps, needed);
}
