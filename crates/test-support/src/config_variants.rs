//! Generates variants of a configuration file with one changed setting, many of them invalid.

/// All variants of a configuration file in which one setting is removed, emptied, given twice, negated, doubled, or
/// given an extreme value or one of another type. Returns the changed line and the whole text for each variant.
#[must_use]
pub fn config_variants(text: &str) -> Vec<(String, String)> {
    let lines: Vec<&str> = text.lines().collect();
    let mut all = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        let Some((name, value)) = line.split_once(" = ").filter(|_| !line.starts_with('#')) else {
            continue;
        };
        for variant in line_variants(name, value) {
            let mut changed: Vec<&str> = lines.clone();
            changed[index] = &variant;
            let text = changed.join("\n");
            all.push((variant, text));
        }
    }
    all
}

/// What replaces the line `name = value` in each variant.
fn line_variants(name: &str, value: &str) -> Vec<String> {
    let bare = value.trim_matches('"');
    let digits = bare
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(bare.len());
    let (number, unit) = bare.split_at(digits);
    let mut all = vec![
        String::new(),
        format!("{name} = \"\""),
        format!("{name} = []"),
        format!("{name} = true"),
    ];
    all.push(format!("{name} = {value}\n{name} = {value}"));
    all.push(format!("{name} = \"{}\"", "x".repeat(10_000)));
    all.push(format!("{name} = -{number}"));
    if let Ok(number) = number.parse::<f64>() {
        for changed in [
            -number,
            number * 2.0,
            number / 1e9,
            number * 1e9,
            0.0,
            f64::MAX,
        ] {
            let text = if number.fract() == 0.0 && !bare.contains('.') {
                format!("{changed:.0}")
            } else {
                changed.to_string()
            };
            all.push(if value.starts_with('"') {
                format!("{name} = \"{text}{unit}\"")
            } else {
                format!("{name} = {text}")
            });
        }
    }
    all
}
