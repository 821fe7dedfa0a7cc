use super::*;
use crate::frame::read_batch;

const SETTINGS: &str = r#"{
    "classes": [{"aim_ms": 1000.0, "deadline_ms": 3000.0, "effect": "repeatable", "gain": 1.0}],
    "family_info": {"cores": 2, "memory_kb": 10000.0, "run_factor": 8.0, "signal": "silent",
        "halt": "abort", "meters": ["cpu_busy", "runnable"]},
    "rules": {"tip_multiple": 8.0}, "unheard_of": [1, {"x": null}]}"#;

fn row(code: u16, instance: u32) -> Vec<u8> {
    let mut row = vec![0; 64];
    row[0..2].copy_from_slice(&code.to_le_bytes());
    row[2..6].copy_from_slice(&instance.to_le_bytes());
    row
}

fn with(mut row: Vec<u8>, offset: usize, bytes: &[u8]) -> Vec<u8> {
    row[offset..offset + bytes.len()].copy_from_slice(bytes);
    row
}

fn init(instance: u32) -> Vec<u8> {
    with(row(262, instance), 18, &(SETTINGS.len() as u32).to_le_bytes())
}

fn frame(now: f64, rows: &[Vec<u8>], tail: &str) -> Vec<u8> {
    let length = 12 + 64 * rows.len() + tail.len();
    let mut out = (length as u32).to_le_bytes().to_vec();
    out.extend(now.to_le_bytes());
    out.extend((rows.len() as u32).to_le_bytes());
    rows.iter().for_each(|row| out.extend(row));
    out.extend(tail.as_bytes());
    out
}

fn play(host: &mut Host, bytes: &[u8]) -> Result<Vec<u8>, String> {
    let batch = read_batch(&mut &bytes[..])?.expect("a frame");
    host.answer(&batch)
}

fn complaint(bytes: &[u8]) -> String {
    play(&mut Host::default(), bytes).expect_err("bad input is refused")
}

#[test]
fn an_invocation_is_run_in_the_reply_to_its_reading() {
    let mut host = Host::default();
    let work = with(with(row(258, 3), 6, &77u32.to_le_bytes()), 40, &10f32.to_le_bytes());
    let reply = play(&mut host, &frame(5.0, &[init(3), work], SETTINGS)).expect("a reply");
    let codes: Vec<u16> = reply[8..].chunks(24).map(|a| u16::from_le_bytes([a[0], a[1]])).collect();
    assert_eq!(codes, [265, 268, 256, 268]);
    assert_eq!(reply[8 + 48..8 + 58], [0, 1, 3, 0, 0, 0, 77, 0, 0, 0]);
    let finished = with(row(263, 3), 6, &77u32.to_le_bytes());
    let reply = play(&mut host, &frame(50.0, &[finished.clone(), finished], "")).expect("a reply");
    assert_eq!(reply, [4, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    assert_eq!(play(&mut Host::default(), &frame(1.0, &[], "")), Ok(vec![4, 0, 0, 0, 0, 0, 0, 0]));
    assert!(read_batch(&mut &[][..]).expect("no error").is_none());
}

#[test]
fn short_and_oversized_frames_are_refused() {
    let whole = frame(1.0, &[row(257, 1)], "");
    assert!(complaint(&whole[..40]).contains("inside a frame"));
    assert!(complaint(&whole[..2]).contains("length"));
    assert!(complaint(&u32::MAX.to_le_bytes()).contains("out of range"));
    let mut records = frame(1.0, &[], "");
    records[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(complaint(&records).contains("records"));
}

#[test]
fn unknown_codes_and_instances_are_named() {
    assert!(complaint(&frame(1.0, &[init(3), row(999, 3)], SETTINGS)).contains("unknown event code 999"));
    assert!(complaint(&frame(1.0, &[row(257, 8)], "")).contains("instance 8"));
    let class = with(row(258, 3), 10, &9u16.to_le_bytes());
    assert!(complaint(&frame(1.0, &[init(3), class], SETTINGS)).contains("class 9"));
}

#[test]
fn bad_references_and_settings_are_named() {
    assert!(complaint(&frame(1.0, &[init(3)], "{}")).contains("outside the tail"));
    let far = with(init(3), 14, &u32::MAX.to_le_bytes());
    assert!(complaint(&frame(1.0, &[far], SETTINGS)).contains("outside the tail"));
    let broken = "x".repeat(SETTINGS.len());
    assert!(complaint(&frame(1.0, &[init(3)], &broken)).contains("don't parse"));
}
