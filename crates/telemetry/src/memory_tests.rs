use super::*;

#[test]
fn field_is_read_in_bytes() {
    let status = "Name:\trouter\nVmHWM:\t    2048 kB\nVmRSS:\t       1 kB\n";
    assert_eq!(field_bytes(status, "VmHWM:"), 2048.0 * 1024.0);
    assert_eq!(field_bytes(status, "VmRSS:"), 1024.0);
    assert_eq!(field_bytes(status, "VmSwap:"), 0.0);
    assert_eq!(field_bytes("VmRSS:\tmuch", "VmRSS:"), 0.0);
}

#[test]
fn own_memory_is_known() {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap();
    assert!(field_bytes(&status, "VmHWM:") >= field_bytes(&status, "VmRSS:"));
    assert!(field_bytes(&status, "VmRSS:") > 0.0);
}
