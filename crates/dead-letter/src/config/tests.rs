//! Tests of the settings file: its defaults, and that errors name the invalid setting.

use super::Config;
use milletturn_policy::SECOND;
use std::path::Path;

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(Path::new("u.toml"), text).map_err(|error| error.to_string())
}

#[test]
fn an_empty_file_and_a_rule_without_limits_get_the_defaults() {
    assert_eq!(parse(""), Ok(Config::default()));
    let config =
        parse("[[rule]]\nname = 'licences'\nreasons = ['time-up']").expect("valid settings");
    let rule = &config.rules[0];
    assert_eq!(
        (rule.min_healthy, rule.max_redrives, rule.per_second),
        (60 * SECOND, 3, 1.0)
    );
}

#[test]
fn errors_name_the_invalid_setting() {
    for (text, part) in [
        ("[store]\nmax_mb = 0.01", "store.max_mb is 0.01"),
        ("[store]\nmax_mb = nan", "store.max_mb is NaN"),
        ("[store]\nmax_age_days = 1e300", "store.max_age_days"),
        ("[store]\nmax_messages = 0", "store.max_messages is 0"),
        ("[store]\nfile = '../x'", "store.file"),
        ("[store]\nfile = 'journal'", "store.file"),
        ("[store]\nmax_mbs = 3", "unknown field"),
        ("[[rule]]\nname = 'a'\nreasons = ['late']", "\"late\""),
        ("[[rule]]\nname = 'a'\nper_second = 0.0", "per_second is 0"),
        (
            "[[rule]]\nname = 'a'\nmost_resends = 0",
            "most_resends is 0",
        ),
        ("[[rule]]\nname = 'a'\nwell_for_s = -1", "well_for_s is -1"),
        ("[[rule]]", "missing field `name`"),
    ] {
        let error = parse(text).expect_err(text);
        assert!(error.contains(part), "{text}: {error}");
    }
}
