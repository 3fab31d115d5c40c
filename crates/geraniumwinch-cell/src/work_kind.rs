//! Kinds of work that a process spends its time on.

/// A kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Placement passes.
    Passes,
    /// Requests of clients.
    Clients,
    /// Requests of other processes of the cell.
    Peers,
    /// Commands to start and stop tasks, and the responses.
    Commands,
    /// Polls of workers, and their reports.
    Polls,
    /// Calls to the permission service.
    Permissions,
    /// Transactions of the record journal.
    Records,
    /// Submissions at the owner, as a part of the requests of clients and processes.
    Submissions,
    /// Queries and cancellations at the owner, as a part of these requests.
    Lookups,
    /// Heartbeats at the owner, as a part of the requests of processes.
    Heartbeats,
}

impl WorkKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [WorkKind; 10] = [
        WorkKind::Passes,
        WorkKind::Clients,
        WorkKind::Peers,
        WorkKind::Commands,
        WorkKind::Polls,
        WorkKind::Permissions,
        WorkKind::Records,
        WorkKind::Submissions,
        WorkKind::Lookups,
        WorkKind::Heartbeats,
    ];

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            WorkKind::Passes => "passes",
            WorkKind::Clients => "clients",
            WorkKind::Peers => "peers",
            WorkKind::Commands => "commands",
            WorkKind::Polls => "polls",
            WorkKind::Permissions => "permissions",
            WorkKind::Records => "records",
            WorkKind::Submissions => "submissions",
            WorkKind::Lookups => "lookups",
            WorkKind::Heartbeats => "heartbeats",
        }
    }
}
