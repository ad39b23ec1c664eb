//! Membership of the controllers.

use std::time::Duration;

/// ms; a member silent for this long may be replaced by a joiner of its own zone.
pub const MEMBER_SILENT_ZONE: Duration = Duration::from_millis(3000);
/// ms; a member silent for this long may be replaced by any joiner.
pub const MEMBER_SILENT: Duration = Duration::from_millis(7000);
/// ms; a joiner asks again this often.
pub const JOIN_PAUSE: Duration = Duration::from_millis(400);
/// s; a controller without a disk looks for a newer membership this often.
pub const OBSERVE_PAUSE: Duration = Duration::from_secs(2);
