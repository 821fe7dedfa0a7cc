use super::*;

#[test]
fn time_below_the_lowest_latency_of_the_class_is_insufficient() {
    let context = Context::new(ClientConfig { seed: 1, ..ClientConfig::default() });
    let mut classes = RequestClasses::new(&context.config);
    let id = classes.id_of(&"plan".into(), &context.config);
    classes.record_success(&context, id, 80.0);
    classes.record_rejection(0.0, 2.0);
    let sufficient = AttemptTime { timeout_ms: 88.0, is_sufficient: true };
    assert_eq!(classes.attempt_time(&context, id, 90.0), sufficient);
    assert!(!classes.attempt_time(&context, id, 79.0).is_sufficient);
}

#[test]
fn classes_beyond_the_limit_share_the_statistics_of_the_last_class() {
    let config = ClientConfig { max_request_classes: 2, ..ClientConfig::default() };
    let mut classes = RequestClasses::new(&config);
    let ids = ["a", "b", "c", "a", "d"].map(|name| classes.id_of(&name.into(), &config).0);
    assert_eq!(ids, [0, 1, 1, 0, 1]);
}
