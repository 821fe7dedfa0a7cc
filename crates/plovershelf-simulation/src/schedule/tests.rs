use super::*;

#[test]
fn a_schedule_follows_from_its_seed_and_reads_back_as_it_was_written() {
    for seed in 0..200 {
        let drawn = Schedule::draw(seed, 9, 3, 14, 30_000.0);
        assert_eq!(drawn, Schedule::draw(seed, 9, 3, 14, 30_000.0));
        let text = drawn.to_string();
        let read: Schedule = text.parse().expect("what was written");
        assert_eq!(read.to_string(), text);
    }
    let wrong = "members 3 zones 1\n10 20 kill n4".parse::<Schedule>().expect_err("no fourth");
    assert!(wrong.starts_with("line 2: \"10 20 kill n4\""), "{wrong}");
}

#[test]
fn shrinking_leaves_the_steps_that_it_takes() {
    let drawn = Schedule::draw(5, 9, 3, 20, 30_000.0);
    let needed = [drawn.steps[3].clone(), drawn.steps[11].clone()];
    let small = drawn.shrink(|one| needed.iter().all(|step| one.steps.contains(step)));
    assert_eq!(small.steps, needed);
}
