use super::*;

#[test]
fn the_defaults_hold_and_a_figure_out_of_range_is_named_with_its_range() {
    assert_eq!(Terms::default().check(), Ok(()));
    let wrong = Terms { repeat_share: f64::NAN, ..Terms::default() }.check().expect_err("no share");
    assert!(wrong.starts_with("repeat_share = NaN: a number from 0 to 1"), "{wrong}");
    let wrong = Terms { open_each: 33, ..Terms::default() }.check().expect_err("too many");
    assert_eq!(wrong, "open_each = 33: a whole number from 1 to 32");
}
