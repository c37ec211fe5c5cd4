//! The journal: one file of checksummed records.
//!
//! Layout, version 1: eight bytes `CLWJ` and the version, big end first; then records, each with
//! its length (4 bytes), the CRC-32 of the length (4 bytes), the CRC-32 of its bytes (4 bytes) and
//! its bytes, one [`curlewlift_core::log::Write`] as JSON. The length has a checksum of its own, so
//! that a damaged one is not taken for a record that was cut short.

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

/// The file's first bytes: the name and version 1.
const HEADER: [u8; 8] = *b"CLWJ\0\0\0\x01";

/// Bytes of a record before its own.
const PREFIX: usize = 12;

/// The file's name in the data folder.
const NAME: &str = "journal";

/// The name of a journal that is being written anew.
const NEW_NAME: &str = "journal.new";

/// The length of the file after which a snapshot makes it worth writing anew, in bytes.
const REWRITE: u64 = 1 << 20;

/// An open journal.
pub(crate) struct Journal {
    folder: PathBuf,
    file: File,
    length: u64,
    kept: SavedState,
}

impl Journal {
    /// Opens the journal in `folder`; none where there is none.
    pub(crate) fn open(folder: &Path) -> Result<Option<Self>, Refusal> {
        let path = folder.join(NAME);
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(mut file) => file
                .read_to_end(&mut bytes)
                .map_err(|why| failed(&path, &why))?,
            Err(why) if why.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(why) => return Err(failed(&path, &why)),
        };
        let (kept, length) = read(&bytes).map_err(|why| damaged(&path, &why))?;
        let file = OpenOptions::new().append(true).open(&path);
        let file = file.map_err(|why| failed(&path, &why))?;
        // A record that was cut short was never synced, so nobody was told of it.
        file.set_len(length).map_err(|why| failed(&path, &why))?;
        Ok(Some(Self {
            folder: folder.to_owned(),
            file,
            length,
            kept,
        }))
    }

    /// Writes a new journal that holds `saved`.
    pub(crate) fn create(folder: &Path, saved: SavedState) -> Result<Self, Refusal> {
        std::fs::create_dir_all(folder).map_err(|why| failed(folder, &why))?;
        let (file, length) = write_new(folder, &saved)?;
        Ok(Self {
            folder: folder.to_owned(),
            file,
            length,
            kept: saved,
        })
    }

    /// What it holds.
    pub(crate) fn get_kept(&self) -> &SavedState {
        &self.kept
    }

    /// Writes `writes` and syncs; after a failure the journal must not be used again.
    pub(crate) fn write(&mut self, writes: Vec<Write>) -> Result<(), Refusal> {
        let path = self.folder.join(NAME);
        let mut bytes = Vec::new();
        let mut snapshot = false;
        for write in writes {
            record(&write, &mut bytes).map_err(|why| failed(&path, &why))?;
            snapshot |= matches!(write, Write::Snapshot(_));
            self.kept.apply(write);
        }
        if snapshot && self.length > REWRITE {
            (self.file, self.length) = write_new(&self.folder, &self.kept)?;
            return Ok(());
        }
        self.file
            .write_all(&bytes)
            .map_err(|why| failed(&path, &why))?;
        self.file.sync_data().map_err(|why| failed(&path, &why))?;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// Writes a whole journal beside the old one, and puts it in its place.
fn write_new(folder: &Path, saved: &SavedState) -> Result<(File, u64), Refusal> {
    let path = folder.join(NEW_NAME);
    let mut bytes = HEADER.to_vec();
    let mut writes = vec![Write::HardState(saved.hard_state.clone())];
    writes.push(Write::Snapshot(saved.snapshot.clone()));
    writes.extend(saved.entries.iter().cloned().map(Write::Entry));
    for write in &writes {
        record(write, &mut bytes).map_err(|why| failed(&path, &why))?;
    }
    let mut file = File::create(&path).map_err(|why| failed(&path, &why))?;
    file.write_all(&bytes).map_err(|why| failed(&path, &why))?;
    file.sync_all().map_err(|why| failed(&path, &why))?;
    std::fs::rename(&path, folder.join(NAME)).map_err(|why| failed(&path, &why))?;
    let folder_file = File::open(folder).map_err(|why| failed(folder, &why))?;
    folder_file.sync_all().map_err(|why| failed(folder, &why))?;
    Ok((file, bytes.len() as u64))
}

fn record(write: &Write, bytes: &mut Vec<u8>) -> std::io::Result<()> {
    let body = serde_json::to_vec(write)?;
    let length = u32::try_from(body.len()).map_err(std::io::Error::other)?;
    bytes.extend(length.to_be_bytes());
    bytes.extend(crc32fast::hash(&length.to_be_bytes()).to_be_bytes());
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(body);
    Ok(())
}

/// Reads a journal; tells what it holds and where its last whole record ends.
fn read(bytes: &[u8]) -> Result<(SavedState, u64), String> {
    if bytes.get(..HEADER.len()) != Some(&HEADER[..]) {
        return Err("it does not begin with the header of version 1".to_owned());
    }
    let mut saved = SavedState::default();
    let mut at = HEADER.len();
    while let Some(body) = next_record(bytes, at)? {
        let write = serde_json::from_slice(body);
        saved.apply(write.map_err(|why| format!("record at byte {at}: {why}"))?);
        at += PREFIX + body.len();
    }
    Ok((saved, at as u64))
}

/// The record at `at`; none where the file ends within it or holds only zeros from there.
fn next_record(bytes: &[u8], at: usize) -> Result<Option<&[u8]>, String> {
    let rest = &bytes[at..];
    if rest.len() < PREFIX || rest.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let number = |from: usize| {
        let mut four = [0; 4];
        four.copy_from_slice(&rest[from..from + 4]);
        u32::from_be_bytes(four)
    };
    if crc32fast::hash(&rest[..4]) != number(4) {
        return Err(format!("the length of the record at byte {at} is damaged"));
    }
    let length = number(0) as usize;
    let Some(body) = rest.get(PREFIX..PREFIX + length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != number(8) {
        return Err(format!(
            "the checksum of the record at byte {at} does not fit"
        ));
    }
    Ok(Some(body))
}

fn failed(path: &Path, why: &dyn std::fmt::Display) -> Refusal {
    Refusal::new(Code::DiskFailed, format!("{}: {why}", path.display()))
}

fn damaged(path: &Path, why: &str) -> Refusal {
    let what = "replace this host's disk; docs/OPERATING.md says how";
    Refusal::new(Code::Damaged, format!("{}: {why}; {what}", path.display()))
}
