//! Tests of `packing`.

use super::*;

#[test]
fn what_was_packed_comes_back_within_its_bound() {
    let plain = b"{\"routes\":[]}".repeat(500);
    let packed = pack(&plain);
    assert!(packed.len() * 20 < plain.len(), "{} bytes", packed.len());
    assert_eq!(unpack(&packed, plain.len()).unwrap(), plain);
    assert_eq!(unpack(&packed, plain.len() - 1), Err(UnpackError::TooLarge(plain.len() - 1)));
}

#[test]
fn damaged_bytes_are_an_error() {
    let packed = pack(&b"0123456789".repeat(50));
    assert_eq!(unpack(&packed[..packed.len() - 2], 1000), Err(UnpackError::Damaged));
    assert_eq!(unpack(&[0xff; 9], 1000), Err(UnpackError::Damaged));
}
