use super::*;

#[test]
fn numbers_are_uniform_and_determined_by_the_seed() {
    let numbers = |seed| {
        let mut random = Pcg32::new(seed);
        (0..4000).map(|_| random.next_fraction()).collect::<Vec<f64>>()
    };
    let first = numbers(7);
    assert!(first.iter().all(|number| (0.0..1.0).contains(number)));
    let mean = first.iter().sum::<f64>() / first.len() as f64;
    assert!((mean - 0.5).abs() < 0.02, "{mean}");
    assert_eq!(first, numbers(7));
    assert_ne!(first, numbers(8));
}
