//! TLS for connections from callers, with a certificate that can be replaced at runtime without
//! closing connections.

use crate::tls::{TlsError, config_error, file_error, read_certificates};
use futures_rustls::TlsAcceptor;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};

const ALPN: &[u8] = b"http/1.1";

/// PEM files of the server certificate presented to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerTlsFiles {
    /// Certificate chain, leaf first.
    pub certificate: PathBuf,
    /// Private key of the leaf certificate.
    pub key: PathBuf,
}

/// The server certificate presented to callers, which [`CallerTls::reload`] replaces.
#[derive(Debug)]
pub struct CallerTls {
    files: CallerTlsFiles,
    provider: Arc<CryptoProvider>,
    resolver: Arc<CertificateResolver>,
}

#[derive(Debug)]
struct CertificateResolver {
    current: Mutex<Arc<CertifiedKey>>,
}

impl ResolvesServerCert for CertificateResolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        Some(current.clone())
    }
}

impl CallerTls {
    /// Reads the files. Fails if they cannot be read or the key does not match the certificate.
    pub fn load(files: CallerTlsFiles) -> Result<Self, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let certified = read_certified_key(&files, &provider)?;
        let resolver = CertificateResolver {
            current: Mutex::new(Arc::new(certified)),
        };
        Ok(Self {
            files,
            provider,
            resolver: Arc::new(resolver),
        })
    }

    /// Reads the files again and presents their certificate on new connections. On an error the
    /// current certificate stays in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        let certified = read_certified_key(&self.files, &self.provider)?;
        let mut current = self
            .resolver
            .current
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(certified);
        Ok(())
    }

    /// A TLS acceptor for [`crate::HttpServer::serve`]. It follows later reloads.
    pub fn acceptor(&self) -> Result<TlsAcceptor, TlsError> {
        let mut tls = rustls::ServerConfig::builder_with_provider(self.provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(config_error)?
            .with_no_client_auth()
            .with_cert_resolver(self.resolver.clone());
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(TlsAcceptor::from(Arc::new(tls)))
    }

    /// The files that [`CallerTls::reload`] reads.
    pub fn files(&self) -> &CallerTlsFiles {
        &self.files
    }
}

fn read_certified_key(
    files: &CallerTlsFiles,
    provider: &CryptoProvider,
) -> Result<CertifiedKey, TlsError> {
    let chain = read_certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key);
    let key = key.map_err(|err| file_error(&files.key, err))?;
    let certified = CertifiedKey::from_der(chain, key, provider).map_err(config_error)?;
    certified.keys_match().map_err(config_error)?;
    Ok(certified)
}
