//! Clients that keep their connections to each process open until it is gone.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::ClientConnection;
use crate::FLEET_KEY;
use crate::RequestExchange;
use crate::SubmissionOutcome;

/// The number of clients of each process.
const CLIENTS: usize = 4;
/// The bounds of the time between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..150;
/// The delay after a connection was refused or has ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The number of requests of which one submits a job; the others query it.
const SUBMISSION_INTERVAL: u64 = 4;
/// The bit by which the identifiers of these jobs differ from those of other loads.
const ID_BIT: u64 = 1 << 28;

/// A request that a client sent completely, and the end of its exchange.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest {
    /// The index of the process.
    pub process: usize,
    /// When the client had opened the connection.
    pub opened: std::time::Instant,
    /// What the client saw.
    pub exchange: RequestExchange,
}

/// The parameters of clients that send one request after the other, each on a connection of its own.
#[derive(Debug, Clone)]
pub struct ConnectionLoad {
    /// The seed of the random choices; job identifiers begin with it.
    pub seed: u64,
    /// The CPU demand of each task in thousandths of a core.
    pub task_millis: u64,
    /// The addresses of the processes.
    pub addresses: Vec<SocketAddr>,
    /// The host name of the queues.
    pub host: &'static str,
    /// Whether the clients end.
    pub stopped: Rc<Cell<bool>>,
}

impl ConnectionLoad {
    /// Runs the clients of all processes until they are stopped; returns their requests and jobs.
    pub async fn run(&self) -> (Vec<SentRequest>, Vec<SubmissionOutcome>) {
        let clients = (0..self.addresses.len())
            .flat_map(|process| (0..CLIENTS).map(move |client| (process, client)));
        let results =
            join_all(clients.map(|(process, client)| self.run_client(process, client)))
                .await;
        let (requests, outcomes): (Vec<_>, Vec<_>) = results.into_iter().unzip();
        (requests.concat(), outcomes.concat())
    }

    /// Runs one client.
    async fn run_client(
        &self,
        process: usize,
        client: usize,
    ) -> (Vec<SentRequest>, Vec<SubmissionOutcome>) {
        let client_number = (process * CLIENTS + client) as u64;
        let mut rng = SmallRng::seed_from_u64(self.seed << 20 | client_number);
        let (mut requests, mut outcomes) = (Vec::new(), Vec::new());
        let mut connection = None;
        let mut id = String::new();
        for number in 0.. {
            if self.stopped.get() {
                break;
            }
            if connection.is_none() {
                connection = ClientConnection::open(self.addresses[process]).await;
            }
            let Some(open) = &mut connection else {
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            };
            let submits = id.is_empty() || number % SUBMISSION_INTERVAL == 0;
            if submits {
                let job_number = ID_BIT | client_number << 16 | number;
                id = format!("{:08x}{job_number:08x}", self.seed);
            }
            let exchange = open.exchange(self.request(&id, submits).as_bytes()).await;
            if submits {
                let status = exchange.and_then(|exchange| exchange.status);
                outcomes.push(outcome(&id, status.unwrap_or(0)));
            }
            if let Some(exchange) = exchange {
                let opened = open.opened;
                requests.push(SentRequest { process, opened, exchange });
            }
            if exchange.is_none_or(|exchange| exchange.closed) {
                connection = None;
            }
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
        (requests, outcomes)
    }

    /// Returns the bytes of a request that submits or queries a job.
    fn request(&self, id: &str, submits: bool) -> String {
        let task_millis = self.task_millis;
        let (method, body) = match submits {
            true => (
                "POST",
                format!(
                    r#"{{"spec":"20 done","steps":[{{"count":1,"cpu":{task_millis},
                        "mem_mb":64,"estimate_ms":50}}]}}"#
                ),
            ),
            false => ("GET", String::new()),
        };
        format!(
            "{method} /jobs/{id} HTTP/1.1\r\nHost: {}\r\nAuthorization: {FLEET_KEY}\r\n\
             Geraniumwinch-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            self.host,
            body.len()
        )
    }
}

/// Creates the outcome of a job that was submitted once.
fn outcome(id: &str, status: u16) -> SubmissionOutcome {
    SubmissionOutcome {
        id: id.to_owned(),
        queue: "jobs",
        statuses: vec![status],
        cancel_sent: false,
        cancelled: false,
        crashing: false,
    }
}
