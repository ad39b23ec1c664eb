//! Records panics of the code under test instead of printing them.

use std::cell::RefCell;
use std::sync::Once;

static HOOK: Once = Once::new();

thread_local! {
    /// `None` while no run is active on this thread.
    static RECORDED: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
}

/// Starts to record the panics of this thread; a run stays on one thread.
pub fn start_recording() {
    HOOK.call_once(|| {
        let previous_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            let is_recorded = RECORDED.with_borrow_mut(|recorded| match recorded {
                Some(recorded) => {
                    recorded.push(panic.to_string());
                    true
                }
                None => false,
            });
            if !is_recorded {
                previous_hook(panic);
            }
        }));
    });
    RECORDED.set(Some(Vec::new()));
}

/// Stops recording, and returns the recorded panics.
pub fn stop_recording() -> Vec<String> {
    RECORDED.take().unwrap_or_default()
}
