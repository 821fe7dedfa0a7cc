//! Options that the commands about a cluster share: the member to query, and the output format.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;

/// Options that select a member and the output format.
#[derive(Args)]
pub struct MemberOptions {
    /// A member's address, as `listen` in its group.ini.
    #[arg(long, global = true, value_name = "ADDRESS:PORT", conflicts_with = "file")]
    at: Option<SocketAddr>,
    /// The group's name, with --at.
    #[arg(long, global = true, value_name = "NAME", default_value = "fleet")]
    name: String,
    /// A member's group.ini: its address and the group's name are taken from there.
    #[arg(long, global = true, value_name = "FILE")]
    file: Option<PathBuf>,
    /// One JSON object instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Address of a member and the name of its cluster.
pub struct Member {
    /// Address at which the member listens for other members.
    pub address: SocketAddr,
    /// The cluster's name.
    pub cluster: String,
}

impl MemberOptions {
    /// Returns the member that the options name.
    ///
    /// Errors: neither a file nor an address was given, or the file can't be read or is invalid.
    pub fn member(&self) -> Result<Member, String> {
        match (&self.file, self.at) {
            (Some(file), _) => {
                let text =
                    std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
                let group = plovershelf_config::group::read(&file.to_string_lossy(), &text)
                    .map_err(|error| error.to_string())?;
                Ok(Member { address: group.listen, cluster: group.name })
            }
            (None, Some(address)) => Ok(Member { address, cluster: self.name.clone() }),
            (None, None) => Err("--file group.ini or --at ADDRESS:PORT says which member to ask".into()),
        }
    }
}
