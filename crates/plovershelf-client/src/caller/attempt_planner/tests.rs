use super::*;
use crate::caller::action::{CallOutcome, CallSpec, ConnectionId};
use crate::caller::call::InFlightAttempt;
use crate::caller::endpoint::EndpointId;
use crate::caller::retry_policy::AttemptEnd;
use plovershelf::api::Idempotency;

fn call(planner: &mut AttemptPlanner, config: &ClientConfig) -> Call {
    let class = planner.class_of(&"plan".into(), config);
    let idempotency = Idempotency::Idempotent;
    let spec = CallSpec {
        class: "plan".into(),
        idempotency,
        priority: 0.5,
        deadline_ms: 100.0,
        subject: 0,
        bytes: 1,
    };
    Call::new(&spec, class)
}

#[test]
fn empty_retry_budget_stops_retries_but_not_first_attempts() {
    let config = ClientConfig { seed: 1, retry_budget_fraction: 0.0, ..ClientConfig::default() };
    let (mut planner, mut context) = (AttemptPlanner::new(&config), Context::new(config.clone()));
    let mut call = call(&mut planner, &config);
    assert_eq!(planner.plan_next(&mut context, &call), Plan::Send { timeout_ms: 99.0 });
    let attempt = InFlightAttempt { connection: ConnectionId(1), sequence: 1, endpoint: EndpointId(1) };
    call.add_attempt(attempt);
    call.remove_attempt(attempt);
    let failed = CallOutcome::Failed { may_have_run: true };
    call.record_failed_attempt(EndpointId(1), AttemptEnd::Failed, failed);
    assert_eq!(planner.plan_next(&mut context, &call), Plan::OverBudget);
}

#[test]
fn attempt_is_too_late_if_less_time_is_left_than_the_lowest_latency_of_its_class() {
    let config = ClientConfig { seed: 1, ..ClientConfig::default() };
    let (mut planner, mut context) = (AttemptPlanner::new(&config), Context::new(config.clone()));
    let call = call(&mut planner, &config);
    planner.record_success(&context, call.class, 60.0);
    context.advance_to(40.0);
    assert_eq!(planner.plan_next(&mut context, &call), Plan::Send { timeout_ms: 59.0 });
    context.advance_to(40.5);
    assert_eq!(planner.plan_next(&mut context, &call), Plan::TooLate);
}
