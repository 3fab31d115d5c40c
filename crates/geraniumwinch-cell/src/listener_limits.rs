//! What the connections of a listener may use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_intake::BodyBudget;
use geraniumwinch_intake::BodyLimits;
use geraniumwinch_intake::VmLimits;

use crate::RequestLimits;

/// The time in which a body must be complete. One of a megabyte needs less than 20 kilobytes a second.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);

/// What a connection counts beside the body of its request, in bytes: buffers of the
/// process and of the system.
pub(crate) const CONNECTION_BYTES: u64 = 64 * 1024;

/// The timeouts of a listener's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// The timeout for receiving request headers.
    pub header: Duration,
    /// How long a connection may be idle, or a request's body without a further byte.
    pub idle: Duration,
}

impl ConnectionTimeouts {
    /// Returns the timeouts of a configuration, or the usual ones where it has none.
    pub(crate) fn of(limits: &RequestLimits) -> Self {
        let usual = ConnectionTimeouts::default();
        let or_usual =
            |given: Duration, usual| if given.is_zero() { usual } else { given };
        ConnectionTimeouts {
            header: or_usual(limits.header_timeout, usual.header),
            idle: or_usual(limits.idle_timeout, usual.idle),
        }
    }
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        ConnectionTimeouts {
            header: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// What the connections of a listener may use.
#[derive(Debug, Clone)]
pub struct ListenerLimits {
    /// The maximum size of a body in bytes.
    pub max_body: Rc<Cell<usize>>,
    /// The timeouts.
    pub timeouts: Rc<Cell<ConnectionTimeouts>>,
    /// The memory for all bodies.
    pub bodies: BodyBudget,
    /// The maximum number of connections.
    pub connections: usize,
    /// Whether idle connections stay open though the maximum number is. A client that sends a request on a
    /// connection while it is closed does not know what has become of the request.
    pub keeps_idle: bool,
}

impl ListenerLimits {
    /// Creates the limits of a listener on a VM, with the usual timeouts.
    pub fn new(max_body: Rc<Cell<usize>>, vm: &VmLimits) -> Self {
        let bodies = BodyBudget::new(vm.body_bytes(max_body.get()));
        let connections = vm.connections(CONNECTION_BYTES);
        let (timeouts, keeps_idle) = (Rc::default(), false);
        ListenerLimits { max_body, timeouts, bodies, connections, keeps_idle }
    }

    /// Returns the limits of a body.
    pub(crate) fn body(&self) -> BodyLimits {
        BodyLimits {
            max_bytes: self.max_body.get(),
            max_pause: self.timeouts.get().idle,
            max_time: MAX_BODY_TIME,
        }
    }
}
