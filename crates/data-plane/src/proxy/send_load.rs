//! The load of one send at its engine, for as long as it lasts.

use crate::load_balancer::Choice;
use crate::pool::EngineHandle;
use std::sync::Arc;

/// Counted at the engine until dropped.
pub struct SendLoad {
    /// the engine that bears it
    pub engine: Arc<EngineHandle>,
    source: Option<Arc<EngineHandle>>,
    unread: u64,
    tokens: u64,
    interactive: u32,
}

impl SendLoad {
    /// Counts a send that is about to go out.
    pub fn start(choice: &Choice, tokens: u64, interactive: bool) -> SendLoad {
        if let Some(source) = &choice.source_engine {
            source.work().transfers += 1;
        }
        let interactive = u32::from(interactive);
        let mut work = choice.engine.work();
        work.runs += 1;
        work.interactive += interactive;
        work.unread += choice.prefill_tokens;
        work.tokens += tokens;
        SendLoad {
            engine: choice.engine.clone(),
            source: choice.source_engine.clone(),
            unread: choice.prefill_tokens,
            tokens,
            interactive,
        }
    }

    /// The prompt has been read: only the run itself is left.
    pub fn prompt_read(&mut self) {
        self.engine.work().unread -= std::mem::take(&mut self.unread);
        if let Some(source) = self.source.take() {
            source.work().transfers -= 1;
        }
    }
}

impl Drop for SendLoad {
    fn drop(&mut self) {
        self.prompt_read();
        let mut work = self.engine.work();
        work.runs -= 1;
        work.interactive -= self.interactive;
        work.tokens -= self.tokens;
    }
}
