//! One request from its head to its answer, read from top to bottom.
//! States: Taken, then Offered, then Begun. Only what is Taken can be refused.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::answer::{Answer, Out};
use crate::Router;
use crate::fleet_view::table::{Repeat, Table, Tenant, repeat};
use crate::place::prompt::Prompt;
use crate::place::{self, Choice, Nowhere};
use crate::pool::connection::{self, ConnectionError, Leased, Streaming};
use crate::pool::{Seat, Told};
use bytes::Bytes;
use fleet_core::configuration::Route;
use fleet_core::constants;
use fleet_core::log::Event;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const KEY: HeaderName = HeaderName::from_static("x-key");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const TARGET: HeaderName = HeaderName::from_static("x-target-instance");
const EXPECTED: HeaderName = HeaderName::from_static("x-expected-version");
const SALT: HeaderName = HeaderName::from_static("x-cache-salt");
const URGENCY: HeaderName = HeaderName::from_static("x-urgency");
const SOURCE: HeaderName = HeaderName::from_static("x-kv-source");
const SINK: HeaderName = HeaderName::from_static("x-kv-sink");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const LOAD: HeaderName = HeaderName::from_static("x-instance-load");
const WEIGHTS: HeaderName = HeaderName::from_static("x-weight-versions");

/// Headers of one connection, and those that are ours alone to set.
static DROPPED: [HeaderName; 20] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    KEY,
    TENANT,
    TARGET,
    EXPECTED,
    SALT,
    URGENCY,
    SOURCE,
    SINK,
    DEADLINE,
];

/// A request that was read whole and is allowed, and what has become of it so far.
pub struct Job {
    pub table: Arc<Table>,
    pub route: Arc<Route>,
    pub tenant: Option<Arc<Tenant>>,
    pub service: String,
    pub prompt: Prompt,
    pub repeat: Repeat,
    pub deadline: Instant,
    attempt: HeaderValue,
    method: http::Method,
    uri: http::Uri,
    headers: HeaderMap,
    body: Bytes,
    tried: Vec<String>,
    sends: u32,
}

/// Not at any engine: may still be refused.
pub struct Taken(pub Box<Job>);

/// Sent to an engine that may have run it: can't be refused any more.
pub struct Offered(Box<Job>);

/// An engine's answer has begun.
pub struct Begun {
    pub job: Box<Job>,
    pub run: Run,
    pub connection: Streaming,
    pub head: http::response::Parts,
    pub body: Incoming,
}

/// Load of one send at its engine, until dropped.
pub struct Run {
    pub seat: Arc<Seat>,
    source: Option<Arc<Seat>>,
    unread: u64,
    tokens: u64,
    interactive: u32,
}

impl Run {
    fn start(c: &Choice, tokens: u64, interactive: bool) -> Run {
        if let Some(s) = &c.source_seat {
            s.work().moves += 1;
        }
        let mut w = c.seat.work();
        w.runs += 1;
        w.interactive += u32::from(interactive);
        w.unread += c.missing;
        w.tokens += tokens;
        let (seat, source) = (c.seat.clone(), c.source_seat.clone());
        Run { seat, source, unread: c.missing, tokens, interactive: interactive.into() }
    }

