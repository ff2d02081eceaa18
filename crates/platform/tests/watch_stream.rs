//! Tests the parser for the byte stream of an endpoint list watch, with chunks that end at any byte.

use milletturn_platform::watch_stream::{MAX_OBJECT_BYTES, WatchEvent, WatchStream};

const FIRST: &str = r#"{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","pod_group":3,"state":"up"}]}"#;

/// The events as text: for a list its version and the number of malformed entries, `-` for a keep-alive, `?` for
/// malformed input.
fn parse(chunks: &[&str]) -> String {
    let mut stream = WatchStream::default();
    let events = chunks
        .iter()
        .flat_map(|chunk| stream.push(chunk.as_bytes()));
    events
        .map(|event| match event {
            WatchEvent::KeepAlive => "-".to_string(),
            WatchEvent::Update(update, malformed) => format!("{}/{malformed} ", update.version),
            WatchEvent::Malformed(_) => "?".to_string(),
        })
        .collect()
}

#[test]
fn lists_may_be_split_into_any_chunks_and_lines() {
    let second = r#"{"rev":42,"all":false,"targets":[]}"#;
    assert_eq!(parse(&[&format!("{FIRST}\n\n{second}\n")]), "41/0 --42/0 -");
    let indented = FIRST.replace(',', ",\n  ").replace('[', "[\n\t");
    let text = format!("{indented}\n\n{second}");
    assert_eq!(parse(&[&text]), "41/0 --42/0 ");
    let chunks: Vec<&str> = text.split_inclusive(|_: char| true).collect();
    assert_eq!(parse(&chunks), "41/0 --42/0 ", "byte by byte");
}

#[test]
fn malformed_input_is_reported_and_does_not_affect_later_input() {
    for bad in [
        "{not json",
        "[1",
        "5",
        "{\"rev\":4}",
        "{\"rev\":4,\"all\":tr",
        "\u{0}",
        "}",
    ] {
        let events = parse(&[&format!("{bad}\n{FIRST}\n")]);
        assert!(
            events.starts_with('?') && events.contains("41/0"),
            "{bad}: {events}"
        );
    }
    let odd = FIRST.replace("\"up\"", "\"odd\"");
    assert_eq!(parse(&[&odd]), "41/1 ", "an entry with an unknown state");
}

#[test]
fn an_endless_line_is_bounded_in_memory_and_is_no_keep_alive() {
    let mut stream = WatchStream::default();
    let chunk = vec![b' '; 1 << 16];
    let mut events = stream.push(b"{\"rev\":41,");
    for _ in 0..40 {
        events.extend(stream.push(&chunk));
        assert!(stream.buffered_bytes() <= MAX_OBJECT_BYTES + chunk.len());
    }
    assert_eq!(events.len(), 1, "{events:?}");
    assert!(matches!(&events[..], [WatchEvent::Malformed(_)]));
    assert_eq!(
        stream.push(format!("\n{FIRST}").as_bytes()).len(),
        1,
        "the next line is parsed"
    );
}
