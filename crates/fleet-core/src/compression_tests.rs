use super::*;

#[test]
fn decompress_restores_compressed_body_within_size_limit() {
    let uncompressed = b"{\"routes\":[]}".repeat(500);
    let compressed = compress(&uncompressed);
    assert!(compressed.len() * 20 < uncompressed.len(), "{} bytes", compressed.len());
    assert_eq!(decompress(&compressed, uncompressed.len()).unwrap(), uncompressed);
    assert_eq!(
        decompress(&compressed, uncompressed.len() - 1),
        Err(DecompressError::TooLarge(uncompressed.len() - 1))
    );
}

#[test]
fn corrupt_input_is_an_error() {
    let compressed = compress(&b"0123456789".repeat(50));
    assert_eq!(
        decompress(&compressed[..compressed.len() - 2], 1000),
        Err(DecompressError::Corrupt)
    );
    assert_eq!(decompress(&[0xff; 9], 1000), Err(DecompressError::Corrupt));
}
