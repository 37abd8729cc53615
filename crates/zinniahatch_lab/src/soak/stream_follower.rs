//! A caller that follows a stream to its end: it takes the stream up again, at any entry VM, when it is
//! broken off or when the caller itself has left it.

use super::invariants::FollowedStream;
use super::invariants::StreamEvent;
use crate::site::HOST;
use rand::RngExt;
use rand::rngs::StdRng;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;

/// Requests that a caller sends for one stream at most.
const MAX_REQUESTS: u32 = 5;
/// Pause before a stream is taken up again.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(60);
/// One in this many requests is left by its caller midway.
const LEAVE_ONE_IN: u32 = 3;

/// A caller of one stream.
pub(crate) struct StreamFollower<'a> {
    pub(crate) client: &'a Client,
    /// Addresses of all entry VMs for callers.
    pub(crate) fronts: &'a [Box<str>],
    pub(crate) random: &'a mut StdRng,
    /// Id of the first attempt.
    pub(crate) attempt: &'a str,
    /// Time that the caller has for each request.
    pub(crate) time_limit: Duration,
    /// Time after which a request counts as never answered.
    pub(crate) hang_timeout: Duration,
}

/// How one request for a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Whole,
    Broken,
    Refused,
    Hung,
}

impl StreamFollower<'_> {
    /// Follows the stream; the first request goes to `front`.
    pub(crate) async fn run(mut self, front: &str) -> FollowedStream {
        let mut followed = FollowedStream::default();
        let mut front: Box<str> = front.into();
        for number in 0..MAX_REQUESTS {
            let request = self.prepare(&front, number, &followed.events);
            let takes_up = !followed.events.is_empty();
            let known = followed.events.len();
            let limit = self.hang_timeout;
            let reading = self.read(request, &mut followed.events);
            let end = timeout(limit, reading).await.unwrap_or(RequestEnd::Hung);
            if takes_up {
                followed.taken_up += 1;
                followed.went_on += u32::from(followed.events.len() > known);
            }
            followed.whole = end == RequestEnd::Whole;
            followed.hung = end == RequestEnd::Hung;
            if followed.whole || followed.hung {
                return followed;
            }
            sleep(TAKE_UP_PAUSE).await;
            let next = self.random.random_range(0..self.fronts.len());
            front = self.fronts[next].clone();
        }
        followed
    }

    fn prepare(&self, front: &str, number: u32, events: &[StreamEvent]) -> RequestBuilder {
        let attempt = match number {
            0 => self.attempt.to_owned(),
            _ => format!("{}-u{number}", self.attempt),
        };
        let request = self
            .client
            .get(format!("http://{front}/stream/x"))
            .header("host", HOST)
            .header("x-attempt-id", attempt)
            .header("x-time-remaining", self.time_limit.as_millis().to_string());
        let Some(last) = events.last() else {
            return request;
        };
        request
            .header("resumes", &*last.first_attempt)
            .header("last-event-id", last.id.to_string())
    }

    /// Reads the events of one request until its end, or until the caller leaves.
    async fn read(&mut self, request: RequestBuilder, events: &mut Vec<StreamEvent>) -> RequestEnd {
        let leaves = self.random.random_range(0..LEAVE_ONE_IN) == 0;
        let leave_after = events.len() + self.random.random_range(1..super::SHAPE.events as usize);
        let Ok(mut response) = request.send().await else {
            return RequestEnd::Broken;
        };
        if response.status() != StatusCode::OK {
            return RequestEnd::Refused;
        }
        let mut text = String::new();
        loop {
            let chunk = match response.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) if text.is_empty() => return RequestEnd::Whole,
                Ok(None) | Err(_) => return RequestEnd::Broken,
            };
            text += &String::from_utf8_lossy(&chunk);
            while let Some((event, rest)) = text.split_once("\n\n") {
                let event = StreamEvent::parse(event, events.first());
                text = rest.into();
                events.push(event);
            }
            if leaves && events.len() >= leave_after {
                return RequestEnd::Broken;
            }
        }
    }
}
