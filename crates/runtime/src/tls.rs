//! Certificates and keys that identify a process and its peers.

use proto::StreamOpening;
use quick_error::quick_error;
use quinn::Connection;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose,
};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use std::fmt::{self, Display, Formatter};
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use x509_parser::prelude::{FromDer, X509Certificate};
use xxhash_rust::xxh3::xxh3_64;

/// DNS name in every certificate of a deployment, which clients verify for each peer.
pub(crate) const DNS_NAME: &str = "node.bergamothold";
const ALPN: &[u8] = b"bergamothold/1";

quick_error! {
    /// Certificates or keys that cannot be used.
    #[derive(Debug)]
    pub enum TlsError {
        /// A file could not be read or parsed.
        File(path: PathBuf, reason: Box<str>) {
            display("read {}: {reason}", path.display())
        }
        /// The TLS library rejected the certificates or key, for example as a mismatched pair.
        Config(reason: Box<str>) {
            display("TLS settings: {reason}")
        }
        /// A certificate is missing, or its subject does not name a role and a node.
        Peer(reason: Box<str>) {
            display("peer certificate: {reason}")
        }
        /// A certificate or its key could not be generated.
        Issue(reason: Box<str>) {
            display("issue certificate: {reason}")
        }
    }
}

/// Role of a process, which decides what it may do. Stored in its certificate as the subject's
/// organizational unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts requests from callers.
    Gateway,
    /// Runs next to a backend server.
    Agent,
}

impl Role {
    /// Whether a peer of this role may open a stream with this opening.
    ///
    /// An agent takes part in gossip and in spans. It sends no requests, borrows no team quota and
    /// sends no operator queries.
    pub fn may_open(self, opening: &StreamOpening) -> bool {
        match self {
            Self::Gateway => true,
            Self::Agent => matches!(
                opening,
                StreamOpening::Config { .. } | StreamOpening::Span { .. }
            ),
        }
    }
}

impl Display for Role {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gateway => "gateway",
            Self::Agent => "agent",
        })
    }
}

impl FromStr for Role {
    type Err = TlsError;

    fn from_str(text: &str) -> Result<Self, TlsError> {
        match text {
            "gateway" => Ok(Self::Gateway),
            "agent" => Ok(Self::Agent),
            _ => Err(TlsError::Peer(format!("unknown role {text}").into())),
        }
    }
}

/// Identity of a peer, from its verified certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Role of the process.
    pub role: Role,
    /// Name of the process, the subject's common name.
    pub node: Box<str>,
}

impl Peer {
    /// Reads the identity of the peer of an open connection.
    pub fn from_connection(connection: &Connection) -> Result<Self, TlsError> {
        let identity = connection.peer_identity();
        let identity = identity.ok_or_else(|| TlsError::Peer("none was shown".into()))?;
        let chain = identity
            .downcast::<Vec<CertificateDer<'static>>>()
            .map_err(|_| TlsError::Peer("unknown form".into()))?;
        let first = chain
            .first()
            .ok_or_else(|| TlsError::Peer("none was shown".into()))?;
        Self::parse(first)
    }

    fn parse(der: &[u8]) -> Result<Self, TlsError> {
        let (_, certificate) =
            X509Certificate::from_der(der).map_err(|err| TlsError::Peer(err.to_string().into()))?;
        let subject = certificate.subject();
        let role = subject
            .iter_organizational_unit()
            .next()
            .and_then(|name| name.as_str().ok());
        let node = subject
            .iter_common_name()
            .next()
            .and_then(|name| name.as_str().ok());
        match (role, node) {
            (Some(role), Some(node)) => Ok(Self {
                role: role.parse()?,
                node: node.into(),
            }),
            _ => Err(TlsError::Peer("it names no role and node".into())),
        }
    }
}

/// PEM files that a process loads its [`Identity`] from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificates of the trusted authorities, one of which must have issued a peer's certificate.
    pub authority: PathBuf,
    /// Certificate chain of the process, leaf first.
    pub certificate: PathBuf,
    /// Private key of the leaf certificate.
    pub key: PathBuf,
}

/// Certificate chain and private key of a process, with the authorities that it trusts.
#[derive(Debug)]
pub struct Identity {
    authorities: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Loads an identity. Fails if a file cannot be read or parsed.
    pub fn load(files: &TlsFiles) -> Result<Self, TlsError> {
        let mut authorities = RootCertStore::empty();
        for certificate in read_certificates(&files.authority)? {
            authorities
                .add(certificate)
                .map_err(|err| file_error(&files.authority, err))?;
        }
        let key = PrivateKeyDer::from_pem_file(&files.key);
        Ok(Self {
            authorities: Arc::new(authorities),
            chain: read_certificates(&files.certificate)?,
            key: key.map_err(|err| file_error(&files.key, err))?,
        })
    }

    /// Issues an identity without writing files. It is valid for `validity` and trusts `authority`
    /// only.
    pub fn issue(
        authority: &Authority,
        role: Role,
        node: &str,
        validity: Duration,
    ) -> Result<Self, TlsError> {
        let issued = authority.issue(role, node, validity)?;
        let mut authorities = RootCertStore::empty();
        for certificate in pem_certificates(authority.certificate())? {
            authorities.add(certificate).map_err(config_error)?;
        }
        let key = PrivateKeyDer::from_pem_slice(issued.key.as_bytes());
        Ok(Self {
            authorities: Arc::new(authorities),
            chain: pem_certificates(&issued.certificate)?,
            key: key.map_err(config_error)?,
        })
    }

