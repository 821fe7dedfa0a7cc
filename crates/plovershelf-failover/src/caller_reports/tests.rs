use super::*;

/// Returns reports of one caller per origin with 40 attempts at each zone; `answered` has a row per origin and a column per
/// zone.
fn reports(answered: [[f64; 3]; 3]) -> CallerReports {
    let mut reports = CallerReports::new(3, ReportLimits::default());
    for (origin, row) in answered.into_iter().enumerate() {
        let attempts = row.map(|answered| AttemptCounts { attempts: 40.0, answered }).to_vec();
        let report = CallerReport { origin, demand_elsewhere: [0.0; PRIORITY_BANDS], attempts };
        reports.handle_report(0.0, origin as u64, report);
    }
    reports
}

/// The network from one origin to a zone fails while other origins reach the zone. Only the path must count as cut, and the
/// zone must keep its capacity.
#[test]
fn path_that_fails_for_one_origin_is_cut_and_the_zone_keeps_its_capacity() {
    let reports = reports([[40.0, 0.0, 40.0], [40.0; 3], [40.0; 3]]);
    assert_eq!(reports.cut_paths(100.0), [(0, 1)]);
    let mut loads = vec![ZoneLoad { capacity: 10.0, ..ZoneLoad::default() }; 3];
    reports.adjust(100.0, &mut loads);
    assert_eq!(loads[1].capacity, 10.0);
}

/// No origin reaches a zone whose members report normal load. No path must count as cut, and the zone must lose its capacity.
#[test]
fn zone_that_no_origin_reaches_loses_its_capacity() {
    let reports = reports([[40.0, 0.0, 40.0]; 3]);
    assert_eq!(reports.cut_paths(100.0), []);
    let mut loads = vec![ZoneLoad { capacity: 10.0, ..ZoneLoad::default() }; 3];
    reports.adjust(100.0, &mut loads);
    assert_eq!((loads[0].capacity, loads[1].capacity), (10.0, 0.0));
}

#[test]
fn malformed_and_stale_reports_are_ignored() {
    let mut reports = reports([[40.0, 0.0, 40.0], [40.0; 3], [40.0; 3]]);
    assert_eq!(reports.cut_paths(5000.0), []);
    let counts = AttemptCounts { attempts: f64::NAN, answered: 1.0 };
    reports.handle_report(0.0, 0, CallerReport { attempts: vec![counts], ..CallerReport::default() });
    assert_eq!(reports.cut_paths(100.0), [(0, 1)], "the previous report is still in effect");
}
