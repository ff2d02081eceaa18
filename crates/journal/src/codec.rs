//! The framing of a record in the journal file: a magic number (4 bytes), the length and the CRC-32 of the payload
//! (4 bytes each, little-endian), then the payload.

use crate::records::Record;
use milletturn_engine::JournalError;

/// The first bytes of each record. After damage, the reader searches for them to find the next intact record.
pub(crate) const MAGIC: [u8; 4] = *b"MTJ1";
const HEADER_BYTES: usize = 12;
/// Maximum length of a payload, larger than any record needs: a length above it is treated as damage.
const MAX_PAYLOAD_BYTES: usize = 1 << 18;
/// Maximum length of a record with its frame.
pub(crate) const MAX_RECORD_BYTES: usize = HEADER_BYTES + MAX_PAYLOAD_BYTES;

/// Encodes a record as a framed byte sequence.
///
/// # Errors
/// When the record can't be encoded.
pub(crate) fn encode(record: &Record) -> Result<Vec<u8>, JournalError> {
    let payload = postcard::to_allocvec(record).map_err(JournalError::Encode)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Decodes the record at the start of `bytes`, with its length including the frame. `None` if the bytes don't start
/// with an intact record.
pub(crate) fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let read_u32 = |at: usize| {
        bytes
            .get(at..at + 4)?
            .try_into()
            .ok()
            .map(u32::from_le_bytes)
    };
    if !bytes.starts_with(&MAGIC) {
        return None;
    }
    let (length, checksum) = (read_u32(4)? as usize, read_u32(8)?);
    let payload = bytes
        .get(HEADER_BYTES..HEADER_BYTES + length)
        .filter(|_| length <= MAX_PAYLOAD_BYTES)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    postcard::from_bytes(payload)
        .ok()
        .map(|record| (record, HEADER_BYTES + length))
}