    fn begun(&mut self) {
        self.seat.work().unread -= std::mem::take(&mut self.unread);
        if let Some(s) = self.source.take() {
            s.work().moves -= 1;
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.begun();
        let mut w = self.seat.work();
        w.runs -= 1;
        w.interactive -= self.interactive;
        w.tokens -= self.tokens;
    }
}

/// What became of an offer.
pub enum Fate {
    Begun(Box<Begun>),
    /// the engine says that it has not run it
    Back(Taken),
    /// nothing was sent
    Unsent(Taken),
    Unsure(Offered),
    Late(Offered),
}

#[expect(
    clippy::too_many_lines,
    reason = "older than the lint; mended when the file is next changed"
)]
pub async fn deliver(d: &Arc<Router>, rq: http::Request<Incoming>) -> http::Response<Out> {
    let arrived = Instant::now();
    let Some(table) = d.fleet_view.table() else { return Answer::refuse().write() };
    let (mut head, body) = rq.into_parts();
    if head.headers.contains_key(header::CONTENT_LENGTH)
        && head.headers.contains_key(header::TRANSFER_ENCODING)
    {
        return Answer::plain(StatusCode::BAD_REQUEST).closing().write();
    }
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or("");
    let Some(route) = table.route(host, head.uri.path()).cloned() else {
        return Answer::plain(StatusCode::NOT_FOUND).write();
    };
    let key = head.headers.get(KEY).and_then(|h| h.to_str().ok());
    let tenant = key.and_then(|t| table.tenant(t)).cloned();
    if tenant.is_none() && table.has_tenants() && !route.public {
        return Answer::plain(StatusCode::UNAUTHORIZED).write();
    }
    let Some(attempt) = head.headers.get(ATTEMPT).cloned() else {
        return Answer::plain(StatusCode::BAD_REQUEST).write();
    };
    let Some(wait) = deadline(&head.headers) else {
        return Answer::plain(StatusCode::BAD_REQUEST).write();
    };
    let limit = wait.min(Duration::from_millis(route.timeout_ms));
    let deadline = arrived + limit;
    let limited = http_body_util::Limited::new(body, table.limits.max_body_bytes);
    let body = match tokio::time::timeout_at(deadline, limited.collect()).await {
        Ok(Ok(b)) => b.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Answer::plain(StatusCode::PAYLOAD_TOO_LARGE).closing().write();
        }
        Ok(Err(_)) => return Answer::plain(StatusCode::BAD_REQUEST).closing().write(),
        Err(_) => return Answer::plain(StatusCode::REQUEST_TIMEOUT).closing().write(),
    };
    let Some(service) = table.pick(&route, d.rng_state()).map(str::to_owned) else {
        return Answer::refuse().write();
    };
    let prompt = Prompt::read(&head.headers);
    for h in &DROPPED {
        head.headers.remove(h);
    }
    d.counters.taken.fetch_add(1, Ordering::Relaxed);
    d.arrived(&service);
    let mut taken = Taken(Box::new(Job {
        repeat: repeat(&route),
        table,
        route,
        tenant,
        service,
        prompt,
        deadline,
        attempt,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        tried: Vec::new(),
        sends: 0,
    }));
    loop {
        let (choice, leased, t) = match taken.find(d).await {
            Ok(x) => x,
            Err(t) => return t.refuse(d),
        };
        taken = match t.offer(d, choice, leased, None).await {
            Fate::Begun(b) => return super::relay::relay(d, *b).await,
            Fate::Unsent(t) => t,
            Fate::Back(t) => match t.again(d) {
                Ok(t) => t,
                Err(t) => return t.refuse(d),
            },
            Fate::Unsure(o) => match o.again(d) {
                Ok(t) => t,
                Err(o) => return o.fail(d, StatusCode::BAD_GATEWAY),
            },
            Fate::Late(o) => return o.fail(d, StatusCode::GATEWAY_TIMEOUT),
        };
    }
}

/// None if malformed.
fn deadline(h: &HeaderMap) -> Option<Duration> {
    let Some(v) = h.get(DEADLINE) else { return Some(constants::DEADLINE_DEFAULT) };
    let ms: f64 = v.to_str().ok()?.trim().parse().ok()?;
    if !(0.0..1e9).contains(&ms) {
        return None;
    }
    Some(Duration::from_secs_f64(ms / 1000.0))
}

