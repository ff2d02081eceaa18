//! Tests of the parser of ages on the command line.

use super::parse_age;

#[test]
fn ages_have_units() {
    assert_eq!(parse_age("90s"), Ok(90_000_000));
    assert_eq!(parse_age("3d"), Ok(259_200_000_000));
    for bad in ["", "5", "s", "-5s", "5y", "99999999999999d", "5ä"] {
        assert!(parse_age(bad).is_err(), "{bad}");
    }
}
