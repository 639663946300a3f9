//! Requests that wait for capacity at this gateway, and the tasks that serve them.

use fulmarhead_lib::shortage::{Queue, QueueFull, Returns, Ticket, TicketId, Waiter};
use std::{collections::BTreeMap, sync::Arc, time::Instant};
use tokio::sync::Notify;

/// Queue of the waiting requests, each with the means to wake its task.
#[derive(Default)]
pub(crate) struct Shortage {
    pub(crate) queue: Queue,
    pub(crate) returns: Returns,
    wakers: BTreeMap<TicketId, Arc<Notify>>,
}

/// Place of a waiting request.
pub(crate) struct Place {
    pub(crate) ticket: Ticket,
    /// Is notified when the request may be next.
    pub(crate) waker: Arc<Notify>,
    pub(crate) entered_at: Instant,
}

impl Shortage {
    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if too many requests wait, in total or of the team.
    pub(crate) fn enter(&mut self, waiter: Waiter, now: Instant) -> Result<Place, QueueFull> {
        let ticket = self.queue.enter(waiter)?;
        let waker = Arc::new(Notify::new());
        self.wakers.insert(ticket.id(), Arc::clone(&waker));
        self.record_length();
        Ok(Place { ticket, waker, entered_at: now })
    }

    /// Gives up the place of a request, and wakes those that are now next.
    pub(crate) fn leave(&mut self, place: Place, now: Instant) {
        self.wakers.remove(&place.ticket.id());
        self.queue.leave(place.ticket);
        self.record_length();
        self.wake_next(now);
    }

    /// Wakes the tasks whose requests may be sent if an engine takes them, after capacity became
    /// free or the order has changed.
    pub(crate) fn wake_next(&self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        for id in self.queue.next(now) {
            if let Some(waker) = self.wakers.get(&id) {
                waker.notify_one();
            }
        }
    }

    /// Wakes the tasks of all requests, since something has changed for each of them.
    pub(crate) fn wake_all(&self) {
        self.wakers.values().for_each(|waker| waker.notify_one());
    }

    fn record_length(&self) {
        metrics::gauge!("fulmarhead_waiting_requests").set(self.queue.len() as f64);
    }
}
