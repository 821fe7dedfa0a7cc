use super::*;

#[test]
fn spans_are_parsed_with_their_unit() {
    assert_eq!((span_ms("90s"), span_ms("30m"), span_ms("2h")), (Ok(90e3), Ok(1.8e6), Ok(7.2e6)));
    for invalid in ["", "30", "m", "0s", "9d", "400h", "-5m"] {
        assert!(span_ms(invalid).is_err(), "{invalid}");
    }
}