impl Taken {
    /// An engine and a connection to it.
    pub async fn find(mut self, d: &Arc<Router>) -> Result<(Choice, Leased, Taken), Taken> {
        loop {
            let j = &self.0;
            if Instant::now() + constants::DEADLINE_MARGIN >= j.deadline {
                return Err(self);
            }
            let choice = match place::place(
                d,
                &j.table,
                &j.service,
                j.tenant.as_deref(),
                &j.prompt,
                &j.tried,
            ) {
                Ok(c) => c,
                Err(Nowhere::Unknown | Nowhere::Full) => return Err(self),
            };
            let most = j.table.service(&j.service).map_or(0, |s| s.max_conns) as usize;
            let share = (most / (d.fleet_view.routers() + constants::BUDGET_SPARES)).max(2) as u32;
            match connection::lease(d, &choice.seat, share).await {
                Ok(l) => return Ok((choice, l, self)),
                Err(e) => {
                    if !matches!(e, ConnectionError::Full) {
                        choice.seat.broke(Instant::now());
                        fleet_core::log_event!(d.log, Event::EngineError, "id" => &choice.seat.id, "why" => e.to_string());
                    }
                    self.0.tried.push(choice.seat.id.clone());
                }
            }
        }
    }

    fn head(&self, c: &Choice, last: Option<&str>) -> Option<http::Request<connection::Sent>> {
        let j = &self.0;
        let left = j.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut rq = http::Request::new(connection::Sent::new(j.body.clone()));
        *rq.method_mut() = j.method.clone();
        *rq.uri_mut() = j.uri.clone();
        let h = rq.headers_mut();
        *h = j.headers.clone();
        h.insert(DEADLINE, HeaderValue::from(left));
        h.insert(TARGET, HeaderValue::from_str(&c.seat.id).ok()?);
        h.insert(URGENCY, HeaderValue::from(urgency(&j.route, j.tenant.as_deref())));
        if let Some(t) = &j.tenant {
            h.insert(TENANT, HeaderValue::from_str(&t.name).ok()?);
        }
        if let Some(s) = c.version {
            h.insert(EXPECTED, HeaderValue::from(s));
        }
        if let Some(s) = &c.salt {
            h.insert(SALT, HeaderValue::from_str(s).ok()?);
        }
        if let Some(s) = &c.source {
            h.insert(SOURCE, HeaderValue::from_str(s).ok()?);
        }
        if let Some(s) = &c.sink {
            h.insert(SINK, HeaderValue::from_str(s).ok()?);
        }
        if let Some(l) = last {
            h.insert(LAST_EVENT, HeaderValue::from_str(l).ok()?);
        }
        Some(rq)
    }

    #[expect(
        clippy::too_many_lines,
        reason = "older than the lint; mended when the file is next changed"
    )]
    /// Sends it, and waits for the head of an answer.
    pub async fn offer(
        mut self,
        d: &Arc<Router>,
        c: Choice,
        l: Leased,
        last: Option<&str>,
    ) -> Fate {
        self.0.tried.push(c.seat.id.clone());
        let Some(rq) = self.head(&c, last) else { return Fate::Unsent(self) };
        let mut run =
            Run::start(&c, self.0.prompt.load(), self.0.table.is_interactive(&self.0.route));
        self.0.sends += 1;
        let sent = Instant::now();
        let mut job = self.0;
        let until = job.deadline - constants::DEADLINE_MARGIN;
        let (connection, res) = match tokio::time::timeout_at(until, l.send(rq)).await {
            Ok(Ok(x)) => x,
            Ok(Err(ConnectionError::Uncertain)) => {
                c.seat.broke(Instant::now());
                return Fate::Unsure(Offered(job));
            }
            Ok(Err(_)) => {
                job.sends -= 1;
                job.tried.pop();
                return Fate::Unsent(Taken(job));
            }
            Err(_) => return Fate::Late(Offered(job)),
        };
        let (head, body) = res.into_parts();
        hear(d, &c.seat, job.prompt.model.as_deref(), &head.headers);
        let not_run = head.status == StatusCode::MISDIRECTED_REQUEST
            || head.headers.contains_key(NOT_EXECUTED);
        let ours = match head.headers.get(ATTEMPT) {
            Some(id) => *id == job.attempt,
            None => not_run,
        };
        if !ours || head.headers.contains_key(header::CONTENT_ENCODING) {
            fleet_core::log_event!(d.log, Event::AnswerSpoilt, "id" => &c.seat.id, "status" => head.status.as_u16());
            return Fate::Unsure(Offered(job));
        }
        if not_run {
            if body.collect().await.is_ok() {
                connection.end();
            }
            return Fate::Back(Taken(job));
        }
        if head.status.is_success() && !head.headers.contains_key(SEAL) {
            fleet_core::log_event!(d.log, Event::AnswerSpoilt, "id" => &c.seat.id, "status" => head.status.as_u16());
            return Fate::Unsure(Offered(job));
        }
        if head.status.is_server_error()
            && job.repeat != Repeat::Never
            && job.sends < job.route.max_attempts
        {
            return Fate::Unsure(Offered(job));
        }
        run.begun();
        c.seat.served();
        if job.prompt.is_heavy() {
            count_wait(d, &c.seat, sent.elapsed());
        }
        if let Some(salt) = c.salt.as_ref().filter(|_| head.status.is_success()) {
            d.fleet_view.prefix_view.sent(&c.seat.id, salt, &job.prompt.pairs());
        }
        d.counters.begun.fetch_add(1, Ordering::Relaxed);
        Fate::Begun(Box::new(Begun { job, run, connection, head, body }))
    }

    /// To a second engine, if the route and the budget allow it.
    pub fn again(self, d: &Router) -> Result<Taken, Taken> {
        if self.0.may_again(d) { Ok(self) } else { Err(self) }
    }

    pub fn refuse(self, d: &Router) -> http::Response<Out> {
        d.counters.refused.fetch_add(1, Ordering::Relaxed);
        Answer::refuse().write()
    }
}

