//! What a request says of its prompt; malformed parts are served without affinity.

/// A part of a prompt, which several may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// names it
    pub id: u64,
    /// its size
    pub tokens: u64,
}

/// What is known of a request's prompt and its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// the model that it is for
    pub model: Option<String>,
    /// its parts, in their order
    pub parts: Vec<PromptPart>,
    /// tokens to read
    pub read: u64,
    /// tokens put out at the most
    pub put_out: u64,
}

fn text<'a>(h: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    h.get(name)?.to_str().ok().map(str::trim).filter(|t| !t.is_empty())
}

impl Prompt {
    /// Reads what the headers say.
    pub fn read(h: &http::HeaderMap) -> Prompt {
        let parts = text(h, "x-prompt-prefix").and_then(read_parts).unwrap_or_default();
        let count = text(h, "x-token-count").and_then(|t| {
            let (a, b) = t.split_once(',')?;
            Some((a.trim().parse::<u64>().ok()?, b.trim().parse::<u64>().ok()?))
        });
        let (read, put_out) = count.unwrap_or((0, 0));
        const MOST: u64 = 1 << 32;
        Prompt {
            model: text(h, "x-model").map(str::to_owned),
            parts,
            read: read.min(MOST),
            put_out: put_out.min(MOST),
        }
    }

    /// The last part is the request's own; the one before it is the deepest that others share.
    pub fn deepest_shared(&self) -> Option<u64> {
        let n = self.parts.len().checked_sub(2)?;
        self.parts.get(n).map(|p| p.id)
    }

    /// Its parts as the index takes them.
    pub fn pairs(&self) -> smallvec::SmallVec<[(u64, u64); 8]> {
        self.parts.iter().map(|p| (p.id, p.tokens)).collect()
    }

    /// Tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|p| p.tokens).sum()
    }

    /// Tokens of all parts but the last.
    pub fn shared(&self) -> u64 {
        let n = self.parts.len().saturating_sub(1);
        self.parts[..n].iter().map(|p| p.tokens).sum()
    }

    /// More prefill than decode: kept apart from the long streams, which prefill slows.
    pub fn is_prefill_heavy(&self) -> bool {
        self.read.max(self.tokens()) > self.put_out * fleet_core::constants::PREFILL_HEAVY_RATIO
    }

    /// Tokens read and put out.
    pub fn load(&self) -> u64 {
        self.read.max(self.tokens()) + self.put_out
    }
}

fn read_parts(t: &str) -> Option<Vec<PromptPart>> {
    let mut out = Vec::new();
    for p in t.split(',') {
        let (id, tokens) = p.trim().split_once(':')?;
        let tokens: u64 = tokens.parse().ok().filter(|n| *n < 1 << 32)?;
        out.push(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens });
    }
    Some(out)
}

#[cfg(test)]
#[path = "prompt_tests.rs"]
mod tests;
