use {
    crate::{admission::GrantorReply, process::peer_link::PeerMessage},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        admission::{AdmissionNews, AdmissionReport},
        prefix::PrefixDigest,
        process::ListDigest,
    },
    rmp_serde::{decode::Error, Deserializer},
    serde::{Deserialize as _, Serialize as _},
};

/// Fields that follow a message between hosts in its datagram.
///
/// Releases that do not know of them read the message and ignore the rest of the datagram; a field added
/// to a message itself would make them refuse it. Fields are encoded by name, and unknown ones are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub(crate) struct PeerExtension {
    /// Digest of the sender's list of endpoints.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) list_digest: Option<ListDigest>,
    /// What the sender tells all hosts of its zone of requests that wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) news: Option<AdmissionNews>,
    /// The sender's requests that wait for grants of the receiver.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) admission: Option<AdmissionReport>,
    /// Decisions of the sender on requests of the receiver.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) admission_reply: Option<GrantorReply>,
    /// Age of the sender's configuration, in milliseconds, if it is recent enough for other hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) configuration_age_ms: Option<u32>,
    /// Beginnings of prompts that the sender has seen endpoints read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) held_prefixes: Option<PrefixDigest>,
    /// Number of hosts of the fleet, the sender included, if the sender knows them all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) fleet_hosts: Option<u32>,
}

impl PeerExtension {
    /// Encodes a message and the fields that follow it, or logs why it cannot.
    pub(super) fn encode(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        let mut bytes = encode_message(message)?;
        if *self == Self::default() {
            return Some(bytes);
        }
        let mut serializer = rmp_serde::Serializer::new(&mut bytes).with_struct_map();
        match self.serialize(&mut serializer) {
            Ok(()) => Some(bytes),
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("cannot encode message: {error}"));
                None
            }
        }
    }

    /// Decodes a message and the fields that follow it, if any.
    ///
    /// # Errors
    ///
    /// Returns why the message is invalid. Invalid fields after it are logged and not used.
    pub(super) fn decode(bytes: &[u8]) -> Result<(PeerMessage, Self), Error> {
        let mut deserializer = Deserializer::new(bytes);
        let message = PeerMessage::deserialize(&mut deserializer)?;
        if deserializer.get_ref().is_empty() {
            return Ok((message, Self::default()));
        }
        let extension = Self::deserialize(&mut deserializer).unwrap_or_else(|error| {
            LogEvent::PeerRefused.log(format_args!("fields after a message: {error}"));
            Self::default()
        });
        Ok((message, extension))
    }
}

/// Encodes a message and the fields that follow it, or logs why it cannot.
pub(crate) fn encode_extended(extension: &PeerExtension, message: &PeerMessage) -> Option<Vec<u8>> {
    extension.encode(message)
}

/// Encodes a message, or logs why it cannot.
pub(super) fn encode_message(message: &PeerMessage) -> Option<Vec<u8>> {
    let encoded = rmp_serde::to_vec(message);
    encoded
        .map_err(|error| LogEvent::PeerFailed.log(format_args!("cannot encode message: {error}")))
        .ok()
}
