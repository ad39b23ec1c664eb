//! The salt under which a part of a prompt is cached. It names the model, its weights version and the isolation, so
//! that one invalidation covers everything cached under it.

/// A parsed salt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Salt {
    /// Name of the model.
    pub model: String,
    /// Version of the model's weights.
    pub version: u64,
    /// Generation of the shared isolation; `None` for a tenant with an isolation of its own.
    pub isolation: Option<u64>,
}

/// Formats a salt, which is hashed and sent in this form.
pub fn format_salt(model: &str, version: u64, isolation: &str) -> String {
    format!("{model}|{version}|{isolation}")
}

/// The isolation field of a salt for tenants that share their cache.
pub fn shared_isolation(generation: u64) -> String {
    format!("#{generation}")
}

/// Parses the text of a salt; `None` if it has another format.
pub fn parse_salt(text: &str) -> Option<Salt> {
    let mut fields = text.splitn(3, '|');
    let (model, version, isolation) = (fields.next()?, fields.next()?, fields.next()?);
    Some(Salt {
        model: model.to_owned(),
        version: version.parse().ok()?,
        isolation: isolation.strip_prefix('#').and_then(|generation| generation.parse().ok()),
    })
}
