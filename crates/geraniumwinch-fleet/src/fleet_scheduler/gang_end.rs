//! The end of a gang's run.

use crate::LossCause;
use crate::LossTally;

/// Why the current run of a gang ended, and the losses that wait for that cause.
#[derive(Debug, Clone, Default)]
pub(super) struct GangEnd {
    pub(super) cause: Option<LossCause>,
    pub(super) pending: LossTally,
}
