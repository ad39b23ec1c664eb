//! Parses the request headers that describe the prompt. If they are malformed, the request is routed without prefix
//! affinity.

/// A part of a prompt; several prompts may share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u64,
}

/// The prompt of a request and the size of its output, as the client declares them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model; none if the request names none.
    pub model: Option<String>,
    /// Parts in order; empty if none were declared, or they were malformed.
    pub parts: Vec<PromptPart>,
    /// Number of prompt tokens; 0 if unknown.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens; 0 if unknown.
    pub output_tokens: u64,
}

fn header_text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim).filter(|text| !text.is_empty())
}

impl Prompt {
    /// Parses the headers; a header that is missing or malformed leaves its fields at their defaults.
    pub fn from_headers(headers: &http::HeaderMap) -> Prompt {
        let parts =
            header_text(headers, "x-prompt-prefix").and_then(parse_parts).unwrap_or_default();
        let token_counts = header_text(headers, "x-token-count").and_then(|text| {
            let (input, output) = text.split_once(',')?;
            Some((input.trim().parse::<u64>().ok()?, output.trim().parse::<u64>().ok()?))
        });
        let (prompt_tokens, output_tokens) = token_counts.unwrap_or((0, 0));
        const MAX_TOKENS: u64 = 1 << 32;
        Prompt {
            model: header_text(headers, "x-model").map(str::to_owned),
            parts,
            prompt_tokens: prompt_tokens.min(MAX_TOKENS),
            output_tokens: output_tokens.min(MAX_TOKENS),
        }
    }

    /// Id of the last part that other requests may share: the second to last, since the last is the request's own.
    pub fn deepest_shared(&self) -> Option<u64> {
        let index = self.parts.len().checked_sub(2)?;
        self.parts.get(index).map(|part| part.id)
    }

    /// The id and the size in tokens of each part, in the form that the prompt index takes.
    pub fn part_sizes(&self) -> smallvec::SmallVec<[(u64, u64); 8]> {
        self.parts.iter().map(|part| (part.id, part.tokens)).collect()
    }

    /// Total size of all parts in tokens.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Total size in tokens of the parts that other requests may share: all but the last.
    pub fn shared(&self) -> u64 {
        let shared_parts = self.parts.len().saturating_sub(1);
        self.parts[..shared_parts].iter().map(|part| part.tokens).sum()
    }

    /// Whether prefill dominates over decode. Such requests are kept apart from long streams, which prefill slows down.
    pub fn is_prefill_heavy(&self) -> bool {
        self.prompt_tokens.max(self.tokens())
            > self.output_tokens * fleet_core::constants::PREFILL_HEAVY_RATIO
    }

    /// Number of prompt and output tokens.
    pub fn load(&self) -> u64 {
        self.prompt_tokens.max(self.tokens()) + self.output_tokens
    }
}

fn parse_parts(text: &str) -> Option<Vec<PromptPart>> {
    let mut parts = Vec::new();
    for part in text.split(',') {
        let (id, tokens) = part.trim().split_once(':')?;
        let tokens: u64 = tokens.parse().ok().filter(|tokens| *tokens < 1 << 32)?;
        parts.push(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens });
    }
    Some(parts)
}

#[cfg(test)]
#[path = "prompt_tests.rs"]
mod tests;
