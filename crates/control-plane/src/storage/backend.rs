//! Access to the files of one directory, limited to what the stored state needs. Tests implement it with a simulated
//! disk that loses power, runs full and tears writes.

use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files by name in one directory. Written bytes are durable only after their file is synced, and new files only after
/// the directory is synced.
pub trait Storage {
    /// Reads a whole file; empty if the file doesn't exist.
    ///
    /// # Errors
    ///
    /// The file exists but can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Length of a file in bytes; 0 if the file doesn't exist.
    ///
    /// # Errors
    ///
    /// The metadata of the file can't be read.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Writes at an offset; creates the file if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Some of the bytes may have been written.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Returns once the file's content and length are durable.
    ///
    /// # Errors
    ///
    /// Any of the unsynced bytes may be durable or not.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Returns once the directory entries are durable.
    ///
    /// # Errors
    ///
    /// New directory entries may be durable or not.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory in the machine's file system, with its files kept open for writing.
pub struct Directory {
    path: PathBuf,
    open_files: hashbrown::HashMap<String, std::fs::File>,
}

impl Directory {
    /// Opens a directory, and creates it and its missing ancestors durably.
    ///
    /// # Errors
    ///
    /// The directory can't be created or synced.
    pub fn open(path: &Path) -> io::Result<Directory> {
        let missing: Vec<&Path> =
            path.ancestors().take_while(|ancestor| !ancestor.exists()).collect();
        std::fs::create_dir_all(path)?;
        for created in missing {
            sync_directory_entries(created.parent().unwrap_or(created))?;
        }
        Ok(Directory { path: path.to_owned(), open_files: hashbrown::HashMap::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut std::fs::File> {
        match self.open_files.entry(name.to_owned()) {
            hashbrown::hash_map::Entry::Occupied(entry) => Ok(entry.into_mut()),
            hashbrown::hash_map::Entry::Vacant(entry) => {
                let mut options = std::fs::OpenOptions::new();
                options.write(true).create(true).truncate(false);
                Ok(entry.insert(options.open(self.path.join(name))?))
            }
        }
    }
}

fn sync_directory_entries(path: &Path) -> io::Result<()> {
    let directory = if path.as_os_str().is_empty() { Path::new(".") } else { path };
    std::fs::File::open(directory)?.sync_all()
}

/// Returns the default value if the file was not found.
fn default_if_missing<T: Default>(result: io::Result<T>) -> io::Result<T> {
    match result {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(T::default()),
        other => other,
    }
}

impl Storage for Directory {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        default_if_missing(std::fs::File::open(self.path.join(name)).and_then(|mut file| {
            let mut content = Vec::new();
            file.read_to_end(&mut content)?;
            Ok(content)
        }))
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        default_if_missing(std::fs::metadata(self.path.join(name)).map(|metadata| metadata.len()))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        sync_directory_entries(&self.path)
    }
}
