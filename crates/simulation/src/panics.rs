//! Panics of the code under test, collected in place of being printed.

use std::cell::RefCell;
use std::sync::Once;

static HOOK: Once = Once::new();

thread_local! {
    /// none while no run is under way on this thread
    static RECORDED: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
}

/// Collects the panics of this thread from now on; a run stays on one thread.
pub fn listen() {
    HOOK.call_once(|| {
        let former = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            let taken = RECORDED.with_borrow_mut(|observation| match observation {
                Some(observation) => {
                    observation.push(panic.to_string());
                    true
                }
                None => false,
            });
            if !taken {
                former(panic);
            }
        }));
    });
    RECORDED.set(Some(Vec::new()));
}

/// Ends the collection, and gives what it holds.
pub fn take() -> Vec<String> {
    RECORDED.take().unwrap_or_default()
}
