//! Files and addresses of the origin servers of configuration distribution, for tests that start them as processes, and
//! a request-response exchange of bytes with any participating process. The caller encodes and decodes the messages.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};

use crate::free_address;
use crate::scripted::READ_TIMEOUT;

/// Origin servers: the members of one consensus group, which serve the configuration.
#[derive(Clone, Debug)]
pub struct OriginServers {
    /// Operator's files of the servers; the stem of a file name is the name of the server.
    pub files: Vec<PathBuf>,
    /// Addresses on which the servers serve the configuration.
    pub addresses: Vec<SocketAddr>,
}

/// Number of origin servers.
pub const ORIGIN_SERVERS: usize = 3;

/// Formats addresses as a list in an INI file.
pub fn address_list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ")
}

impl OriginServers {
    /// Writes the operator's files and the file of the tenants in the first version of the configuration.
    ///
    /// Errors: creating the folder or writing a file fails.
    pub fn write(folder: &Path, group: &str, tenants: &str) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let free_addresses = || (0..ORIGIN_SERVERS).map(|_| free_address()).collect::<io::Result<Vec<_>>>();
        let (members, addresses) = (free_addresses()?, free_addresses()?);
        let tenants_file = folder.join("tenants.ini");
        std::fs::write(&tenants_file, format!("[tenants]\n{tenants}"))?;
        let mut files = Vec::new();
        for (index, listen) in addresses.iter().enumerate() {
            let others: Vec<SocketAddr> = addresses.iter().copied().filter(|other| other != listen).collect();
            let name = format!("c{}", index + 1);
            let file = folder.join(format!("{name}.ini"));
            let text = format!(
                "[group]\nname = {group}\nlisten = {}\nseeds = {}\ncouncil = c1, c2, c3\nfolder = {}\n\
                 [changes]\nlisten = {listen}\nsources = {}\ntenants = {}\n",
                members[index],
                address_list(&members),
                folder.join(&name).display(),
                address_list(&others),
                tenants_file.display()
            );
            std::fs::write(&file, text)?;
            files.push(file);
        }
        Ok(OriginServers { files, addresses })
    }
}

/// Sends a request on a new connection and reads until `decode` returns a response; returns `None` if the connection
/// fails or ends, or if a read takes longer than [`READ_TIMEOUT`].
pub fn exchange<T>(address: SocketAddr, request: &[u8], decode: impl Fn(&[u8]) -> Option<T>) -> Option<T> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.write_all(request).ok()?;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(response) = decode(&bytes) {
            return Some(response);
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}
