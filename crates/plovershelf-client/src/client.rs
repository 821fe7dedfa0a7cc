//! Handles by which a host program makes calls. They reach the client's task through a queue of commands.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use futures_lite::Stream;

use crate::caller::{Counters, NotSentReason};
use crate::endpoint_list::EndpointList;
use crate::request::{Request, Response};

/// What a handle asks of the client's task.
pub(crate) enum Command {
    Call {
        number: u64,
        request: Box<Request>,
        deadline: Instant,
        response: Sender<Response>,
    },
    /// The future of a call was dropped, before or after its response.
    Dropped {
        number: u64,
    },
    UpdateEndpoints(EndpointList),
    Counters(Sender<Counters>),
    Close(Sender<()>),
}

/// What all handles of a client share with its task.
pub(crate) struct Shared {
    commands: Sender<Command>,
    /// Calls that wait for their response; it bounds the queue.
    pending: AtomicUsize,
    max_pending: usize,
    last_number: AtomicU64,
}

impl Shared {
    pub(crate) fn new(commands: Sender<Command>, max_pending: usize) -> Self {
        Shared { commands, pending: AtomicUsize::new(0), max_pending, last_number: AtomicU64::new(0) }
    }

    /// Takes a place among the pending calls, if one is free.
    fn reserve(&self) -> bool {
        let reserved = self.pending.fetch_add(1, Ordering::Relaxed) < self.max_pending;
        if !reserved {
            self.release();
        }
        reserved
    }

    /// A call is no longer pending.
    pub(crate) fn release(&self) {
        self.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A handle of a client. Clones share its endpoints, connections and budgets.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Client { shared }
    }

    /// Makes a call; it has exactly one [`Response`], by its deadline. Dropping the future cancels the call at the backend.
    pub fn call(&self, request: Request) -> PendingCall {
        let deadline = Instant::now() + request.timeout;
        let number = self.shared.last_number.fetch_add(1, Ordering::Relaxed);
        if let Some(fault) = request.fault() {
            return PendingCall::ended(number, Response::Invalid(fault));
        }
        if !self.shared.reserve() {
            return PendingCall::ended(number, not_sent(NotSentReason::LimitReached));
        }
        let (response, receiver) = async_channel::bounded(1);
        let command = Command::Call { number, request: Box::new(request), deadline, response };
        if self.shared.commands.try_send(command).is_err() {
            self.shared.release();
            return PendingCall::ended(number, not_sent(NotSentReason::Closed));
        }
        PendingCall { shared: Some(self.shared.clone()), number, response: Ok(Box::pin(receiver)) }
    }

    /// The same without an executor: blocks the thread until the response.
    pub fn call_blocking(&self, request: Request) -> Response {
        async_io::block_on(self.call(request))
    }

    /// Replaces the endpoints; an empty list changes nothing.
    pub fn set_endpoints(&self, endpoints: &[SocketAddr]) {
        let list = EndpointList::from_addresses(endpoints);
        let _ = self.shared.commands.try_send(Command::UpdateEndpoints(list));
    }

    /// Totals since the start; zeros once the client is closed.
    pub async fn counters(&self) -> Counters {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.shared.commands.try_send(Command::Counters(sender));
        receiver.recv().await.unwrap_or_default()
    }

    /// Ends all calls and connections.
    pub async fn close(&self) {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.shared.commands.try_send(Command::Close(sender));
        let _ = receiver.recv().await;
    }
}

fn not_sent(reason: NotSentReason) -> Response {
    Response::NotSent { reason, retry_after: None }
}

/// A call that waits for its response.
#[must_use = "a call whose future is dropped is cancelled"]
pub struct PendingCall {
    shared: Option<Arc<Shared>>,
    number: u64,
    /// Where the response comes from, or the response that was there at once.
    response: Result<Pin<Box<Receiver<Response>>>, Option<Response>>,
}

impl PendingCall {
    fn ended(number: u64, response: Response) -> Self {
        PendingCall { shared: None, number, response: Err(Some(response)) }
    }
}

impl Future for PendingCall {
    type Output = Response;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Response> {
        let closed = || not_sent(NotSentReason::Closed);
        let response = match &mut self.response {
            Err(response) => response.take().unwrap_or_else(closed),
            Ok(receiver) => match receiver.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(response) => response.unwrap_or_else(closed),
            },
        };
        self.shared = None;
        Poll::Ready(response)
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if let Some(shared) = &self.shared {
            let _ = shared.commands.try_send(Command::Dropped { number: self.number });
        }
    }
}
