//! What a watch brings, from bytes in whatever pieces.

use milletturn_platform::watch_stream::{MAX_OBJECT_BYTES, WatchEvent, WatchStream};

const FIRST: &str = r#"{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","pod_group":3,"state":"up"}]}"#;

/// Versions of lists, `-` for signs of life, `?` for what can't be read.
fn read(pieces: &[&str]) -> String {
    let mut feed = WatchStream::default();
    let told = pieces.iter().flat_map(|piece| feed.push(piece.as_bytes()));
    told.map(|told| match told {
        WatchEvent::KeepAlive => "-".to_string(),
        WatchEvent::Update(update, unread) => format!("{}/{unread} ", update.version),
        WatchEvent::Malformed(_) => "?".to_string(),
    })
    .collect()
}

#[test]
fn lists_are_read_in_whatever_pieces_and_lines_they_come() {
    let second = r#"{"rev":42,"all":false,"targets":[]}"#;
    assert_eq!(read(&[&format!("{FIRST}\n\n{second}\n")]), "41/0 --42/0 -");
    let indented = FIRST.replace(',', ",\n  ").replace('[', "[\n\t");
    let text = format!("{indented}\n\n{second}");
    assert_eq!(read(&[&text]), "41/0 --42/0 ");
    let pieces: Vec<&str> = text.split_inclusive(|_: char| true).collect();
    assert_eq!(read(&pieces), "41/0 --42/0 ", "byte by byte");
}

#[test]
fn what_can_not_be_read_is_told_and_spoils_nothing_behind_it() {
    for bad in [
        "{not json",
        "[1",
        "5",
        "{\"rev\":4}",
        "{\"rev\":4,\"all\":tr",
        "\u{0}",
        "}",
    ] {
        let told = read(&[&format!("{bad}\n{FIRST}\n")]);
        assert!(
            told.starts_with('?') && told.contains("41/0"),
            "{bad}: {told}"
        );
    }
    let odd = FIRST.replace("\"up\"", "\"odd\"");
    assert_eq!(read(&[&odd]), "41/1 ", "an entry of no known state");
}

#[test]
fn a_line_without_end_takes_no_more_than_its_room_and_is_no_sign_of_life() {
    let mut feed = WatchStream::default();
    let piece = vec![b' '; 1 << 16];
    let mut told = feed.push(b"{\"rev\":41,");
    for _ in 0..40 {
        told.extend(feed.push(&piece));
        assert!(feed.buffered_bytes() <= MAX_OBJECT_BYTES + piece.len());
    }
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(matches!(&told[..], [WatchEvent::Malformed(_)]));
    assert_eq!(
        feed.push(format!("\n{FIRST}").as_bytes()).len(),
        1,
        "the next line is read"
    );
}
