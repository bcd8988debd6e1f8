//! Encoding of internally tagged enums in logs and snapshots. Their JSON form
//! has the tag inside the object, which postcard can't read back because it
//! writes no field names. These modules encode them with the tag in front.

/// Encodes [`TaskState`](cyclamenloft_types::TaskState) with the tag in front.
pub(crate) mod task_state {
    use cyclamenloft_types::{AttemptNumber, CheckpointId, TaskState, WorkerId};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    enum Packed {
        Waiting(Option<CheckpointId>),
        Placed(WorkerId, AttemptNumber),
        Evicting(WorkerId, AttemptNumber),
        Finished,
        Failed,
        Cancelled,
        CannotRun,
    }

    pub(crate) fn serialize<S: Serializer>(state: &TaskState, to: S) -> Result<S::Ok, S::Error> {
        let packed = match state.clone() {
            TaskState::Waiting { checkpoint } => Packed::Waiting(checkpoint),
            TaskState::Placed { worker, attempt } => Packed::Placed(worker, attempt),
            TaskState::Evicting { worker, attempt } => Packed::Evicting(worker, attempt),
            TaskState::Finished => Packed::Finished,
            TaskState::Failed => Packed::Failed,
            TaskState::Cancelled => Packed::Cancelled,
            TaskState::CannotRun => Packed::CannotRun,
        };
        packed.serialize(to)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<TaskState, D::Error> {
        Ok(match Packed::deserialize(from)? {
            Packed::Waiting(checkpoint) => TaskState::Waiting { checkpoint },
            Packed::Placed(worker, attempt) => TaskState::Placed { worker, attempt },
            Packed::Evicting(worker, attempt) => TaskState::Evicting { worker, attempt },
            Packed::Finished => TaskState::Finished,
            Packed::Failed => TaskState::Failed,
            Packed::Cancelled => TaskState::Cancelled,
            Packed::CannotRun => TaskState::CannotRun,
        })
    }
}

/// Encodes [`AttemptEnd`](crate::AttemptEnd) with the tag in front.
pub(crate) mod attempt_end {
    use crate::AttemptEnd;
    use cyclamenloft_types::CheckpointId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    enum Packed {
        Finished,
        Failed(Box<str>),
        Refused(Box<str>),
        Evicted(Option<CheckpointId>),
        Stopped,
    }

    pub(crate) fn serialize<S: Serializer>(end: &AttemptEnd, to: S) -> Result<S::Ok, S::Error> {
        let packed = match end.clone() {
            AttemptEnd::Finished => Packed::Finished,
            AttemptEnd::Failed { reason } => Packed::Failed(reason),
            AttemptEnd::Refused { reason } => Packed::Refused(reason),
            AttemptEnd::Evicted { checkpoint } => Packed::Evicted(checkpoint),
            AttemptEnd::Stopped => Packed::Stopped,
        };
        packed.serialize(to)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<AttemptEnd, D::Error> {
        Ok(match Packed::deserialize(from)? {
            Packed::Finished => AttemptEnd::Finished,
            Packed::Failed(reason) => AttemptEnd::Failed { reason },
            Packed::Refused(reason) => AttemptEnd::Refused { reason },
            Packed::Evicted(checkpoint) => AttemptEnd::Evicted { checkpoint },
            Packed::Stopped => AttemptEnd::Stopped,
        })
    }
}
