//! Order of the bytes, and memory that is returned.

use super::*;

/// Guards against bytes that are lost or repeated when the rest of the buffer is moved.
#[test]
fn yields_pushed_bytes_in_order() {
    let sent: Vec<u8> = (0..200_000_u32).map(|n| (n % 251) as u8).collect();
    let (mut buffer, mut received) = (ReceiveBuffer::default(), Vec::new());
    for part in sent.chunks(7_000) {
        buffer.push(part);
        let count = buffer.len() / 3;
        received.extend_from_slice(&buffer[..count]);
        buffer.consume(count);
    }
    received.extend_from_slice(&buffer);
    assert_eq!(received, sent);
}

/// Guards against idle connections that keep the memory of their largest burst.
#[test]
fn frees_memory_of_consumed_bytes() {
    let mut buffer = ReceiveBuffer::default();
    buffer.push(&vec![1; 1 << 20]);
    buffer.consume((1 << 20) - 10);
    assert_eq!(buffer.len(), 10);
    assert!(buffer.bytes.capacity() <= 2 * MAX_SPARE_BYTES, "{}", buffer.bytes.capacity());
}
