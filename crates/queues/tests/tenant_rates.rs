//! The rate limits of tenants, and the jobs that can never start within a quota.

mod model;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_queues::ApiKey;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobTenant;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::Tenant;
use sapphirepost_queues::TenantLimits;
use sapphirepost_queues::scheduler::AdmissionLimit;
use sapphirepost_queues::scheduler::Rejection;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const QUEUE: &str = "lookup";
const UNLIMITED: Resources = Resources::new(u64::MAX, u64::MAX, u32::MAX);
/// The jobs a second that each tenant is owed.
const WEIGHT: f64 = 5.0;
/// What a tenant that stays within its rate sends of it.
const ORDINARY: f64 = 0.9;
/// How many times its rate the hot tenant sends.
const HOT: f64 = 6.0;
const HOT_TENANT: usize = 0;
const LOAD_S: u64 = 20;
/// The workers serve what the tenants are owed, and not what the hot tenant sends.
const FEW_WORKERS: usize = 15;
const MANY_WORKERS: usize = 40;

fn tenant(number: usize, weight: f64) -> Tenant {
    Tenant {
        name: Arc::from(format!("tenant-{number}")),
        keys: vec![ApiKey::new(&format!("key-{number}"))],
        limits: TenantLimits {
            priority: 1,
            weight,
            quota: UNLIMITED,
        },
    }
}

fn put_tenants(model: &mut Model, tenants: Vec<Tenant>) {
    let mut table = (**model.state.table().unwrap()).clone();
    table.version += 1;
    table.tenants = Some(tenants);
    model.propose(QueueCommand::PutTable(Box::new(table)));
    model.run(200);
}

fn model(workers: usize, weights: &[f64]) -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    let workers = (0..workers).map(worker).collect();
    let mut model = Model::new(vec![queue(QUEUE, 0, 1.5, 500)], workers, 0);
    let tenants = weights.iter().enumerate();
    put_tenants(&mut model, tenants.map(|(n, w)| tenant(n, *w)).collect());
    model
}

/// A model whose only worker has some seconds of waiting work.
fn loaded_model(weights: &[f64]) -> Model {
    let mut model = model(1, weights);
    for number in 0..40 {
        let spec = load::spec(Kind::Lookup, number);
        model.submit(load::key(Kind::Lookup, number), QUEUE, spec);
    }
    model.run(100);
    model
}

fn spec(number: u64) -> SubmittedSpec {
    load::spec(Kind::Lookup, 1_000 + number)
}

fn key(number: u64) -> JobKey {
    JobKey(load::key(Kind::Lookup, 1_000 + number))
}

/// Why a job of a tenant is rejected at a time, if it is.
fn decide(model: &mut Model, by: &Tenant, number: u64, now: Millis) -> Option<Rejection> {
    let table = model.state.table().unwrap();
    let (queue, by) = (table.queue(QUEUE).unwrap(), JobTenant::from(by));
    let admission = model
        .scheduler
        .admission(key(number), queue, &spec(number), Some(&by), now);
    admission.and_then(|admission| admission.rejection())
}

fn rate_retry_ms(model: &mut Model, by: &Tenant, number: u64, now: Millis) -> Option<u64> {
    let rejection = decide(model, by, number, now)?;
    (rejection.limit == AdmissionLimit::Rate).then_some(rejection.retry_after_ms)
}

/// What came of the jobs of one tenant.
#[derive(Clone, Debug, Default)]
struct Served {
    offered: usize,
    accepted: usize,
    rejected: BTreeMap<&'static str, usize>,
    /// Rejections of jobs that came back when they were told to.
    rejected_again: usize,
    /// The number of jobs that come back in each second.
    returns: BTreeMap<u64, usize>,
}

/// The first tenant sends six times its rate beside others within theirs. Each rejected caller
/// comes back when it is told to.
fn run_hot_tenant(model: &mut Model, tenants: usize) -> Vec<Served> {
    let mut served = vec![Served::default(); tenants];
    let mut returns: BTreeMap<(Millis, u64), usize> = BTreeMap::new();
    let (begin, mut next) = (model.now, 0);
    let mut due = vec![0.0; tenants];
    while model.now < begin + LOAD_S * 1_000 {
        let mut arriving = Vec::new();
        while let Some(first) = returns.first_entry()
            && first.key().0 <= model.now
        {
            let ((_, number), by) = first.remove_entry();
            arriving.push((by, number, true));
        }
        for (by, due) in due.iter_mut().enumerate() {
            let factor = if by == HOT_TENANT { HOT } else { ORDINARY };
            *due += WEIGHT * factor * STEP_MS as f64 / 1_000.0;
            while *due >= 1.0 {
                *due -= 1.0;
                arriving.push((by, next, false));
                next += 1;
            }
        }
        for (by, number, is_return) in arriving {
            let seen = &mut served[by];
            seen.offered += usize::from(!is_return);
            let tenant = tenant(by, WEIGHT);
            let Some(rejection) = decide(model, &tenant, number, model.now) else {
                seen.accepted += 1;
                let tenant = Some(Arc::new(JobTenant::from(&tenant)));
                model.submit_for(key(number).0, QUEUE, spec(number), tenant);
                continue;
            };
            *seen.rejected.entry(rejection.limit.label()).or_default() += 1;
            seen.rejected_again += usize::from(is_return);
            let at = model.now + rejection.retry_after_ms;
            *seen.returns.entry(at.since(begin) / 1_000).or_default() += 1;
            returns.insert((at, number), by);
        }
        model.run(STEP_MS);
    }
    served
}

