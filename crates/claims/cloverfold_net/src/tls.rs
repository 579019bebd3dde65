//! Mutual TLS with certificates of the installation's authority.
//!
//! A peer's name and role come only from a certificate that `rustls` has verified.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::error::{KeyError, NetError};
use crate::keys::{KeyFiles, file_error};
use crate::peer::{Peer, PeerRole};

/// ALPN protocol name; a handshake with another one fails.
const APPLICATION_PROTOCOL: &[u8] = b"cloverfold/1";

pub(crate) struct TlsConfigs {
    pub(crate) server: QuicServerConfig,
    pub(crate) client: QuicClientConfig,
}

/// The parsed key files of a process.
struct Credentials {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

/// Reads the key files and builds the server and client configurations.
pub(crate) fn load_tls_configs(files: &KeyFiles) -> Result<TlsConfigs, NetError> {
    let credentials = load_credentials(files)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let server = build_server(&credentials, provider.clone())?;
    let client = build_client(&credentials, provider)?;
    Ok(TlsConfigs { server, client })
}

fn load_credentials(files: &KeyFiles) -> Result<Credentials, KeyError> {
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(&files.authority)
        .map_err(|e| file_error(&files.authority, &e))?;
    roots
        .add(authority)
        .map_err(|e| file_error(&files.authority, &e))?;
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect)
        .map_err(|e| file_error(&files.certificate, &e))?;
    let key = PrivateKeyDer::from_pem_file(&files.private_key)
        .map_err(|e| file_error(&files.private_key, &e))?;
    Ok(Credentials {
        roots: Arc::new(roots),
        chain,
        key,
    })
}

fn build_server(
    credentials: &Credentials,
    provider: Arc<CryptoProvider>,
) -> Result<QuicServerConfig, NetError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(credentials.roots.clone(), provider.clone())
            .build()
            .map_err(tls_error)?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    QuicServerConfig::try_from(config).map_err(tls_error)
}

fn build_client(
    credentials: &Credentials,
    provider: Arc<CryptoProvider>,
) -> Result<QuicClientConfig, NetError> {
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(credentials.roots.clone())
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    QuicClientConfig::try_from(config).map_err(tls_error)
}

fn tls_error(e: impl std::fmt::Display) -> NetError {
    NetError::Tls(e.to_string())
}

/// Returns the peer's name and role from its certificate.
pub(crate) fn identify_peer(connection: &quinn::Connection) -> Option<Peer> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let name = certificate.valid_dns_names().next()?.to_owned();
    let role = PeerRole::from_name(&name)?;
    Some(Peer { name, role })
}
