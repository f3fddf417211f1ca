//! What several tests of the tool need.

/// A temporary file that is deleted when dropped.
pub struct TemporaryFile(std::path::PathBuf);

impl TemporaryFile {
    /// Writes a file whose name no other test of this process uses.
    pub fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("anvilctl-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("the file should be writable");
        Self(path)
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path should be UTF-8")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _result = std::fs::remove_file(&self.0);
    }
}