/// Guards against a tenant beyond its rate that takes the service from the others, and against its
/// rejected jobs coming back at once or in vain.
#[test]
fn a_hot_tenant_is_rejected_what_is_beyond_its_rate_and_no_other_is() {
    let mut model = model(FEW_WORKERS, &[WEIGHT; 20]);
    let served = run_hot_tenant(&mut model, 20);
    let hot = &served[HOT_TENANT];
    println!("{hot:?}");
    for (by, ordinary) in served.iter().enumerate().skip(1) {
        assert_eq!(ordinary.accepted, ordinary.offered, "{by}: {ordinary:?}");
    }
    assert!(hot.rejected["rate"] > hot.offered / 4, "{hot:?}");
    assert_eq!(hot.rejected.len(), 1, "{hot:?}");
    assert!(hot.accepted >= (WEIGHT * LOAD_S as f64) as usize);
    assert_eq!(hot.rejected_again, 0, "{hot:?}");
    let most = hot.returns.values().max();
    assert!(most <= Some(&(WEIGHT as usize + 1)), "{hot:?}");
}

/// Guards against a rate limit that rejects jobs although the workers have room for them.
#[test]
fn no_job_is_rejected_while_the_service_has_room() {
    let mut model = model(MANY_WORKERS, &[WEIGHT; 20]);
    for served in run_hot_tenant(&mut model, 20) {
        assert_eq!(served.accepted, served.offered, "{served:?}");
    }
}

/// Guards against a caller that gets its job in before its turn by asking again and again, and
/// against a turn that is given to a new job.
#[test]
fn a_promised_token_waits_for_its_job() {
    let mut model = loaded_model(&[2.0]);
    let (by, begin) = (tenant(0, 2.0), model.now);
    let retries: Vec<Option<u64>> = (0..8)
        .map(|number| rate_retry_ms(&mut model, &by, number, begin))
        .collect();
    let told: Vec<u64> = retries.iter().copied().flatten().collect();
    assert_eq!(told, [500, 1_000, 1_500, 2_000, 2_500, 3_000]);
    for at_ms in (50..500).step_by(50) {
        let early = rate_retry_ms(&mut model, &by, 2, begin + at_ms);
        assert_eq!(early, Some(500 - at_ms));
    }
    let late = begin + told[5] + 1_000;
    for number in 3..8 {
        assert_eq!(rate_retry_ms(&mut model, &by, number, late), None);
    }
}

/// Guards against callers that have given up and take the rate from those that have not.
#[test]
fn a_promised_token_that_nobody_comes_for_is_given_to_another_job() {
    let mut model = loaded_model(&[2.0]);
    let (by, begin) = (tenant(0, 2.0), model.now);
    for number in 0..200 {
        decide(&mut model, &by, number, begin);
    }
    // 2 tokens come each second, and are kept for 2 s for those that they were promised.
    let at_ms = (0..30_000).step_by(100);
    let admitted = at_ms
        .filter(|at_ms| rate_retry_ms(&mut model, &by, 1_000 + at_ms, begin + *at_ms).is_none());
    assert_eq!(admitted.count(), 2 * (30 - 2) - 1);
}

/// Guards against a tenant that is owed nothing and is rejected with room, or told to return at
/// once.
#[test]
fn a_tenant_of_weight_0_is_admitted_only_while_there_is_room() {
    let mut idle = model(MANY_WORKERS, &[0.0]);
    let by = tenant(0, 0.0);
    let now = idle.now;
    assert_eq!(decide(&mut idle, &by, 0, now), None);
    let mut loaded = loaded_model(&[0.0]);
    let now = loaded.now;
    let retries: Vec<u64> = (0..100)
        .map(|number| rate_retry_ms(&mut loaded, &by, number, now).unwrap())
        .collect();
    let (first, last) = (retries.iter().min().unwrap(), retries.iter().max().unwrap());
    assert!(*first >= 30_000 && last - first > 30_000, "{first} {last}");
}

