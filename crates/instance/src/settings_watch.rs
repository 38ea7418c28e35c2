//! Reads the settings file: at the start of the process, and again when it changes.

use std::{
    io, path,
    sync::{
        self,
        atomic::{self, AtomicBool},
    },
    time,
};

use slipturn_net::{boot_clock, process};

use crate::instance_settings;

/// Time for which a start waits for a valid file: its writer may not have finished.
const MAX_START_WAIT: time::Duration = time::Duration::from_secs(2);
/// Interval between two attempts to read the file at a start.
const START_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Number of polls for each check of the file's modification time.
const POLLS_PER_FILE_CHECK: u32 = 20;

/// Detects changes of the settings file by SIGHUP and by the file's modification time.
#[derive(Debug)]
pub struct SettingsWatch {
    path: path::PathBuf,
    /// Set by SIGHUP.
    reload: sync::Arc<AtomicBool>,
    /// Modification time of the file as of the last check; `None` if it was not available.
    last_modified: Option<time::SystemTime>,
    polls: u32,
}

impl SettingsWatch {
    /// Installs the handler for SIGHUP. Changes of the file are detected from now on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects the handler.
    pub fn install(path: path::PathBuf) -> io::Result<Self> {
        let reload = sync::Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(signal_hook::consts::SIGHUP, sync::Arc::clone(&reload))?;
        let last_modified = modified_at(&path);
        Ok(Self { path, reload, last_modified, polls: 0 })
    }

    /// Returns the settings in the file, or `None` if a stop is requested first. A file that is missing
    /// or not valid is read again until `MAX_START_WAIT` has passed.
    ///
    /// # Errors
    ///
    /// Fails if the file still cannot be read or is not valid then.
    pub async fn load_at_start(
        &self,
        stop: &process::StopSignal,
    ) -> Result<Option<instance_settings::InstanceSettings>, instance_settings::InstanceSettingsError>
    {
        let began = boot_clock::BootInstant::now();
        let mut waits = false;
        while !stop.is_triggered() {
            match instance_settings::InstanceSettings::load(&self.path) {
                Ok(settings) => {
                    if waits {
                        let waited_ms = began.elapsed().as_millis() as u64;
                        log::info!(waited_ms; "settings.available");
                    }
                    return Ok(Some(settings));
                }
                Err(error) if began.elapsed() >= MAX_START_WAIT => return Err(error),
                Err(error) if !waits => {
                    log::warn!(error:%; "settings.waiting");
                    waits = true;
                }
                Err(_) => {}
            }
            monoio::time::sleep(START_RETRY_INTERVAL).await;
        }
        Ok(None)
    }

    /// Returns the settings in the file if it may have changed since the last call. An invalid file is
    /// logged and otherwise ignored.
    pub fn poll(&mut self) -> Option<instance_settings::InstanceSettings> {
        self.polls = self.polls.wrapping_add(1);
        // The file may be changed without a signal.
        let found = if self.polls.is_multiple_of(POLLS_PER_FILE_CHECK) {
            modified_at(&self.path)
        } else {
            self.last_modified
        };
        let is_asked = self.reload.swap(false, atomic::Ordering::SeqCst);
        if !is_asked && found == self.last_modified {
            return None;
        }
        self.last_modified = found;
        match instance_settings::InstanceSettings::load(&self.path) {
            Ok(settings) => {
                log::info!(seeds = settings.seeds.len(); "settings.reloaded");
                Some(settings)
            }
            Err(error) => {
                log::error!(error:%; "settings.rejected");
                None
            }
        }
    }
}

/// Modification time of a file; `None` if it is not available.
fn modified_at(path: &path::Path) -> Option<time::SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
