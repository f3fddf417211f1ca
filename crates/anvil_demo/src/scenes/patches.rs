//! Scene: two competing patches based on the same configuration version.

use std::sync::Arc;

use anvil_core::{
    config::{
        Change,
        Entry,
        Patch,
        Record, //
    },
    id::Version,
};
use anvil_fleet::{
    Fleet,
    builder, //
};
use smol_str::SmolStr;

use super::{
    DemoError,
    check, //
};

/// Appends two patches based on the same version, and checks that every host accepts the one that
/// is first in the log.
pub(super) async fn run(fleet: &mut Fleet) -> Result<(), DemoError> {
    let base_version = fleet.host(0).shared().config().version;
    println!("\nAppending two patches that are both based on version {base_version}.");
    let stream = fleet.settings_of(0).platform.config_stream;
    let patches = ["anna", "bert"].map(|author| patch(author, base_version));
    fleet.log.append(&stream, patches.to_vec());
    fleet.wait_for_version(base_version + 1).await?;
    for host in fleet.hosts.iter().flatten() {
        let config = host.shared().config();
        check(
            config.version == base_version + 1,
            format_args!("{} has version {}", host.id(), config.version),
        )?;
        let has = |name: &str| config.document.teams.contains_key(name);
        check(
            has("team-of-anna") && !has("team-of-bert"),
            format_args!("{} accepted another patch", host.id()),
        )?;
    }
    println!(
        "  Every host has version {} with anna's patch, first in the log. Bert's was stale.",
        base_version + 1
    );
    Ok(())
}

fn patch(author: &str, base_version: Version) -> bytes::Bytes {
    let team = format!("team-of-{author}");
    Record::Patch(Patch {
        patch_id: format!("race-{author}").into(),
        base_version,
        author: author.into(),
        note: SmolStr::default(),
        changes: vec![Change::Put(Entry::Team {
            value: Arc::new(builder::team(&team)),
            name: team.into(),
        })],
    })
    .encode()
}
