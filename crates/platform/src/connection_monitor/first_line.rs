//! The first line of a response, read byte by byte.

/// How far the first line of the answer that counts has come. 1xx answers ahead of it are passed over.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstLine {
    /// So many bytes of `HTTP/1.x NNN` have come, and its number so far.
    Status(usize, u16),
    /// The line of a final answer, up to its end.
    Rest(u16),
    /// A 1xx answer; true at the start of a line.
    Ahead(bool),
    Whole(u16),
    /// No call is out, or this is no answer.
    #[default]
    Nothing,
}

impl FirstLine {
    /// One byte further. 101 becomes 100 for hyper, which would take it for the end of HTTP here; no call asks
    /// for that.
    pub(super) fn pass(self, byte: &mut u8) -> Self {
        const START: &[u8] = b"HTTP/1.";
        match (self, *byte) {
            (FirstLine::Status(0, _), b'\r' | b'\n') => self,
            (FirstLine::Status(at, _), found)
                if at < START.len() && START.get(at) == Some(&found) =>
            {
                FirstLine::Status(at + 1, 0)
            }
            (FirstLine::Status(7, _), b'0' | b'1') => FirstLine::Status(8, 0),
            (FirstLine::Status(8, _), b' ') => FirstLine::Status(9, 0),
            (FirstLine::Status(at @ 9..=11, code), b'0'..=b'9') => {
                let code = code * 10 + u16::from(*byte - b'0');
                if at == 11 && code == 101 {
                    *byte = b'0';
                }
                FirstLine::Status(at + 1, code)
            }
            (FirstLine::Status(12, 100..200), b' ' | b'\r' | b'\n') => {
                FirstLine::Ahead(*byte == b'\n')
            }
            (FirstLine::Status(12, code), b'\n') | (FirstLine::Rest(code), b'\n') => {
                FirstLine::Whole(code)
            }
            (FirstLine::Status(12, code), b' ' | b'\r') | (FirstLine::Rest(code), _) => {
                FirstLine::Rest(code)
            }
            (FirstLine::Ahead(true), b'\n') => FirstLine::Status(0, 0),
            (FirstLine::Ahead(start), b'\r') => FirstLine::Ahead(start),
            (FirstLine::Ahead(_), b'\n') => FirstLine::Ahead(true),
            (FirstLine::Ahead(_), _) => FirstLine::Ahead(false),
            (FirstLine::Whole(code), _) => FirstLine::Whole(code),
            (FirstLine::Status(..) | FirstLine::Nothing, _) => FirstLine::Nothing,
        }
    }
}
