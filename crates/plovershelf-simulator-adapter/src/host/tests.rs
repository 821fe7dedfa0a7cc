use super::*;
use crate::error::AdapterError;
use crate::frame::read_batch;

const SETTINGS: &str = r#"{
    "classes": [{"aim_ms": 1000.0, "deadline_ms": 3000.0, "effect": "repeatable", "gain": 1.0}],
    "family_info": {"cores": 2, "memory_kb": 10000.0, "run_factor": 8.0, "signal": "silent",
        "halt": "abort", "meters": ["cpu_busy", "runnable"]},
    "rules": {"tip_multiple": 8.0}, "unheard_of": [1, {"x": null}]}"#;

fn record(code: u16, instance: u32) -> Vec<u8> {
    let mut record = vec![0; 64];
    record[0..2].copy_from_slice(&code.to_le_bytes());
    record[2..6].copy_from_slice(&instance.to_le_bytes());
    record
}

fn with_bytes(mut record: Vec<u8>, offset: usize, bytes: &[u8]) -> Vec<u8> {
    record[offset..offset + bytes.len()].copy_from_slice(bytes);
    record
}

fn init(instance: u32) -> Vec<u8> {
    with_bytes(record(262, instance), 18, &(SETTINGS.len() as u32).to_le_bytes())
}

fn frame(now_ms: f64, records: &[Vec<u8>], tail: &str) -> Vec<u8> {
    let length = 12 + 64 * records.len() + tail.len();
    let mut bytes = (length as u32).to_le_bytes().to_vec();
    bytes.extend(now_ms.to_le_bytes());
    bytes.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|record| bytes.extend(record));
    bytes.extend(tail.as_bytes());
    bytes
}

fn handle(host: &mut Host, bytes: &[u8]) -> Result<Vec<u8>, AdapterError> {
    let batch = read_batch(&mut &bytes[..])?.expect("a frame");
    Ok(host.handle_batch(&batch)?)
}

fn error_text(bytes: &[u8]) -> String {
    handle(&mut Host::default(), bytes).expect_err("invalid input").to_string()
}

#[test]
fn a_request_is_executed_in_the_reply_to_its_batch() {
    let mut host = Host::default();
    let work = with_bytes(with_bytes(record(258, 3), 6, &77u32.to_le_bytes()), 40, &10f32.to_le_bytes());
    let reply = handle(&mut host, &frame(5.0, &[init(3), work], SETTINGS)).expect("a reply");
    let codes: Vec<u16> = reply[8..].chunks(24).map(|a| u16::from_le_bytes([a[0], a[1]])).collect();
    assert_eq!(codes, [265, 268, 256, 268]);
    assert_eq!(reply[8 + 48..8 + 58], [0, 1, 3, 0, 0, 0, 77, 0, 0, 0]);
    let finished = with_bytes(record(263, 3), 6, &77u32.to_le_bytes());
    let reply = handle(&mut host, &frame(50.0, &[finished.clone(), finished], "")).expect("a reply");
    assert_eq!(reply, [4, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    let reply = handle(&mut Host::default(), &frame(1.0, &[], "")).expect("a reply");
    assert_eq!(reply, [4, 0, 0, 0, 0, 0, 0, 0]);
    assert!(read_batch(&mut &[][..]).expect("no error").is_none());
}

#[test]
fn truncated_and_oversized_frames_are_rejected() {
    let complete = frame(1.0, &[record(257, 1)], "");
    assert!(error_text(&complete[..40]).contains("inside a frame"));
    assert!(error_text(&complete[..2]).contains("length"));
    assert!(error_text(&u32::MAX.to_le_bytes()).contains("out of range"));
    let mut records = frame(1.0, &[], "");
    records[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(error_text(&records).contains("records"));
}

#[test]
fn unknown_codes_and_instances_are_reported() {
    assert!(error_text(&frame(1.0, &[init(3), record(999, 3)], SETTINGS)).contains("unknown event code 999"));
    assert!(error_text(&frame(1.0, &[record(257, 8)], "")).contains("instance 8"));
    let class = with_bytes(record(258, 3), 10, &9u16.to_le_bytes());
    assert!(error_text(&frame(1.0, &[init(3), class], SETTINGS)).contains("class 9"));
}

#[test]
fn invalid_references_and_settings_are_reported() {
    assert!(error_text(&frame(1.0, &[init(3)], "{}")).contains("outside the tail"));
    let out_of_range = with_bytes(init(3), 14, &u32::MAX.to_le_bytes());
    assert!(error_text(&frame(1.0, &[out_of_range], SETTINGS)).contains("outside the tail"));
    let invalid = "x".repeat(SETTINGS.len());
    assert!(error_text(&frame(1.0, &[init(3)], &invalid)).contains("don't parse"));
}

#[test]
fn errors_name_the_record_and_its_fault() {
    let length = SETTINGS.len();
    let outside = format!("record 0: text at 0 of {length} bytes lies outside the tail of 2");
    let texts = [
        (frame(1.0, &[init(3)], "{}"), outside.as_str()),
        (frame(1.0, &[init(3), record(999, 3)], SETTINGS), "record 1: unknown event code 999"),
        (frame(1.0, &[record(257, 8)], ""), "record 0: event 257 for instance 8, which does not exist"),
        (u32::MAX.to_le_bytes().to_vec(), "frame length 4294967295 is out of range"),
        (frame(f64::NAN, &[], ""), "the clock of a frame is not a number"),
        (frame(1.0, &[record(257, 1)], "")[..40].to_vec(), "input ended inside a frame: 36 of 76 bytes"),
        (vec![12, 0], "input ended inside a frame's length"),
    ];
    for (bytes, text) in texts {
        assert_eq!(error_text(&bytes), text);
    }
}
