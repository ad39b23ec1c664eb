//! The salt under which a part of a prompt is kept. It names model, weights and isolation, so that one
//! invalidation can void all that is kept under it.

/// A salt that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Salt {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
    /// Generation of the shared isolation; none for a tenant that is isolated by itself.
    pub isolation: Option<u64>,
}

/// The text of a salt.
pub fn salt_text(model: &str, version: u64, isolation: &str) -> String {
    format!("{model}|{version}|{isolation}")
}

/// How a salt names the isolation of all tenants that share.
pub fn shared_isolation(generation: u64) -> String {
    format!("#{generation}")
}

/// Reads the text of a salt; none if it is not of that form.
pub fn read_salt(text: &str) -> Option<Salt> {
    let mut fields = text.splitn(3, '|');
    let (model, version, isolation) = (fields.next()?, fields.next()?, fields.next()?);
    Some(Salt {
        model: model.to_owned(),
        version: version.parse().ok()?,
        isolation: isolation.strip_prefix('#').and_then(|generation| generation.parse().ok()),
    })
}
