//! The journal: a file of checksummed records.
//!
//! Layout of version 1: a header of eight bytes, `CLWJ` and the version; then records. A record is
//! the length of its body (4 bytes), the CRC-32 of the length (4 bytes), the CRC-32 of the body
//! (4 bytes), and the body, a [`curlewlift_core::log::Write`] as JSON. Numbers are big-endian. The
//! length has a checksum of its own, so that a damaged length is not mistaken for a truncated
//! record.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::log::SavedState;
use curlewlift_core::log::Write;

/// The header of the file: the format's name and version 1.
const HEADER: [u8; 8] = *b"CLWJ\0\0\0\x01";

/// The length of the fields before a record's body, in bytes.
const RECORD_HEADER_LEN: usize = 12;

/// The name of the journal in the data folder.
const FILE_NAME: &str = "journal";

/// The name of a new journal while it is being written.
const NEW_FILE_NAME: &str = "journal.new";

/// The minimum length of the file, in bytes, for a snapshot to trigger a rewrite.
const MIN_REWRITE_BYTES: u64 = 1 << 20;

/// An open journal.
pub(crate) struct Journal {
    folder: PathBuf,
    file: File,
    length: u64,
    saved: SavedState,
}

impl Journal {
    /// Opens the journal in `folder`; none if the folder has no journal.
    pub(crate) fn open(folder: &Path) -> Result<Option<Self>, Refusal> {
        let path = folder.join(FILE_NAME);
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(mut file) => file
                .read_to_end(&mut bytes)
                .map_err(|why| disk_failed(&path, &why))?,
            Err(why) if why.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(why) => return Err(disk_failed(&path, &why)),
        };
        let (saved, length) = read(&bytes).map_err(|why| damaged(&path, &why))?;
        let file = OpenOptions::new().append(true).open(&path);
        let file = file.map_err(|why| disk_failed(&path, &why))?;
        // A truncated record was never synced, so it was never acknowledged.
        file.set_len(length)
            .map_err(|why| disk_failed(&path, &why))?;
        Ok(Some(Self {
            folder: folder.to_owned(),
            file,
            length,
            saved,
        }))
    }

    /// Creates a journal that contains `saved`.
    pub(crate) fn create(folder: &Path, saved: SavedState) -> Result<Self, Refusal> {
        std::fs::create_dir_all(folder).map_err(|why| disk_failed(folder, &why))?;
        let (file, length) = write_new(folder, &saved)?;
        Ok(Self {
            folder: folder.to_owned(),
            file,
            length,
            saved,
        })
    }

    /// The state that the journal contains.
    pub(crate) fn get_saved(&self) -> &SavedState {
        &self.saved
    }

    /// Appends `writes` and syncs the file.
    ///
    /// The journal must not be used after a failure.
    pub(crate) fn write(&mut self, writes: Vec<Write>) -> Result<(), Refusal> {
        let path = self.folder.join(FILE_NAME);
        let mut bytes = Vec::new();
        let mut has_snapshot = false;
        for write in writes {
            encode_record(&write, &mut bytes).map_err(|why| disk_failed(&path, &why))?;
            has_snapshot |= matches!(write, Write::Snapshot(_));
            self.saved.apply(write);
        }
        if has_snapshot && self.length > MIN_REWRITE_BYTES {
            (self.file, self.length) = write_new(&self.folder, &self.saved)?;
            return Ok(());
        }
        self.file
            .write_all(&bytes)
            .map_err(|why| disk_failed(&path, &why))?;
        self.file
            .sync_data()
            .map_err(|why| disk_failed(&path, &why))?;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// Writes a complete new journal next to the old one, and renames it over the old one.
fn write_new(folder: &Path, saved: &SavedState) -> Result<(File, u64), Refusal> {
    let path = folder.join(NEW_FILE_NAME);
    let mut bytes = HEADER.to_vec();
    let mut writes = vec![Write::HardState(saved.hard_state.clone())];
    writes.push(Write::Snapshot(saved.snapshot.clone()));
    writes.extend(saved.entries.iter().cloned().map(Write::Entry));
    for write in &writes {
        encode_record(write, &mut bytes).map_err(|why| disk_failed(&path, &why))?;
    }
    let mut file = File::create(&path).map_err(|why| disk_failed(&path, &why))?;
    file.write_all(&bytes)
        .map_err(|why| disk_failed(&path, &why))?;
    file.sync_all().map_err(|why| disk_failed(&path, &why))?;
    std::fs::rename(&path, folder.join(FILE_NAME)).map_err(|why| disk_failed(&path, &why))?;
    let folder_file = File::open(folder).map_err(|why| disk_failed(folder, &why))?;
    folder_file
        .sync_all()
        .map_err(|why| disk_failed(folder, &why))?;
    Ok((file, bytes.len() as u64))
}

/// Appends a record with its header to `bytes`.
fn encode_record(write: &Write, bytes: &mut Vec<u8>) -> std::io::Result<()> {
    let body = serde_json::to_vec(write)?;
    let length = u32::try_from(body.len()).map_err(std::io::Error::other)?;
    bytes.extend(length.to_be_bytes());
    bytes.extend(crc32fast::hash(&length.to_be_bytes()).to_be_bytes());
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(body);
    Ok(())
}

/// Reads a journal; returns its state and the offset at which its last complete record ends.
fn read(bytes: &[u8]) -> Result<(SavedState, u64), String> {
    if bytes.get(..HEADER.len()) != Some(&HEADER[..]) {
        return Err("the file does not begin with the journal header of version 1".to_owned());
    }
    let mut saved = SavedState::default();
    let mut offset = HEADER.len();
    while let Some(body) = next_record(bytes, offset)? {
        let write = serde_json::from_slice(body);
        saved.apply(write.map_err(|why| format!("record at byte {offset}: {why}"))?);
        offset += RECORD_HEADER_LEN + body.len();
    }
    Ok((saved, offset as u64))
}

/// The body of the record at `offset`; none if the file is truncated there or has only zeros from there on.
fn next_record(bytes: &[u8], offset: usize) -> Result<Option<&[u8]>, String> {
    let rest = &bytes[offset..];
    if rest.len() < RECORD_HEADER_LEN || rest.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let u32_at = |index: usize| {
        let mut word = [0; 4];
        word.copy_from_slice(&rest[index..index + 4]);
        u32::from_be_bytes(word)
    };
    if crc32fast::hash(&rest[..4]) != u32_at(4) {
        return Err(format!(
            "the length of the record at byte {offset} is damaged"
        ));
    }
    let length = u32_at(0) as usize;
    let Some(body) = rest.get(RECORD_HEADER_LEN..RECORD_HEADER_LEN + length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != u32_at(8) {
        return Err(format!(
            "the checksum of the record at byte {offset} does not match"
        ));
    }
    Ok(Some(body))
}

fn disk_failed(path: &Path, why: &dyn std::fmt::Display) -> Refusal {
    Refusal::new(Code::DiskFailed, format!("{}: {why}", path.display()))
}

fn damaged(path: &Path, why: &str) -> Refusal {
    let remedy = "replace this host's disk; docs/OPERATING.md says how";
    Refusal::new(
        Code::Damaged,
        format!("{}: {why}; {remedy}", path.display()),
    )
}
