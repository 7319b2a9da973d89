//! Keys by which gateways recognize a request that is sent again.

use proto::RequestKey;
use xxhash_rust::xxh3::Xxh3;

/// What stays the same when a caller sends a request again, whichever gateway receives it.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Team of the caller; `None` if it is anonymous.
    pub team: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host name of the route, in lower case.
    pub hostname: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Key of the request, the same at all gateways.
    pub fn key(&self) -> RequestKey {
        let mut hasher = Xxh3::new();
        let team = self.team.map(str::as_bytes);
        hasher.update(&[u8::from(team.is_some())]);
        let texts = [self.method, self.hostname, self.path].map(str::as_bytes);
        for field in [team.unwrap_or_default()].into_iter().chain(texts) {
            // The length keeps fields apart that could be split in another place.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(self.body);
        hasher.digest()
    }
}
