//! The load that one dispatch puts on its engine.

use crate::load_balancer::Choice;
use crate::pool::EngineHandle;
use std::sync::Arc;

/// Counted at the engine until dropped.
pub struct DispatchLoad {
    /// The engine that runs the request.
    pub engine: Arc<EngineHandle>,
    source: Option<Arc<EngineHandle>>,
    pending_prefill: u64,
    tokens: u64,
    interactive: u32,
}

impl DispatchLoad {
    /// Counts a dispatch that is about to be sent.
    pub fn start(choice: &Choice, tokens: u64, interactive: bool) -> DispatchLoad {
        if let Some(source) = &choice.source_engine {
            source.activity().transfers += 1;
        }
        let interactive = u32::from(interactive);
        let mut activity = choice.engine.activity();
        activity.in_flight += 1;
        activity.interactive += interactive;
        activity.pending_prefill_tokens += choice.prefill_tokens;
        activity.tokens += tokens;
        DispatchLoad {
            engine: choice.engine.clone(),
            source: choice.source_engine.clone(),
            pending_prefill: choice.prefill_tokens,
            tokens,
            interactive,
        }
    }

    /// Removes the prefill load and the KV transfer once the prompt has been prefilled; the running request still
    /// counts.
    pub fn finish_prefill(&mut self) {
        self.engine.activity().pending_prefill_tokens -= std::mem::take(&mut self.pending_prefill);
        if let Some(source) = self.source.take() {
            source.activity().transfers -= 1;
        }
    }
}

impl Drop for DispatchLoad {
    fn drop(&mut self) {
        self.finish_prefill();
        let mut activity = self.engine.activity();
        activity.in_flight -= 1;
        activity.interactive -= self.interactive;
        activity.tokens -= self.tokens;
    }
}
