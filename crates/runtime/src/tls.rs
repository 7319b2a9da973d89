//! Certificates and keys: who a process is, and who its peers are.

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

/// Name that every certificate of a deployment carries, and that peers ask for.
pub(crate) const COMMON_NAME: &str = "node.bergamothold";
const ALPN: &[u8] = b"bergamothold/1";

quick_error! {
    /// Certificates or keys that do not serve.
    #[derive(Debug)]
    pub enum TlsError {
        /// A file could not be read.
        File(path: PathBuf, reason: Box<str>) {
            display("read {}: {reason}", path.display())
        }
        /// The certificate and key do not fit.
        Config(reason: Box<str>) {
            display("TLS settings: {reason}")
        }
        /// The peer's certificate names no role or node.
        Peer(reason: Box<str>) {
            display("peer certificate: {reason}")
        }
        /// A certificate could not be made.
        Issue(reason: Box<str>) {
            display("issue certificate: {reason}")
        }
    }
}

/// What a process may do, by its certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Takes callers' requests.
    Gateway,
    /// Stands beside a backend server.
    Agent,
}

impl Role {
    /// Whether a peer of this role may open a stream for that purpose.
    ///
    /// An agent takes part in the epidemic and in spans; it sends no requests, borrows from no
    /// team's limit and asks no operator's questions.
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

/// Who a peer is, by its certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its role.
    pub role: Role,
    /// Its name.
    pub node: Box<str>,
}

impl Peer {
    /// The peer of an open connection.
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

/// Files that a process reads its certificates from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificates of the authorities that peers are trusted by.
    pub authority: PathBuf,
    /// The process's certificate chain.
    pub certificate: PathBuf,
    /// The private key of that certificate.
    pub key: PathBuf,
}

/// A process's certificate, key, and trusted authorities.
#[derive(Debug)]
pub struct Identity {
    authorities: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Reads the files.
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

    /// An identity that an authority issues in memory, which trusts that authority.
    pub fn issue(
        authority: &Authority,
        role: Role,
        node: &str,
        valid: Duration,
    ) -> Result<Self, TlsError> {
        let host = authority.issue(role, node, valid)?;
        let mut authorities = RootCertStore::empty();
        for certificate in pem_certificates(authority.certificate())? {
            authorities.add(certificate).map_err(config_error)?;
        }
        let key = PrivateKeyDer::from_pem_slice(host.key.as_bytes());
        Ok(Self {
            authorities: Arc::new(authorities),
            chain: pem_certificates(&host.certificate)?,
            key: key.map_err(config_error)?,
        })
    }

    /// The node and role that the certificate names.
    pub fn subject(&self) -> Result<Peer, TlsError> {
        let first = self
            .chain
            .first()
            .ok_or_else(|| TlsError::Peer("none in the file".into()))?;
        Peer::parse(first)
    }

    pub(crate) fn connection_id_key(&self) -> u64 {
        xxh3_64(self.key.secret_der())
    }

    pub(crate) fn reset_key(&self) -> ring::hmac::Key {
        ring::hmac::Key::new(ring::hmac::HMAC_SHA256, self.key.secret_der())
    }

    pub(crate) fn quic_server(&self) -> Result<Arc<QuicServerConfig>, TlsError> {
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

    pub(crate) fn quic_client(&self) -> Result<Arc<QuicClientConfig>, TlsError> {
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

/// A deployment's authority, which issues the certificates of its processes.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

/// A certificate and key in PEM form.
#[derive(Clone)]
pub struct HostCertificate {
    /// The certificate.
    pub certificate: Box<str>,
    /// Its private key.
    pub key: Box<str>,
}

impl Authority {
    /// Makes a new authority, valid for `valid` from now.
    pub fn generate(name: &str, valid: Duration) -> Result<Self, TlsError> {
        let key = KeyPair::generate().map_err(issue_error)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(issue_error)?;
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        set_validity(&mut params, SystemTime::now() + valid);
        let certificate = params.self_signed(&key).map_err(issue_error)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            certificate,
        })
    }

    /// Takes up an authority from its certificate and key in PEM form.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, TlsError> {
        let key = KeyPair::from_pem(key).map_err(issue_error)?;
        let issuer = Issuer::from_ca_cert_pem(certificate, key).map_err(issue_error)?;
        Ok(Self {
            issuer,
            certificate: certificate.to_owned(),
        })
    }

    /// The authority's certificate in PEM form.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// The authority's private key in PEM form.
    pub fn key(&self) -> Box<str> {
        self.issuer.key().serialize_pem().into()
    }

    /// Issues the certificate of one process, valid for `valid` from now.
    pub fn issue(
        &self,
        role: Role,
        node: &str,
        valid: Duration,
    ) -> Result<HostCertificate, TlsError> {
        self.issue_until(role, node, SystemTime::now() + valid)
    }

    /// Issues the certificate of one process, valid until `until`.
    pub fn issue_until(
        &self,
        role: Role,
        node: &str,
        until: SystemTime,
    ) -> Result<HostCertificate, TlsError> {
        let key = KeyPair::generate().map_err(issue_error)?;
        let mut params =
            CertificateParams::new(vec![COMMON_NAME.to_owned()]).map_err(issue_error)?;
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
        return Err(file_error(path, "no certificate in it"));
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