impl Job {
    pub fn header(&self, name: &HeaderName) -> Option<String> {
        self.headers.get(name)?.to_str().ok().map(str::to_owned)
    }

    fn may_again(&self, d: &Router) -> bool {
        let may = self.sends < self.route.max_attempts
            && Instant::now() + constants::DEADLINE_MARGIN * 2 < self.deadline
            && d.charge(&self.service);
        if may {
            d.counters.again.fetch_add(1, Ordering::Relaxed);
        }
        may
    }
}

impl Offered {
    pub fn of(b: Begun) -> Offered {
        Offered(b.job)
    }

    /// Only what may run twice is taken back.
    pub fn again(self, d: &Router) -> Result<Taken, Offered> {
        if self.0.repeat != Repeat::Never && self.0.may_again(d) {
            return Ok(Taken(self.0));
        }
        Err(self)
    }

    pub fn fail(self, d: &Router, status: StatusCode) -> http::Response<Out> {
        d.counters.failed.fetch_add(1, Ordering::Relaxed);
        fleet_core::log_event!(d.log, Event::PassError, "status" => status.as_u16());
        Answer::plain(status).write()
    }
}

/// Sets the first waits at a newcomer against those at all engines.
fn count_wait(d: &Router, seat: &Seat, wait: Duration) {
    let c = &d.counters;
    let n = c.heavy_answers.fetch_add(1, Ordering::Relaxed) + 1;
    let us = wait.as_micros() as u64;
    let all = c.heavy_wait_us.fetch_add(us, Ordering::Relaxed) + us;
    if let Some(own) = seat.first_waits(wait) {
        fleet_core::log_event!(d.log, Event::EngineTakenIn, "id" => &seat.id,
            "own_ms" => own.as_millis() as u64, "all_ms" => all / n / 1000);
    }
}

/// What an engine tells of itself beside the answer.
fn hear(d: &Router, seat: &Seat, model: Option<&str>, h: &HeaderMap) {
    let text = |n: HeaderName| h.get(n).and_then(|v| v.to_str().ok());
    if let Some(t) = text(LOAD).and_then(|t| Told::read(t, Instant::now())) {
        seat.work().told = Some(t);
    }
    if let (Some(m), Some(s)) = (model, text(WEIGHTS).and_then(|t| t.trim().parse().ok())) {
        d.fleet_view.saw_weights(seat, m, s);
    }
}

/// A tenant's rank goes before the route's; 0 is first.
fn urgency(r: &Route, t: Option<&Tenant>) -> u64 {
    let tenant = t.map_or(0, |t| t.priority).clamp(0, 4) as u64;
    (tenant * 2 + r.priority.clamp(0, 1) as u64).min(9)
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
