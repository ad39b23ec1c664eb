//! A small value describes an answer; it is written here and nowhere else.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use bytes::Bytes;
use http::StatusCode;
use std::pin::Pin;
use std::task::{Context, Poll};

#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AnswerError {
    /// the engine broke off; the answer must not look complete
    BrokenOff,
}

/// The body of an answer: ours in one piece, or an engine's as it comes.
pub enum Out {
    Whole(Option<Bytes>),
    Events(tokio::sync::mpsc::Receiver<Result<Bytes, AnswerError>>),
}

impl http_body::Body for Out {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, AnswerError>>> {
        match self.get_mut() {
            Out::Whole(b) => Poll::Ready(b.take().map(|b| Ok(http_body::Frame::data(b)))),
            Out::Events(rx) => rx.poll_recv(cx).map(|x| x.map(|r| r.map(http_body::Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Out::Whole(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Out::Whole(b) => {
                http_body::SizeHint::with_exact(b.as_ref().map_or(0, |b| b.len() as u64))
            }
            Out::Events(_) => http_body::SizeHint::default(),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    status: StatusCode,
    retry: bool,
    close: bool,
}

impl Answer {
    pub fn plain(status: StatusCode) -> Answer {
        Answer { status, retry: false, close: false }
    }

    /// Has not run and never will: come back.
    pub fn refuse() -> Answer {
        Answer { status: StatusCode::SERVICE_UNAVAILABLE, retry: true, close: false }
    }

    pub fn closing(self) -> Answer {
        Answer { close: true, ..self }
    }

    pub fn write(self) -> http::Response<Out> {
        let mut r = http::Response::new(Out::Whole(None));
        *r.status_mut() = self.status;
        let h = r.headers_mut();
        if self.retry {
            h.insert(
                http::header::RETRY_AFTER,
                http::HeaderValue::from_static(fleet_core::constants::RETRY_AFTER),
            );
        }
        if self.close {
            h.insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
        }
        r
    }
}
