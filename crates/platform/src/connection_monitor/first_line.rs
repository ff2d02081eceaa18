//! A parser for the first line of a response, byte by byte.

/// Parser state for the first line of the final response. Interim (1xx) responses before it are skipped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstLine {
    /// Number of received bytes of `HTTP/1.x NNN`, and the value of the status digits so far.
    Status(usize, u16),
    /// In the rest of the status line of a final response with this status.
    ReasonPhrase(u16),
    /// In an interim response; true at the start of a line.
    Interim(bool),
    /// The first line of a final response with this status is complete.
    Complete(u16),
    /// No call is in flight, or the bytes are not an HTTP/1 response.
    #[default]
    Invalid,
}

impl FirstLine {
    /// The state after one more byte. Changes the status 101 to 100 in place: hyper would stop treating the connection
    /// as HTTP after a 101, and no call asks for an upgrade.
    pub(super) fn advance(self, byte: &mut u8) -> Self {
        const PREFIX: &[u8] = b"HTTP/1.";
        match (self, *byte) {
            (FirstLine::Status(0, _), b'\r' | b'\n') => self,
            (FirstLine::Status(matched, _), found)
                if matched < PREFIX.len() && PREFIX.get(matched) == Some(&found) =>
            {
                FirstLine::Status(matched + 1, 0)
            }
            (FirstLine::Status(7, _), b'0' | b'1') => FirstLine::Status(8, 0),
            (FirstLine::Status(8, _), b' ') => FirstLine::Status(9, 0),
            (FirstLine::Status(matched @ 9..=11, code), b'0'..=b'9') => {
                let code = code * 10 + u16::from(*byte - b'0');
                if matched == 11 && code == 101 {
                    *byte = b'0';
                }
                FirstLine::Status(matched + 1, code)
            }
            (FirstLine::Status(12, 100..200), b' ' | b'\r' | b'\n') => {
                FirstLine::Interim(*byte == b'\n')
            }
            (FirstLine::Status(12, code), b'\n') | (FirstLine::ReasonPhrase(code), b'\n') => {
                FirstLine::Complete(code)
            }
            (FirstLine::Status(12, code), b' ' | b'\r') | (FirstLine::ReasonPhrase(code), _) => {
                FirstLine::ReasonPhrase(code)
            }
            (FirstLine::Interim(true), b'\n') => FirstLine::Status(0, 0),
            (FirstLine::Interim(is_line_start), b'\r') => FirstLine::Interim(is_line_start),
            (FirstLine::Interim(_), b'\n') => FirstLine::Interim(true),
            (FirstLine::Interim(_), _) => FirstLine::Interim(false),
            (FirstLine::Complete(code), _) => FirstLine::Complete(code),
            (FirstLine::Status(..) | FirstLine::Invalid, _) => FirstLine::Invalid,
        }
    }
}
