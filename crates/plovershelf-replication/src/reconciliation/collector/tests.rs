use super::*;
use crate::test_support::{context, reserved};

fn records(keys: &[u128]) -> Vec<(IdempotencyKey, Record)> {
    keys.iter().map(|key| (IdempotencyKey(*key), reserved(2, &[1, 2]))).collect()
}

/// The first batch of a report is lost, the count arrives, and the report is retransmitted. It must count as complete only
/// after all keys have arrived, in any order.
#[test]
fn report_is_complete_when_the_announced_number_of_keys_has_arrived() {
    let membership = context(1, 1, &[1, 2]).membership;
    let mut collector = ReportCollector::default();
    collector.add_local(NodeId(1), Vec::new(), Vec::new());
    assert_eq!(collector.handle_report(NodeId(2), records(&[3, 4]), Vec::new()), ReportStatus::Partial);
    assert_eq!(collector.handle_report_complete(NodeId(2), 4), ReportStatus::Partial);
    assert!(collector.finish(&membership).is_none());
    assert_eq!(collector.handle_report(NodeId(2), records(&[3, 4]), Vec::new()), ReportStatus::Partial);
    assert_eq!(collector.handle_report(NodeId(2), records(&[1, 2]), Vec::new()), ReportStatus::Complete);
    let collected = collector.finish(&membership).expect("all reports are complete");
    assert_eq!(collected.records.len(), 4);
    assert!(collected.records.values().all(|reports| reports.len() == 1));
    assert!(collector.is_reconciled() && collector.finish(&membership).is_none());
}

/// The acknowledgement is lost and the report arrives again after reconciliation: it must be acknowledged again.
#[test]
fn report_received_after_reconciliation_is_acknowledged_at_its_count() {
    let membership = context(1, 1, &[1]).membership;
    let mut collector = ReportCollector::default();
    collector.add_local(NodeId(1), Vec::new(), Vec::new());
    assert!(collector.finish(&membership).is_some());
    assert_eq!(collector.handle_report(NodeId(2), records(&[1]), Vec::new()), ReportStatus::Partial);
    assert_eq!(collector.handle_report_complete(NodeId(2), 5), ReportStatus::Complete);
}
