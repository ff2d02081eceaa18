use super::{ConnectionMonitor, StatusLine};
use std::rc::Rc;

/// The parser state after these bytes, which must not depend on how they are divided into reads, and the bytes that
/// hyper receives.
fn parse(text: &str) -> (StatusLine, String) {
    let mut results = Vec::new();
    for size in [1, 2, 5, 13, text.len().max(1)] {
        let (monitor, mut bytes) = (ConnectionMonitor::new(1, |_| {}), text.as_bytes().to_vec());
        monitor.begin_call(false, 0, 1, &Rc::default());
        bytes
            .chunks_mut(size)
            .for_each(|chunk| monitor.process(chunk).expect("short enough"));
        results.push((
            monitor.status_line_state.get(),
            String::from_utf8(bytes).expect("text"),
        ));
    }
    let first = results.swap_remove(0);
    assert!(
        results.iter().all(|other| *other == first),
        "{text}: {first:?} {results:?}"
    );
    first
}

#[test]
fn the_final_status_line_is_found_wherever_reads_end() {
    for (text, expected) in [
        ("HTTP/1.1 200 OK\r\n", StatusLine::Complete(200)),
        ("\r\nHTTP/1.0 200\n", StatusLine::Complete(200)),
        ("HTTP/1.1 200 O", StatusLine::ReasonPhrase(200)),
        ("HTTP/1.1 2000 OK\r\n", StatusLine::Invalid),
        ("HTTP/1.1 20 OK\r\n", StatusLine::Invalid),
        ("HTTP/2.0 200 OK\r\n", StatusLine::Invalid),
        ("noise HTTP/1.1 200 OK\r\n", StatusLine::Invalid),
        (
            "HTTP/1.1 500 HTTP/1.1 200 OK\r\n",
            StatusLine::Complete(500),
        ),
        (
            "HTTP/1.1 103 Hint\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n",
            StatusLine::Complete(200),
        ),
        (
            "HTTP/1.1 100\r\n\r\nHTTP/1.1 102 x\n\nHTTP/1.1 503 No\r\n",
            StatusLine::Complete(503),
        ),
        // a status line inside the head of an interim response does not count
        (
            "HTTP/1.1 103 Hint\r\nHTTP/1.1 200 OK\r\n",
            StatusLine::Interim(true),
        ),
    ] {
        assert_eq!(parse(text), (expected, text.to_string()), "{text}");
    }
    let (state, forwarded) = parse("HTTP/1.1 101 Other\r\n\r\nHTTP/1.1 200 OK\r\n");
    assert_eq!(state, StatusLine::Complete(200));
    assert!(
        forwarded.starts_with("HTTP/1.1 100 Other"),
        "hyper would stop treating the connection as HTTP after a 101: {forwarded}"
    );
}

#[test]
fn a_second_response_is_found_after_the_first_or_inside_its_head() {
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
        // the chunks determine the end of the body, whatever `Content-Length` states (RFC 9112)
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
            let (monitor, mut bytes) =
                (ConnectionMonitor::new(1, |_| {}), text.as_bytes().to_vec());
            monitor.begin_call(false, 0, 1, &Rc::default());
            bytes
                .chunks_mut(size)
                .for_each(|chunk| monitor.process(chunk).expect("short enough"));
            assert_eq!(monitor.has_extra_data(), expected, "{text}");
        }
    }
}

#[test]
fn endless_interim_responses_are_an_error() {
    let monitor = ConnectionMonitor::new(1, |_| {});
    monitor.begin_call(false, 0, 1, &Rc::default());
    let has_failed = (0..10_000).any(|_| {
        monitor
            .process(&mut b"HTTP/1.1 102 Processing\r\n\r\n".to_vec())
            .is_err()
    });
    assert!(has_failed);
}
