//! The RPC methods of the inner listener, which forward each call to the core thread.

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
use crate::event::EventSender;

/// Creates the methods, whose calls become events for the core thread.
pub(crate) fn methods(event_sender: &EventSender) -> Result<RpcMethods, RpcServerError> {
    let mut methods = RpcMethods::new();
    let events = event_sender.clone();
    methods.forward(
        method::CONSENSUS_STEP,
        move |step: Step<Message>, done: Responder<()>| {
            events.send_or_drop(Event::Step(Box::new(step)));
            done.send(Ok(()));
        },
    )?;
    let events = event_sender.clone();
    methods.forward(method::OPERATOR, move |request: OperatorRequest, done| {
        forward_call(&events, Event::Operator(Box::new(request), done));
    })?;
    let events = event_sender.clone();
    methods.forward(method::WORKER_SYNC, move |sync: WorkerSync, done| {
        forward_call(&events, Event::WorkerSync(Box::new(sync), done));
    })?;
    let events = event_sender.clone();
    methods.forward(method::CLAIM, move |batch: ClaimBatch, done| {
        forward_call(&events, Event::Claims(batch, done));
    })?;
    let events = event_sender.clone();
    methods.forward(method::WATCH_CONFIG, move |watch: WatchConfig, done| {
        forward_call(&events, Event::WatchConfig(watch, done));
    })?;
    let events = event_sender.clone();
    methods.forward(method::QUEUE, move |call: QueueCall, done| {
        forward_call(&events, Event::Queue(Box::new(call), done));
    })?;
    let events = event_sender.clone();
    methods.forward(method::DUMP, move |_: Value, done: Responder<Value>| {
        let reply = Box::new(move |dump| done.send(Ok(dump)));
        forward_call(&events, Event::Dump(reply));
    })?;
    Ok(methods)
}

/// Forwards a call to the core thread, or answers that this member is busy. A dump that cannot be
/// forwarded ends with an unknown outcome instead, since its responder is dropped with the event.
pub(crate) fn forward_call(events: &EventSender, event: Event) {
    let Err(refused) = events.try_send_call(event) else {
        return;
    };
    match *refused {
        Event::Operator(_, done) => done.send(Err(RpcError::Busy)),
        Event::WorkerSync(_, done) => done.send(Err(RpcError::Busy)),
        Event::Claims(_, done) => done.send(Err(RpcError::Busy)),
        Event::WatchConfig(_, done) => done.send(Err(RpcError::Busy)),
        Event::Queue(_, done) | Event::LocalQueue(_, done) => done.send(Err(RpcError::Busy)),
        Event::LeaderIndexWanted(done) => done.send(Err(RpcError::Busy)),
        _ => {}
    }
}
