//! What requests under which targets end may have in common.

use std::str::FromStr;

use derive_more::Display;

use crate::{
    id::PartId,
    request_digest::{
        RequestDigest,
        RequestDigestError, //
    },
};

/// Prefix of a digest in a suspect's text. The name of a part contains no colon.
const REQUEST_PREFIX: &str = "request:";

/// Something that requests have in common, and for which targets may end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum Suspect {
    /// A part of a prompt that several requests share.
    #[display("{_0}")]
    Part(PartId),
    /// The whole request, in case that it is sent again.
    #[display("{REQUEST_PREFIX}{_0}")]
    Request(RequestDigest),
}

impl FromStr for Suspect {
    type Err = RequestDigestError;

    fn from_str(text: &str) -> Result<Self, RequestDigestError> {
        match text.strip_prefix(REQUEST_PREFIX) {
            Some(digest) => Ok(Self::Request(digest.parse()?)),
            None => Ok(Self::Part(text.into())),
        }
    }
}
