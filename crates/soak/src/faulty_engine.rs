//! An engine that answers every request and every call with bytes that have no end, until its caller closes.

use crate::constants;
use crate::engine::Heartbeats;
use crate::history::{EngineEvent, Recorder};
use crate::http::Reader;
use crate::machine::RunContext;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};

/// What is sent without an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flood {
    /// A field of the response head.
    Field,
    /// Interim responses.
    InterimResponses,
    /// Bytes that are not HTTP.
    Garbage,
    /// The size of a chunk.
    ChunkSize,
    /// An event of a stream.
    Event,
    /// A body that is no stream of events.
    Body,
    /// The body of a rejection.
    RejectionBody,
}

impl Flood {
    const VARIANTS: [Flood; 7] = [
        Flood::Field,
        Flood::InterimResponses,
        Flood::Garbage,
        Flood::ChunkSize,
        Flood::Event,
        Flood::Body,
        Flood::RejectionBody,
    ];

    /// What is sent once, before the flood.
    fn start(self, attempt: &str) -> String {
        let sealed = |status: &str, field: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\n{field}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
        };
        match self {
            Flood::Field => "HTTP/1.1 200 OK\r\nX-Fill: ".to_owned(),
            Flood::InterimResponses | Flood::Garbage => String::new(),
            Flood::ChunkSize | Flood::Event => sealed("200 OK", "Content-Type: text/event-stream"),
            Flood::Body => sealed("200 OK", "Content-Type: text/plain"),
            Flood::RejectionBody => sealed("503 Full", "X-Not-Executed: 1"),
        }
    }

    /// What is sent over and over.
    fn repeated(self) -> Vec<u8> {
        let length = constants::FLOOD_PART_BYTES;
        match self {
            Flood::Field | Flood::Garbage => vec![b'x'; length],
            Flood::InterimResponses => b"HTTP/1.1 100 Continue\r\n\r\n".repeat(length / 25),
            Flood::ChunkSize => vec![b'0'; length],
            Flood::Event | Flood::Body | Flood::RejectionBody => {
                format!("{length:x}\r\n{}\r\n", "x".repeat(length)).into_bytes()
            }
        }
    }
}

/// The faulty engine of a run.
pub struct FaultyEngine {
    id: String,
    recorder: Arc<Recorder>,
}

impl FaultyEngine {
    /// Starts the engine and its heartbeats.
    ///
    /// # Errors
    ///
    /// If it cannot listen on its address.
    pub async fn start(
        number: usize,
        context: &RunContext,
        mut rng: fastrand::Rng,
    ) -> std::io::Result<()> {
        let address: SocketAddr = context.engine_address(number);
        let listener = TcpListener::bind(address).await?;
        let id = format!("i-{number:08x}");
        context.recorder.add(|history| history.faulty_engines.push(id.clone()));
        let heartbeats = Heartbeats::new(id.clone(), address, context.control_addresses(), None);
        tokio::spawn(heartbeats.send_forever(rng.fork()));
        let engine = Arc::new(FaultyEngine { id, recorder: context.recorder.clone() });
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let flood = Flood::VARIANTS[rng.usize(0..Flood::VARIANTS.len())];
                // Ends when the caller closes the connection.
                tokio::spawn(engine.clone().serve(connection, flood));
            }
        });
        Ok(())
    }

    async fn serve(self: Arc<FaultyEngine>, connection: TcpStream, flood: Flood) {
        let (read, mut write) = connection.into_split();
        let mut reader = Reader::new(read);
        while let Ok(request) = reader.message().await {
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            // Calls of controllers have no attempt id, and are answered with a valid head.
            let flood = if attempt.is_empty() { Flood::Body } else { flood };
            let event = EngineEvent { attempt, engine: self.id.clone(), at: self.recorder.now() };
            let start = flood.start(&event.attempt);
            self.recorder.add(|history| history.arrivals.push(event));
            if send_without_end(&mut write, start, flood).await.is_err() {
                return;
            }
        }
    }
}

/// Sends until the caller closes the connection.
async fn send_without_end(
    write: &mut OwnedWriteHalf,
    start: String,
    flood: Flood,
) -> std::io::Result<()> {
    write.write_all(start.as_bytes()).await?;
    let repeated = flood.repeated();
    loop {
        write.write_all(&repeated).await?;
        tokio::time::sleep(constants::FLOOD_PART_INTERVAL).await;
    }
}
