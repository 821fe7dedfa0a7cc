use super::*;

#[test]
fn defaults_are_valid_and_errors_name_the_setting_and_its_range() {
    assert_eq!(ClientConfig::default().validate(), Ok(()));
    let config = ClientConfig { retry_budget_fraction: f64::NAN, ..ClientConfig::default() };
    let error = config.validate().expect_err("NaN is out of range").to_string();
    assert!(error.starts_with("retry_budget_fraction = NaN: must be a number from 0 to 1"), "{error}");
    let config = ClientConfig { max_in_flight_per_connection: 33, ..ClientConfig::default() };
    let error = config.validate().expect_err("33 is out of range").to_string();
    assert_eq!(error, "max_in_flight_per_connection = 33: must be a whole number from 1 to 32");
}
