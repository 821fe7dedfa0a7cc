use super::*;

#[test]
fn exclusive_work_goes_out_again_on_proof_only_and_ticketed_work_stays_where_it_may_have_run() {
    use {Again::*, Idempotency::*, TryOver::*};
    for over in [Dismissed, Crossed] {
        assert_eq!([Idempotent, Keyed, NonIdempotent].map(|r| again(r, over, false)), [Anywhere; 3]);
        assert_eq!(
            [Idempotent, Keyed, NonIdempotent].map(|r| again(r, over, true)),
            [Anywhere, SameMember, No]
        );
    }
    for (over, before) in [(Failed, false), (Lost, false), (Failed, true), (Lost, true)] {
        assert_eq!(
            [Idempotent, Keyed, NonIdempotent].map(|r| again(r, over, before)),
            [Anywhere, SameMember, No]
        );
    }
}