    /// The node and role named in the subject of the leaf certificate.
    pub fn subject(&self) -> Result<Peer, TlsError> {
        let first = self
            .chain
            .first()
            .ok_or_else(|| TlsError::Peer("the certificate chain is empty".into()))?;
        Peer::parse(first)
    }

    pub(crate) fn connection_id_key(&self) -> u64 {
        xxh3_64(self.key.secret_der())
    }

    pub(crate) fn stateless_reset_key(&self) -> ring::hmac::Key {
        ring::hmac::Key::new(ring::hmac::HMAC_SHA256, self.key.secret_der())
    }

    pub(crate) fn quic_server_config(&self) -> Result<Arc<QuicServerConfig>, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.authorities.clone(), provider.clone())
                .build()
                .map_err(config_error)?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(config_error)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Arc::new(
            QuicServerConfig::try_from(tls).map_err(config_error)?,
        ))
    }

    pub(crate) fn quic_client_config(&self) -> Result<Arc<QuicClientConfig>, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_root_certificates(self.authorities.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(config_error)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Arc::new(
            QuicClientConfig::try_from(tls).map_err(config_error)?,
        ))
    }
}

/// The certificate authority of a deployment, which issues the certificates of its processes.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

/// A certificate that an [`Authority`] issued, with its private key, both in PEM form.
#[derive(Clone)]
pub struct HostCertificate {
    /// The certificate, in PEM form.
    pub certificate: Box<str>,
    /// The private key of the certificate, in PEM form.
    pub key: Box<str>,
}

impl Authority {
    /// Generates a self-signed authority with the common name `name`, valid for `validity` from
    /// now.
    pub fn generate(name: &str, validity: Duration) -> Result<Self, TlsError> {
        let key = KeyPair::generate().map_err(issue_error)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(issue_error)?;
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        set_validity(&mut params, SystemTime::now() + validity);
        let certificate = params.self_signed(&key).map_err(issue_error)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            certificate,
        })
    }

    /// Loads an authority from its certificate and key in PEM form.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, TlsError> {
        let key = KeyPair::from_pem(key).map_err(issue_error)?;
        let issuer = Issuer::from_ca_cert_pem(certificate, key).map_err(issue_error)?;
        Ok(Self {
            issuer,
            certificate: certificate.to_owned(),
        })
    }

    /// Certificate of the authority, in PEM form.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Private key of the authority, in PEM form.
    pub fn key(&self) -> Box<str> {
        self.issuer.key().serialize_pem().into()
    }

    /// Issues a certificate for one process, valid for `validity` from now.
    pub fn issue(
        &self,
        role: Role,
        node: &str,
        validity: Duration,
    ) -> Result<HostCertificate, TlsError> {
        self.issue_until(role, node, SystemTime::now() + validity)
    }

    /// Issues a certificate for one process, valid until `until`, which may be in the past.
    pub fn issue_until(
        &self,
        role: Role,
        node: &str,
        until: SystemTime,
    ) -> Result<HostCertificate, TlsError> {
        let key = KeyPair::generate().map_err(issue_error)?;
        let mut params = CertificateParams::new(vec![DNS_NAME.to_owned()]).map_err(issue_error)?;
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, node);
        params
            .distinguished_name
            .push(DnType::OrganizationalUnitName, role.to_string());
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        params.use_authority_key_identifier_extension = true;
        set_validity(&mut params, until);
        let certificate = params.signed_by(&key, &self.issuer).map_err(issue_error)?;
        Ok(HostCertificate {
            certificate: certificate.pem().into(),
            key: key.serialize_pem().into(),
        })
    }
}

impl fmt::Debug for Authority {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Authority").finish_non_exhaustive()
    }
}

impl fmt::Debug for HostCertificate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostCertificate").finish_non_exhaustive()
    }
}

fn set_validity(params: &mut CertificateParams, until: SystemTime) {
    const CLOCK_SKEW: Duration = Duration::from_secs(300);
    let from = SystemTime::now().min(until) - CLOCK_SKEW;
    params.not_before = from.into();
    params.not_after = until.into();
}

pub(crate) fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let text = fs::read(path).map_err(|err| file_error(path, err))?;
    let certificates = CertificateDer::pem_slice_iter(&text).collect::<Result<Vec<_>, _>>();
    let certificates = certificates.map_err(|err| file_error(path, err))?;
    if certificates.is_empty() {
        return Err(file_error(path, "the file contains no certificate"));
    }
    Ok(certificates)
}

fn pem_certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_slice_iter(pem.as_bytes());
    certificates.collect::<Result<_, _>>().map_err(config_error)
}

pub(crate) fn file_error(path: &Path, err: impl Display) -> TlsError {
    TlsError::File(path.to_owned(), err.to_string().into())
}

pub(crate) fn config_error(err: impl Display) -> TlsError {
    TlsError::Config(err.to_string().into())
}

fn issue_error(err: impl Display) -> TlsError {
    TlsError::Issue(err.to_string().into())
}
