//! Patch files, the TOML files with which operators change the configuration.
//!
//! ```toml
//! note = "A larger limit for the permit office."
//!
//! [put.teams.permit-office]
//! key_sha256 = ["…"]
//! limit_requests_per_s = 200
//! limit_tokens_per_s = 40000
//! limit_open_requests = 400
//!
//! [delete]
//! targets = ["worker-17"]
//! ```

use anvil_wire::generated::operators::{
    Deletions,
    SubmitRequest, //
};
use serde::Deserialize;
use smol_str::SmolStr;

/// The contents of a patch file. [`PatchFile::parse`] accepts only a file with `put` or `delete`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PatchFile {
    /// Why the configuration is changed.
    pub note: Option<SmolStr>,
    /// Entries to add or replace, by section of the configuration document.
    pub put: Option<serde_json::Value>,
    /// Entries to remove, by section.
    pub delete: Option<Deletions>,
}

/// What a submission adds to the contents of a patch file.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier of the patch, under which its result can be queried.
    pub patch_id: SmolStr,
    /// Configuration version that the patch was written against.
    pub base_version: u64,
    /// Who submits it.
    pub author: Option<SmolStr>,
    /// Why the configuration is changed; replaces the note in the file.
    pub note: Option<SmolStr>,
}

impl PatchFile {
    /// Parses the text of a patch file.
    ///
    /// # Errors
    ///
    /// Returns a message if the text is not a valid patch file or changes nothing.
    pub fn parse(text: &str) -> Result<Self, String> {
        let file: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        if file.put.is_none() && file.delete.is_none() {
            return Err("the file changes nothing; add a [put.…] or [delete] table".to_owned());
        }
        Ok(file)
    }

    /// Converts the file into the message that submits it.
    pub fn into_request(self, submission: Submission) -> SubmitRequest {
        SubmitRequest {
            patch_id: submission.patch_id,
            base_version: submission.base_version,
            author: submission.author,
            note: submission.note.or(self.note),
            put: self.put,
            delete: self.delete,
        }
    }
}

#[cfg(test)]
mod tests;
