//! Frames: the encoding of records in a segment.
//!
//! A frame consists of a length, a CRC and the record, encoded with postcard.
//! The CRC also covers the segment's number and the frame's offset, so bytes
//! from another position are never taken for a frame.

use super::Record;

/// Size of the header before the record: length and CRC, both little-endian
/// `u32`.
pub const FRAME_HEADER_BYTES: usize = 8;

fn checksum(segment: u64, offset: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Appends `record` to `buf`, which is to be written at offset `start` of
/// `segment`.
///
/// # Errors
///
/// Fails if postcard can't encode the record or its length exceeds 32 bits.
pub fn encode(
    buf: &mut Vec<u8>,
    segment: u64,
    start: u64,
    record: &Record,
) -> Result<(), postcard::Error> {
    let offset = start + buf.len() as u64;
    let body = postcard::to_stdvec(record)?;
    let len = u32::try_from(body.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&checksum(segment, offset, &body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(())
}

/// Decodes the frame at `offset` of a segment's `bytes`; returns the record and
/// the offset after the frame, or `None` if there is no complete, valid frame.
pub fn decode(bytes: &[u8], segment: u64, offset: usize) -> Option<(Record, usize)> {
    let header = bytes.get(offset..offset.checked_add(FRAME_HEADER_BYTES)?)?;
    let len = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(header[4..].try_into().ok()?);
    let start = offset + FRAME_HEADER_BYTES;
    let end = start.checked_add(len)?;
    let body = bytes.get(start..end)?;
    if checksum(segment, offset as u64, body) != crc {
        return None;
    }
    let (record, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some((record, end))
}
