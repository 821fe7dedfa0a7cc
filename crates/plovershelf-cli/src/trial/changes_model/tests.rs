use super::*;

#[test]
fn phases_have_the_shapes_names_in_their_order() {
    assert_eq!(NAMES.map(|names| names[0]), SHAPES);
}

#[test]
fn a_shape_in_which_nothing_was_in_force_falls_short() {
    assert!(!figures("loss", &[&Came::default()], true).hold());
    assert!(!figures("calm", &[&Came::default()], true).hold());
    assert!(!figures("loss", &[], true).hold());
}

#[test]
fn work_is_done_once_each_and_told_in_its_order() {
    let work: Vec<u64> = (0..50).collect();
    assert_eq!(all(&work, |n| n * n), work.iter().map(|n| n * n).collect::<Vec<_>>());
}