/// Guards against a new leader that admits more than a second of the rate at once, and against one
/// that goes on with a removed tenant.
#[test]
fn a_new_leader_starts_with_full_buckets() {
    let mut model = loaded_model(&[3.0, 3.0]);
    let by = tenant(0, 3.0);
    for term in 0..3 {
        let now = model.now;
        let numbers = (100 * term)..(100 * term + 20);
        let admitted = numbers.filter(|n| rate_retry_ms(&mut model, &by, *n, now).is_none());
        assert_eq!(admitted.count(), 3);
        let status = &model.scheduler.tenant_statuses(&model.state)[0];
        assert_eq!(status.rejected[AdmissionLimit::Rate.index()], 17);
        model.change_leader();
        model.run(100);
    }
    put_tenants(&mut model, vec![tenant(1, 3.0)]);
    let statuses = model.scheduler.tenant_statuses(&model.state);
    assert_eq!(statuses.len(), 1);
    assert_eq!(statuses[0].name, tenant(1, 3.0).name);
}

/// Guards against jobs that wait forever since they can never start within the quota.
#[test]
fn what_never_fits_the_quota_is_rejected_on_arrival() {
    let mut model = model(MANY_WORKERS, &[WEIGHT]);
    let mut by = tenant(0, WEIGHT);
    let mut limit = |count: u32, is_gang: bool, quota: Resources| {
        by.limits.quota = quota;
        let mut spec = load::spec(Kind::Lookup, 0);
        spec.steps[0].resources = Resources::new(1_000, 100, 1);
        (spec.steps[0].count, spec.steps[0].is_gang) = (count, is_gang);
        let queue = model.state.table().unwrap().queue(QUEUE).unwrap();
        let by = JobTenant::from(&by);
        let scheduler = &mut model.scheduler;
        let admission = scheduler.admission(key(0), queue, &spec, Some(&by), model.now);
        admission.unwrap().rejection()
    };
    let quota = Resources::new(4_000, 400, 4);
    assert_eq!(limit(4, true, quota), None);
    assert_eq!(limit(40, false, quota), None);
    let gang = limit(5, true, quota).unwrap();
    assert_eq!(gang.limit, AdmissionLimit::Quota);
    assert!(gang.retry_after_ms >= 60_000);
    let task = limit(1, false, Resources::new(4_000, 99, 4)).unwrap();
    assert_eq!(task.limit, AdmissionLimit::Quota);
    assert_eq!(limit(20_000, true, UNLIMITED), None);
}

/// Guards against decisions that cost the leader more than 5 % of its time with 100 tenants that
/// send 200 jobs a second, of which most wait for a promised token.
#[test]
fn decisions_for_100_tenants_cost_little() {
    const SECONDS: u64 = 60;
    let mut model = loaded_model(&[0.5; 100]);
    let (begin, clock) = (model.now, Instant::now());
    for number in 0..SECONDS * 200 {
        let by = tenant((number % 100) as usize, 0.5);
        decide(&mut model, &by, number, begin + number * 5);
    }
    let took = clock.elapsed();
    println!("{} decisions in {took:?}", SECONDS * 200);
    assert!(took < Duration::from_secs(SECONDS) / 20, "{took:?}");
}

/// Guards against a leader that falls behind and rejects jobs within the rate of their tenant,
/// since another tenant sends too much.
#[test]
fn a_slow_leader_first_rejects_what_is_beyond_the_rates() {
    const SLOW_MS: u64 = 120;
    let mut model = model(MANY_WORKERS, &[10.0, 10.0]);
    let (hot, ordinary, begin) = (tenant(0, 10.0), tenant(1, 10.0), model.now);
    let mut rejected = 0;
    for at_ms in (0..2_000).step_by(10) {
        let now = begin + at_ms;
        if at_ms % 50 == 0 && at_ms < 500 {
            model.scheduler.record_commit(SLOW_MS, now);
        }
        for number in 0..3 {
            let rejection = decide(&mut model, &hot, 10 * at_ms + number, now);
            rejected += usize::from(rejection.is_some_and(|r| r.limit == AdmissionLimit::Rate));
        }
        if at_ms % 120 == 0 {
            assert_eq!(decide(&mut model, &ordinary, 10 * at_ms + 9, now), None);
        }
    }
    assert!(rejected > 100, "{rejected} jobs beyond the rate");
}

/// Guards against jobs within the rate of their tenant that are rejected for the backlog of another
/// tenant, whose jobs beyond its rate were admitted while there was room.
#[test]
fn an_admitted_burst_of_one_tenant_does_not_reject_the_jobs_of_another() {
    let mut model = model(FEW_WORKERS, &[WEIGHT; 2]);
    let (hot, ordinary) = (tenant(0, WEIGHT), tenant(1, WEIGHT));
    let by = Some(Arc::new(JobTenant::from(&hot)));
    for number in 0..1_000 {
        let now = model.now;
        assert_eq!(decide(&mut model, &hot, number, now), None);
        model.submit_for(key(number).0, QUEUE, spec(number), by.clone());
    }
    model.run(200);
    let now = model.now;
    // Its bucket has one token again.
    decide(&mut model, &hot, 1_000, now);
    assert!(rate_retry_ms(&mut model, &hot, 1_001, now).is_some());
    for number in 2_000..2_005 {
        assert_eq!(decide(&mut model, &ordinary, number, now), None);
    }
}
