//! A parser for the status line of a response, byte by byte.

/// Parser state for the status line of the final response. Interim (1xx) responses before it are skipped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusLine {
    /// Number of received bytes of `HTTP/1.x NNN`, and the value of the status digits so far.
    Status(usize, u16),
    /// In the rest of the status line of a final response with this status.
    ReasonPhrase(u16),
    /// In an interim response; true at the start of a line.
    Interim(bool),
    /// The status line of a final response with this status is complete.
    Complete(u16),
    /// No call is in flight, or the bytes are not an HTTP/1 response.
    #[default]
    Invalid,
}

impl StatusLine {
    /// The state after one more byte. Changes the status 101 to 100 in place: hyper would stop treating the connection
    /// as HTTP after a 101, and no call asks for an upgrade.
    pub(super) fn advance(self, byte: &mut u8) -> Self {
        const PREFIX: &[u8] = b"HTTP/1.";
        match (self, *byte) {
            (StatusLine::Status(0, _), b'\r' | b'\n') => self,
            (StatusLine::Status(matched, _), found)
                if matched < PREFIX.len() && PREFIX.get(matched) == Some(&found) =>
            {
                StatusLine::Status(matched + 1, 0)
            }
            (StatusLine::Status(7, _), b'0' | b'1') => StatusLine::Status(8, 0),
            (StatusLine::Status(8, _), b' ') => StatusLine::Status(9, 0),
            (StatusLine::Status(matched @ 9..=11, code), b'0'..=b'9') => {
                let code = code * 10 + u16::from(*byte - b'0');
                if matched == 11 && code == 101 {
                    *byte = b'0';
                }
                StatusLine::Status(matched + 1, code)
            }
            (StatusLine::Status(12, 100..200), b' ' | b'\r' | b'\n') => {
                StatusLine::Interim(*byte == b'\n')
            }
            (StatusLine::Status(12, code), b'\n') | (StatusLine::ReasonPhrase(code), b'\n') => {
                StatusLine::Complete(code)
            }
            (StatusLine::Status(12, code), b' ' | b'\r') | (StatusLine::ReasonPhrase(code), _) => {
                StatusLine::ReasonPhrase(code)
            }
            (StatusLine::Interim(true), b'\n') => StatusLine::Status(0, 0),
            (StatusLine::Interim(is_line_start), b'\r') => StatusLine::Interim(is_line_start),
            (StatusLine::Interim(_), b'\n') => StatusLine::Interim(true),
            (StatusLine::Interim(_), _) => StatusLine::Interim(false),
            (StatusLine::Complete(code), _) => StatusLine::Complete(code),
            (StatusLine::Status(..) | StatusLine::Invalid, _) => StatusLine::Invalid,
        }
    }
}
