//! What an input of the state machine leads to: messages to members and events for the local backend.

use plovershelf_cluster::NodeId;

use crate::message::Message;
use crate::record::{Outcome, RequestId};

/// What the local backend is told of its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// All replicas have the reservation: launch the request.
    Launch(RequestId),
    /// Another attempt held the key: answer with its outcome; nothing was launched here.
    AlreadyCompleted(RequestId, Outcome),
    /// All replicas have the outcome: answer with it. It may be another than the local run's own.
    OutcomeReplicated(RequestId, Outcome),
    /// At least `min_replicas` have the outcome and others are slow or gone: answer with it if the deadline comes first.
    OutcomeProvisional(RequestId, Outcome),
    /// No promise can be made now: reject the request; nothing was launched.
    Rejected(RequestId),
}

/// What the driver carries out, each list in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Messages to other members.
    pub messages: Vec<(NodeId, Message)>,
    /// Events for the local backend.
    pub events: Vec<Event>,
}

#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// To any member, the local one too.
    Send(NodeId, Message),
    Emit(Event),
}

/// What one step of one role asks for, in order.
#[derive(Clone, Debug, Default)]
#[must_use]
pub(crate) struct Effects(pub(crate) Vec<Effect>);

impl Effects {
    pub(crate) fn message(to: NodeId, message: Message) -> Self {
        Effects(vec![Effect::Send(to, message)])
    }

    pub(crate) fn event(event: Event) -> Self {
        Effects(vec![Effect::Emit(event)])
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.0.push(Effect::Send(to, message));
    }

    pub(crate) fn emit(&mut self, event: Event) {
        self.0.push(Effect::Emit(event));
    }

    pub(crate) fn append(&mut self, later: Effects) {
        self.0.extend(later.0);
    }
}
