//! Transfers the allowances of teams between failure domains.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::AllowanceTransfer;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;

use crate::NodeError;
use crate::Result;
use crate::dispatcher::AllowancesRead;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::ReleaseAllowance;
use crate::node_shared::NodeShared;
use crate::platform_store::PlatformStore;
use crate::platform_store::StoreCondition;
use crate::platform_store::StoreWrite;
use crate::store_keys;

/// Interval between two reads of the allowances.
const POLL_PERIOD: Duration = Duration::from_millis(1000);
/// Maximum age of another domain's digest for its allowance requests to be considered.
const MAX_DIGEST_AGE: Duration = Duration::from_millis(3000);

/// A write of the allowances whose outcome is not known yet.
#[derive(Debug, Clone)]
struct PendingWrite {
    condition: StoreCondition,
    value: Vec<u8>,
    revision: i64,
}

/// Reads the allowances and transfers unused ones to domains that request them.
///
/// The sender of a transfer lowers its allowance before it writes, and the receiver raises its own
/// after it has read, so that the allowances in force never add up to more than the limit.
pub(crate) struct AllowanceBalancer {
    shared: Arc<NodeShared>,
    store: Rc<dyn PlatformStore>,
    dispatcher: Addr<Dispatcher>,
    owner_revision: i64,
    pending: Option<PendingWrite>,
}

impl AllowanceBalancer {
    /// Creates a balancer for an ownership, whose record has a revision in the store.
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        store: Rc<dyn PlatformStore>,
        dispatcher: Addr<Dispatcher>,
        owner_revision: i64,
    ) -> Self {
        AllowanceBalancer { shared, store, dispatcher, owner_revision, pending: None }
    }

    /// Runs a step per period until the ownership ends.
    pub(crate) async fn run(mut self) {
        loop {
            if let Err(error) = self.step().await {
                log_event!(Debug, "allowances-unread", error = error);
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Reads the allowances, and either retries a pending write or makes the requested transfers.
    async fn step(&mut self) -> Result<()> {
        let (table, revision) = read_allowances(self.store.as_ref()).await?;
        if let Some(pending) = self.pending.clone() {
            if pending.revision == revision {
                // The write has not taken effect but still might, so it is retried.
                return self.write(pending).await;
            }
            self.pending = None;
        }
        // With no write pending, the record includes every transfer of this process.
        self.dispatcher.do_send(AllowancesRead(table.clone()));
        self.transfer(table, revision).await
    }

    /// Transfers unused allowances to the domains that request them, in one write.
    async fn transfer(&mut self, mut table: AllowanceTable, revision: i64) -> Result<()> {
        let domains = self.shared.settings.domain_names();
        let view = self.shared.catalog.view();
        let mut transferred = 0;
        for (team, to) in self.allowance_requests() {
            let Some(limit) = view.catalog.teams.get(&team).map(|team| team.limit) else {
                continue;
            };
            let release = ReleaseAllowance { team: team.clone() };
            let count = self.dispatcher.send(release).await.unwrap_or(0);
            if count > 0 {
                let from = self.shared.domain().clone();
                table.transfer(
                    &team,
                    limit,
                    &domains,
                    &AllowanceTransfer { from, to, count },
                );
                transferred += count;
            }
        }
        if transferred == 0 {
            return Ok(());
        }
        let key = store_keys::ALLOWANCES.to_owned();
        let condition = match revision {
            0 => StoreCondition::Absent(key),
            revision => StoreCondition::Unchanged(key, revision),
        };
        let value = serde_json::to_vec(&table).expect("a table can be written as JSON");
        self.write(PendingWrite { condition, value, revision }).await
    }

    /// Writes the allowances; a write without a response stays pending.
    async fn write(&mut self, write: PendingWrite) -> Result<()> {
        let owner = store_keys::owner(self.shared.domain());
        let owned = StoreCondition::Unchanged(owner, self.owner_revision);
        let key = store_keys::ALLOWANCES.to_owned();
        let put = StoreWrite::Put { key, value: write.value.clone(), lease: None };
        let conditions = [write.condition.clone(), owned];
        self.pending = Some(write);
        let commit = self.store.commit(&conditions, &[put]).await;
        self.shared.record_store_call(commit.is_ok());
        let commit = commit?;
        self.pending = None;
        log_event!(
            Info,
            "allowances-given",
            domain = self.shared.domain(),
            written = commit.succeeded,
        );
        Ok(())
    }

    /// Returns the teams for which other domains request allowances, each with the domain.
    fn allowance_requests(&self) -> Vec<(Name, Name)> {
        let now = self.shared.now();
        let rows = self.shared.domains.rows();
        let recent = rows.into_iter().filter(|row| {
            now.saturating_duration_since(row.created_at) <= MAX_DIGEST_AGE
        });
        let requests = recent.flat_map(|row| {
            let domain = row.digest.domain.clone();
            row.digest.denied_teams.into_iter().map(move |team| (team, domain.clone()))
        });
        requests.collect()
    }
}

/// Reads the allowances with the store's revision of their record, or 0 if there is none.
pub(crate) async fn read_allowances(
    store: &dyn PlatformStore,
) -> Result<(AllowanceTable, i64)> {
    let Some(record) = store.get(store_keys::ALLOWANCES).await? else {
        return Ok((AllowanceTable::default(), 0));
    };
    let table = serde_json::from_slice(&record.value).map_err(|error| {
        NodeError::StoredValue { key: record.key.clone(), message: error.to_string() }
    })?;
    Ok((table, record.mod_revision))
}
