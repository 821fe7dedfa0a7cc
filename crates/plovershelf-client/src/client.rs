//! Handles that a host program makes calls with. They send commands to the client's task through a queue.

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

/// Command of a handle to the client's task.
pub(crate) enum Command {
    Call {
        call_number: u64,
        request: Box<Request>,
        deadline: Instant,
        response: Sender<Response>,
    },
    /// The future of a call was dropped, before or after its response.
    Dropped {
        call_number: u64,
    },
    UpdateEndpoints(EndpointList),
    Counters(Sender<Counters>),
    Close(Sender<()>),
}

/// State that all handles of a client share with its task.
pub(crate) struct Shared {
    commands: Sender<Command>,
    /// Number of calls that wait for their response. Its limit also bounds the queue of commands.
    pending: AtomicUsize,
    max_pending: usize,
    next_call_number: AtomicU64,
}

impl Shared {
    pub(crate) fn new(commands: Sender<Command>, max_pending: usize) -> Self {
        Shared { commands, pending: AtomicUsize::new(0), max_pending, next_call_number: AtomicU64::new(0) }
    }

    /// Counts a new pending call. Returns false if the limit is reached.
    fn reserve(&self) -> bool {
        let reserved = self.pending.fetch_add(1, Ordering::Relaxed) < self.max_pending;
        if !reserved {
            self.release();
        }
        reserved
    }

    /// Records that a call is no longer pending.
    pub(crate) fn release(&self) {
        self.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handle of a client. Clones share its endpoints, connections and budgets.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Client { shared }
    }

    /// Makes a call. The future resolves to exactly one [`Response`] by the deadline; dropping it cancels the
    /// call at the backend.
    pub fn call(&self, request: Request) -> PendingCall {
        let deadline = Instant::now() + request.timeout;
        let call_number = self.shared.next_call_number.fetch_add(1, Ordering::Relaxed);
        if let Some(error) = request.validation_error() {
            return PendingCall::ended(call_number, Response::Invalid(error));
        }
        if !self.shared.reserve() {
            return PendingCall::ended(call_number, not_sent(NotSentReason::LimitReached));
        }
        let (response, receiver) = async_channel::bounded(1);
        let command = Command::Call { call_number, request: Box::new(request), deadline, response };
        if self.shared.commands.try_send(command).is_err() {
            self.shared.release();
            return PendingCall::ended(call_number, not_sent(NotSentReason::Closed));
        }
        PendingCall { shared: Some(self.shared.clone()), call_number, response: Ok(Box::pin(receiver)) }
    }

    /// Makes a call and blocks the thread until its response.
    pub fn call_blocking(&self, request: Request) -> Response {
        async_io::block_on(self.call(request))
    }

    /// Replaces the list of endpoints. An empty list is ignored.
    pub fn set_endpoints(&self, endpoints: &[SocketAddr]) {
        let list = EndpointList::from_addresses(endpoints);
        let _ = self.shared.commands.try_send(Command::UpdateEndpoints(list));
    }

    /// Returns the totals since the start, or zeros once the client is closed.
    pub async fn counters(&self) -> Counters {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.shared.commands.try_send(Command::Counters(sender));
        receiver.recv().await.unwrap_or_default()
    }

    /// Ends all calls and closes all connections.
    pub async fn close(&self) {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.shared.commands.try_send(Command::Close(sender));
        let _ = receiver.recv().await;
    }
}

fn not_sent(reason: NotSentReason) -> Response {
    Response::NotSent { reason, retry_after: None }
}

/// Future of a call's response.
#[must_use = "a call whose future is dropped is cancelled"]
pub struct PendingCall {
    shared: Option<Arc<Shared>>,
    call_number: u64,
    /// Channel that delivers the response, or the response itself if the call ended immediately.
    response: Result<Pin<Box<Receiver<Response>>>, Option<Response>>,
}

impl PendingCall {
    /// Returns a call that ended before it reached the client's task.
    fn ended(call_number: u64, response: Response) -> Self {
        PendingCall { shared: None, call_number, response: Err(Some(response)) }
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
            let _ = shared.commands.try_send(Command::Dropped { call_number: self.call_number });
        }
    }
}
