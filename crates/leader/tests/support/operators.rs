//! Simulated operators, which request plans, confirm them, and resend requests with the same
//! operation ID.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use sapphirepost_leader::Reply;
use sapphirepost_protocol::operator::Confirm;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Propose;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::OnPartition;
use sapphirepost_types::OperationId;
use sapphirepost_types::Plan;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_verifier::Answer;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Timed;

use super::job;
use super::name;

const RESEND_MS: u64 = 1_500;

enum Step {
    Idle,
    Planning(Propose),
    Confirming(Confirm, Box<Plan>),
}

pub struct SimOperator {
    pub id: usize,
    step: Step,
    next_at_ms: u64,
    calls: u64,
    operations: u64,
    pub confirmed: u64,
}

impl SimOperator {
    pub fn new(id: usize) -> SimOperator {
        SimOperator {
            id,
            step: Step::Idle,
            next_at_ms: 0,
            calls: 0,
            operations: 0,
            confirmed: 0,
        }
    }

    pub fn step(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        rng: &mut Pcg64,
        lost: &[String],
        repairs: Option<Vec<Intent>>,
    ) -> Option<(u64, OperatorRequest)> {
        if now_ms < self.next_at_ms {
            return None;
        }
        if let Step::Idle = self.step {
            let intent = match repairs {
                Some(repairs) => repairs.choose(rng)?.clone(),
                None => self.random_intent(rng, lost),
            };
            let operation = self.next_operation(unix_ms);
            self.step = Step::Planning(Propose { operation, intent });
        }
        self.next_at_ms = now_ms + RESEND_MS;
        self.calls += 1;
        let request = match &self.step {
            Step::Planning(propose) => OperatorRequest::Propose(propose.clone()),
            Step::Confirming(confirm, _) => OperatorRequest::Confirm(confirm.clone()),
            Step::Idle => return None,
        };
        Some((self.calls, request))
    }

    fn next_operation(&mut self, unix_ms: u64) -> OperationId {
        self.operations += 1;
        OperationId::new(unix_ms, &format!("op{}-{}", self.id, self.operations)).unwrap()
    }

    pub fn receive_reply(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        call: u64,
        reply: Reply,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) {
        let Reply::Operator(reply) = reply else {
            return;
        };
        match (&self.step, reply) {
            (Step::Planning(propose), OperatorReply::Plan(plan)) => {
                if plan.intent != propose.intent {
                    return;
                }
                let operation = self.next_operation(unix_ms);
                let confirm = Confirm {
                    operation,
                    plan: plan.id,
                };
                self.step = Step::Confirming(confirm, plan);
                self.next_at_ms = now_ms + rng.random_range(0..800);
            }
            (Step::Confirming(confirm, plan), OperatorReply::Confirmed(confirmed))
                if confirmed.operation == confirm.operation =>
            {
                let answer = accepted_answer(plan, confirmed.config_version.map(|v| v.0));
                history.push(answered_event(now_ms, confirm, answer));
                self.confirmed += 1;
                self.finish(now_ms, rng);
            }
            (Step::Confirming(confirm, _), OperatorReply::Refused(_)) if call == self.calls => {
                history.push(answered_event(now_ms, confirm, Answer::Refused));
                self.finish(now_ms, rng);
            }
            (Step::Planning(_), OperatorReply::Refused(_)) if call == self.calls => {
                self.finish(now_ms, rng);
            }
            _ => {}
        }
    }

    fn finish(&mut self, now_ms: u64, rng: &mut Pcg64) {
        self.step = Step::Idle;
        self.next_at_ms = now_ms + rng.random_range(50..1_500);
    }

    fn random_intent(&self, rng: &mut Pcg64, lost: &[String]) -> Intent {
        let job_name = format!("job-{}", rng.random_range(0..8));
        let worker = name(&format!("w{}", rng.random_range(0..6)));
        match rng.random_range(0..100) {
            0..40 => Intent::Run(random_job(&job_name, rng)),
            40..52 => Intent::Cancel {
                job: name(&job_name),
            },
            52..62 => Intent::Resize {
                job: name(&job_name),
                tasks: rng.random_range(0..5),
            },
            62..70 => Intent::Drain {
                worker,
                allow_interruption: rng.random(),
            },
            70..80 => Intent::Undrain { worker },
            80..92 => Intent::SetConfig {
                key: name(&format!("key-{}", rng.random_range(0..3))),
                value: rng
                    .random_bool(0.8)
                    .then(|| rng.random_range(0..1_000).to_string()),
                expected: None,
            },
            92..95 => Intent::SetQuota {
                team: name("team"),
                limit: rng
                    .random_bool(0.3)
                    .then(|| Resources::new(30_000, 60_000, 8)),
            },
            _ => match lost.choose(rng) {
                Some(lost) => Intent::DeclareLost { worker: name(lost) },
                None => Intent::Undrain { worker },
            },
        }
    }
}

fn random_job(job_name: &str, rng: &mut Pcg64) -> JobSpec {
    let run_time_ms = rng.random_range(100..6_000);
    let kind = match rng.random_range(0..10) {
        0..4 => JobKind::Service,
        4..8 => JobKind::Batch {
            deadline_unix_ms: None,
            run_time_ms,
        },
        _ => JobKind::Gang { run_time_ms },
    };
    let resources = Resources::new(
        rng.random_range(200..2_500),
        rng.random_range(100..2_000),
        0,
    );
    let mut spec = job(job_name, kind, rng.random_range(1..5), resources);
    spec.on_partition = match rng.random_range(0..4) {
        0 => Some(OnPartition::Move),
        1 => Some(OnPartition::Keep),
        _ => None,
    };
    if rng.random_bool(0.2) {
        spec.priority = Priority::Urgent;
    }
    if rng.random_bool(0.1) {
        spec.payload = "fail".to_owned();
    }
    spec
}

fn accepted_answer(plan: &Plan, version: Option<u64>) -> Answer {
    let rests_on = plan.rests_on.iter();
    let config = match &plan.intent {
        Intent::SetConfig { key, value, .. } => {
            version.map(|version| (version, key.clone(), value.clone()))
        }
        _ => None,
    };
    Answer::Accepted {
        rests_on: rests_on
            .map(|on| (on.object.to_string(), on.version.0))
            .collect(),
        config,
    }
}

fn answered_event(at_ms: u64, confirm: &Confirm, answer: Answer) -> Timed {
    let event = Event::ConfirmAnswered {
        operation: confirm.operation.to_string(),
        plan: confirm.plan,
        answer,
    };
    Timed { at_ms, event }
}
