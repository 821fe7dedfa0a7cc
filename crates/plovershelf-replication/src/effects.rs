//! Outputs of the state machine: messages to members and events for the local backend.

use plovershelf_cluster::NodeId;

use crate::message::Message;
use crate::record::{Outcome, RequestId};

/// Notification to the local backend about one of its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// All replicas have confirmed the reservation: the backend may launch the request.
    Launch(RequestId),
    /// Another attempt with the same key completed: answer with its outcome. This request was never launched.
    AlreadyCompleted(RequestId, Outcome),
    /// All replicas have confirmed the outcome: answer with it. It may differ from the result of the local run.
    OutcomeReplicated(RequestId, Outcome),
    /// At least `min_replicas` replicas have confirmed the outcome and others are late or unreachable: answer with it if
    /// the request's deadline passes before the remaining replicas confirm.
    OutcomeProvisional(RequestId, Outcome),
    /// The reservation could not be replicated or was cancelled: reject the request, which was never launched.
    Rejected(RequestId),
}

/// Outputs that the driver must carry out, each list in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Messages to other members.
    pub messages: Vec<(NodeId, Message)>,
    /// Notifications to the local backend.
    pub events: Vec<Event>,
}

/// A single output of a role.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Sends a message to a member, which may be the local one.
    Send(NodeId, Message),
    Emit(Event),
}

/// Ordered outputs of one step of a role.
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
