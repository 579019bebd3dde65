//! Key files of one installation: a certificate authority and a certificate for each process.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::error::KeyError;

/// Base name of the authority's files in a key folder.
pub const AUTHORITY_NAME: &str = "authority";

/// File mode of a private key: only the owner may read it.
const PRIVATE_FILE_MODE: u32 = 0o600;

/// The three files with which a process authenticates itself and its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificate of the authority that signs the certificates of all processes.
    pub authority: PathBuf,
    /// The process's own certificate.
    pub certificate: PathBuf,
    /// Private key of the process's certificate.
    pub private_key: PathBuf,
}

impl KeyFiles {
    /// Returns the files of a process in a folder that [`make_key_set`] created.
    pub fn in_folder(folder: &Path, name: &str) -> Self {
        Self {
            authority: folder.join(format!("{AUTHORITY_NAME}.pem")),
            certificate: folder.join(format!("{name}.pem")),
            private_key: folder.join(format!("{name}.key")),
        }
    }
}

/// Creates certificates and keys for the named processes in a folder.
///
/// Uses the authority in the folder if there is one, so that processes can be added later. Existing files of a process
/// are not changed.
///
/// # Errors
///
/// Returns the file that could not be read or written, or the name for which no certificate could be created.
pub fn make_key_set(folder: &Path, names: &[String]) -> Result<(), KeyError> {
    fs::create_dir_all(folder).map_err(|e| file_error(folder, &e))?;
    let issuer = load_or_make_authority(folder)?;
    for name in names {
        let files = KeyFiles::in_folder(folder, name);
        if !files.certificate.exists() {
            make_process_keys(&issuer, name, &files)?;
        }
    }
    Ok(())
}

fn load_or_make_authority(folder: &Path) -> Result<Issuer<'static, KeyPair>, KeyError> {
    let files = KeyFiles::in_folder(folder, AUTHORITY_NAME);
    if !files.certificate.exists() {
        return make_authority(&files);
    }
    let pem = read_file(&files.certificate)?;
    let key = read_file(&files.private_key)?;
    let key = KeyPair::from_pem(&key).map_err(|e| file_error(&files.private_key, &e))?;
    Issuer::from_ca_cert_pem(&pem, key).map_err(|e| file_error(&files.certificate, &e))
}

fn make_authority(files: &KeyFiles) -> Result<Issuer<'static, KeyPair>, KeyError> {
    let make_error = |e: rcgen::Error| make_error(AUTHORITY_NAME, &e);
    let mut params = CertificateParams::new(Vec::new()).map_err(make_error)?;
    params
        .distinguished_name
        .push(DnType::CommonName, "cloverfold authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate().map_err(make_error)?;
    let certificate = params.self_signed(&key).map_err(make_error)?;
    write_private(&files.private_key, &key.serialize_pem())?;
    write_file(&files.certificate, &certificate.pem())?;
    Ok(Issuer::new(params, key))
}

fn make_process_keys(
    issuer: &Issuer<'static, KeyPair>,
    name: &str,
    files: &KeyFiles,
) -> Result<(), KeyError> {
    let make_error = |e: rcgen::Error| make_error(name, &e);
    let mut params = CertificateParams::new(vec![name.to_owned()]).map_err(make_error)?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().map_err(make_error)?;
    let certificate = params.signed_by(&key, issuer).map_err(make_error)?;
    write_private(&files.private_key, &key.serialize_pem())?;
    write_file(&files.certificate, &certificate.pem())
}

fn read_file(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(|e| file_error(path, &e))
}

fn write_file(path: &Path, text: &str) -> Result<(), KeyError> {
    fs::write(path, text).map_err(|e| file_error(path, &e))
}

fn write_private(path: &Path, text: &str) -> Result<(), KeyError> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true).mode(PRIVATE_FILE_MODE);
    let mut f = options.open(path).map_err(|e| file_error(path, &e))?;
    f.write_all(text.as_bytes())
        .map_err(|e| file_error(path, &e))
}

pub(crate) fn file_error(path: &Path, cause: &dyn std::fmt::Display) -> KeyError {
    KeyError::File {
        path: path.into(),
        cause: cause.to_string(),
    }
}

fn make_error(name: &str, cause: &rcgen::Error) -> KeyError {
    KeyError::Make {
        name: name.into(),
        cause: cause.to_string(),
    }
}
