use super::{FirstLine, Wire};
use std::rc::Rc;

/// The first line after these bytes, however they are cut into reads, and what hyper gets to see of them.
fn seen(text: &str) -> (FirstLine, String) {
    let mut found = Vec::new();
    for size in [1, 2, 5, 13, text.len().max(1)] {
        let (wire, mut bytes) = (Wire::new(1, |_| {}), text.as_bytes().to_vec());
        wire.begin(false, 0, 1, &Rc::default());
        bytes
            .chunks_mut(size)
            .for_each(|chunk| wire.pass(chunk).expect("short enough"));
        found.push((wire.answer.get(), String::from_utf8(bytes).expect("text")));
    }
    let first = found.swap_remove(0);
    assert!(
        found.iter().all(|other| *other == first),
        "{text}: {first:?} {found:?}"
    );
    first
}

#[test]
fn the_first_line_that_counts_is_found_wherever_reads_end() {
    for (text, expected) in [
        ("HTTP/1.1 200 OK\r\n", FirstLine::Whole(200)),
        ("\r\nHTTP/1.0 200\n", FirstLine::Whole(200)),
        ("HTTP/1.1 200 O", FirstLine::Rest(200)),
        ("HTTP/1.1 2000 OK\r\n", FirstLine::Nothing),
        ("HTTP/1.1 20 OK\r\n", FirstLine::Nothing),
        ("HTTP/2.0 200 OK\r\n", FirstLine::Nothing),
        ("noise HTTP/1.1 200 OK\r\n", FirstLine::Nothing),
        ("HTTP/1.1 500 HTTP/1.1 200 OK\r\n", FirstLine::Whole(500)),
        (
            "HTTP/1.1 103 Hint\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n",
            FirstLine::Whole(200),
        ),
        (
            "HTTP/1.1 100\r\n\r\nHTTP/1.1 102 x\n\nHTTP/1.1 503 No\r\n",
            FirstLine::Whole(503),
        ),
        // a 200 inside the head of an answer ahead is none
        (
            "HTTP/1.1 103 Hint\r\nHTTP/1.1 200 OK\r\n",
            FirstLine::Ahead(true),
        ),
    ] {
        assert_eq!(seen(text), (expected, text.to_string()), "{text}");
    }
    let (line, shown) = seen("HTTP/1.1 101 Other\r\n\r\nHTTP/1.1 200 OK\r\n");
    assert_eq!(line, FirstLine::Whole(200));
    assert!(
        shown.starts_with("HTTP/1.1 100 Other"),
        "hyper ends its work at a 101: {shown}"
    );
}

#[test]
fn what_stands_behind_an_answer_or_inside_its_head_is_found_and_nothing_else_is_taken_for_it() {
    for (text, expected) in [
        ("HTTP/1.1 200 HTTP/1.1 503 No\r\n\r\n", true),
        ("HTTP/1.1 200 OKHTTP/1.0 200 OK\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nX-A: x0=HHTTP/1.1 503 No\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n", false),
        ("HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 503 No\r\n", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokH", true),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nHTTP/1.1 503",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 503 No",
            true,
        ),
        // the body ends by its chunks, whatever length is told (RFC 9112)
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 503 No",
            true,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 99\r\n\r\n0\r\n\r\nHTTP/1.1 503 No",
            true,
        ),
        ("HTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false),
    ] {
        for size in [1, 7, text.len()] {
            let (wire, mut bytes) = (Wire::new(1, |_| {}), text.as_bytes().to_vec());
            wire.begin(false, 0, 1, &Rc::default());
            bytes
                .chunks_mut(size)
                .for_each(|chunk| wire.pass(chunk).expect("short enough"));
            assert_eq!(wire.has_extra_data(), expected, "{text}");
        }
    }
}

#[test]
fn answers_ahead_without_end_are_an_error() {
    let wire = Wire::new(1, |_| {});
    wire.begin(false, 0, 1, &Rc::default());
    let ends = (0..10_000).any(|_| {
        wire.pass(&mut b"HTTP/1.1 102 Processing\r\n\r\n".to_vec())
            .is_err()
    });
    assert!(ends);
}
