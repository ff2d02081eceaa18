use super::*;

#[test]
fn times_and_sizes_are_parsed_and_formatted() {
    assert_eq!(
        (parse_time("4s"), parse_time("1.5h"), parse_time("250 ms")),
        (Ok(4_000_000), Ok(5_400_000_000), Ok(250_000))
    );
    assert_eq!(
        (parse_size("64KiB"), parse_size("3MB"), parse_size("7B")),
        (Ok(65_536), Ok(3_000_000), Ok(7))
    );
    for text in ["4s", "90s", "2m", "1d", "1500us"] {
        assert_eq!(
            parse_time(&format_time(parse_time(text).expect("a valid time"))),
            parse_time(text),
            "{text}"
        );
    }
    assert_eq!(
        (format_size(3_000_000), format_size(65_536)),
        ("3MB".into(), "65536B".into())
    );
}

#[test]
fn malformed_texts_are_rejected_with_the_reason() {
    assert_eq!(parse_time("4"), Err(UnitError::NoUnit));
    assert_eq!(parse_time("4 parsecs"), Err(UnitError::UnknownUnit));
    assert_eq!(parse_time("s"), Err(UnitError::NoNumber));
    assert_eq!(parse_time("-4s"), Err(UnitError::NoNumber));
    assert_eq!(parse_time("1.2.3s"), Err(UnitError::NoNumber));
    assert_eq!(
        parse_time("99999999999999999999d"),
        Err(UnitError::Overflow)
    );
    assert_eq!(
        parse_size("99999999999999999999GB"),
        Err(UnitError::Overflow)
    );
    assert_eq!(parse_size("4mb"), Err(UnitError::UnknownUnit));
}
