//! Base64 as the simulator's protocol uses it, where `-` stands for an empty sequence of bytes.

use crate::error::{Malformed, malformed};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding, and an empty sequence as `-`.
pub(crate) fn encode(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_string();
    }
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0u32, |bits, &byte| bits << 8 | u32::from(byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let sextet = (bits >> (18 - 6 * index) & 63) as usize;
            text.push(if index <= chunk.len() {
                char::from(ALPHABET[sextet])
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes what [`encode`] returns.
pub(crate) fn decode(text: &str) -> Result<Vec<u8>, Malformed> {
    if text == "-" {
        return Ok(Vec::new());
    }
    let body = text.trim_end_matches('=');
    let mut bytes = Vec::new();
    // the bits that have been read but are not in `bytes` yet, and the number of these bits
    let (mut bits, mut bit_count) = (0u32, 0);
    for letter in body.bytes() {
        let Some(sextet) = ALPHABET.iter().position(|&known| known == letter) else {
            return malformed("base64", text);
        };
        bits = bits << 6 | sextet as u32;
        bit_count += 6;
        if bit_count >= 8 {
            bit_count -= 8;
            bytes.push((bits >> bit_count) as u8);
            bits &= (1 << bit_count) - 1;
        }
    }
    if text.len().is_multiple_of(4) {
        Ok(bytes)
    } else {
        malformed("base64", text)
    }
}
