//! Tests of `compression`.

use super::*;

#[test]
fn unpack_restores_packed_body_within_size_limit() {
    let uncompressed = b"{\"routes\":[]}".repeat(500);
    let packed = pack(&uncompressed);
    assert!(packed.len() * 20 < uncompressed.len(), "{} bytes", packed.len());
    assert_eq!(unpack(&packed, uncompressed.len()).unwrap(), uncompressed);
    assert_eq!(
        unpack(&packed, uncompressed.len() - 1),
        Err(UnpackError::TooLarge(uncompressed.len() - 1))
    );
}

#[test]
fn corrupt_input_is_an_error() {
    let packed = pack(&b"0123456789".repeat(50));
    assert_eq!(unpack(&packed[..packed.len() - 2], 1000), Err(UnpackError::Corrupt));
    assert_eq!(unpack(&[0xff; 9], 1000), Err(UnpackError::Corrupt));
}
