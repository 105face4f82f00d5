//! The methods of the inner listener. Each call is handed to the core thread.

use serde_json::Value;

use sapphirepost_consensus::Message;
use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServerError;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::consensus::Step;
use sapphirepost_protocol::method;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::worker::WorkerSync;

use crate::event::Event;
use crate::event::EventRing;

/// The methods, answered by the owner of `ring`.
pub(crate) fn methods(ring: &EventRing) -> Result<RpcMethods, RpcServerError> {
    let mut methods = RpcMethods::new();
    let events = ring.clone();
    methods.forward(
        method::CONSENSUS_STEP,
        move |step: Step<Message>, done: Responder<()>| {
            events.message(Event::Step(Box::new(step)));
            done.send(Ok(()));
        },
    )?;
    let events = ring.clone();
    methods.forward(method::OPERATOR, move |request: OperatorRequest, done| {
        hand_over(&events, Event::Operator(Box::new(request), done));
    })?;
    let events = ring.clone();
    methods.forward(method::WORKER_SYNC, move |sync: WorkerSync, done| {
        hand_over(&events, Event::WorkerSync(Box::new(sync), done));
    })?;
    let events = ring.clone();
    methods.forward(method::CLAIM, move |batch: ClaimBatch, done| {
        hand_over(&events, Event::Claims(batch, done));
    })?;
    let events = ring.clone();
    methods.forward(method::WATCH_CONFIG, move |watch: WatchConfig, done| {
        hand_over(&events, Event::WatchConfig(watch, done));
    })?;
    let events = ring.clone();
    methods.forward(method::QUEUE, move |call: QueueCall, done| {
        hand_over(&events, Event::Queue(Box::new(call), done));
    })?;
    let events = ring.clone();
    methods.forward(method::DUMP, move |_: Value, done: Responder<Value>| {
        let reply = Box::new(move |dump| done.send(Ok(dump)));
        hand_over(&events, Event::Dump(reply));
    })?;
    Ok(methods)
}

pub(crate) fn hand_over(events: &EventRing, event: Event) {
    let Err(refused) = events.call(event) else {
        return;
    };
    match *refused {
        Event::Operator(_, done) => done.send(Err(RpcError::Busy)),
        Event::WorkerSync(_, done) => done.send(Err(RpcError::Busy)),
        Event::Claims(_, done) => done.send(Err(RpcError::Busy)),
        Event::WatchConfig(_, done) => done.send(Err(RpcError::Busy)),
        Event::Queue(_, done) => done.send(Err(RpcError::Busy)),
        _ => {}
    }
}
