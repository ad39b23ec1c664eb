//! The files of one folder, as little of them as the state needs: a test stands in a simulated
//! disk here that loses power, fills up and tears writes.

use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files by name in one folder. Nothing is durable before the sync of its file, and no file
/// before the sync of the folder.
pub trait Storage {
    /// All of a file; nothing where there is none.
    ///
    /// # Errors
    ///
    /// The file is there and can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Bytes of a file; none where there is no file.
    ///
    /// # Errors
    ///
    /// The folder can't be read.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Writes at an offset; makes the file where there is none.
    ///
    /// # Errors
    ///
    /// The bytes may be there in part.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Returns once the file's content and length are durable.
    ///
    /// # Errors
    ///
    /// The bytes may be durable or not.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Returns once the folder's entries are durable.
    ///
    /// # Errors
    ///
    /// New entries may be durable or not.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the machine's disk.
pub struct Folder {
    path: PathBuf,
    open: hashbrown::HashMap<String, std::fs::File>,
}

impl Folder {
    /// Makes the folder where there is none; it and those above it that were made are durable then.
    ///
    /// # Errors
    ///
    /// The folder can't be made or synced.
    pub fn open(path: &Path) -> io::Result<Folder> {
        let missing: Vec<&Path> = path.ancestors().take_while(|p| !p.exists()).collect();
        std::fs::create_dir_all(path)?;
        for made in missing {
            sync_entries(made.parent().unwrap_or(made))?;
        }
        Ok(Folder { path: path.to_owned(), open: hashbrown::HashMap::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut std::fs::File> {
        match self.open.entry(name.to_owned()) {
            hashbrown::hash_map::Entry::Occupied(entry) => Ok(entry.into_mut()),
            hashbrown::hash_map::Entry::Vacant(entry) => {
                let mut options = std::fs::OpenOptions::new();
                options.write(true).create(true).truncate(false);
                Ok(entry.insert(options.open(self.path.join(name))?))
            }
        }
    }
}

fn sync_entries(folder: &Path) -> io::Result<()> {
    let existing = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
    std::fs::File::open(existing)?.sync_all()
}

/// What isn't there is no error.
fn or_none<T: Default>(outcome: io::Result<T>) -> io::Result<T> {
    match outcome {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(T::default()),
        other => other,
    }
}

impl Storage for Folder {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        or_none(std::fs::File::open(self.path.join(name)).and_then(|mut file| {
            let mut out = Vec::new();
            file.read_to_end(&mut out)?;
            Ok(out)
        }))
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        or_none(std::fs::metadata(self.path.join(name)).map(|metadata| metadata.len()))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        sync_entries(&self.path)
    }
}
