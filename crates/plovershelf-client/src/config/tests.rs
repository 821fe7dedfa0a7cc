use super::*;

#[test]
fn defaults_are_valid_and_a_setting_out_of_range_is_named_with_its_range() {
    assert_eq!(ClientConfig::default().validate(), Ok(()));
    let config = ClientConfig { retry_budget_fraction: f64::NAN, ..ClientConfig::default() };
    let wrong = config.validate().expect_err("no fraction").to_string();
    assert!(wrong.starts_with("retry_budget_fraction = NaN: a number from 0 to 1"), "{wrong}");
    let config = ClientConfig { max_in_flight_per_connection: 33, ..ClientConfig::default() };
    let wrong = config.validate().expect_err("too many").to_string();
    assert_eq!(wrong, "max_in_flight_per_connection = 33: a whole number from 1 to 32");
}
