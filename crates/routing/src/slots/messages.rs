//! Messages between entry hosts about slots. Messages may be lost, delayed,
//! duplicated and reordered.

use cyclamenloft_types::{HostId, TargetId};
use serde::{Deserialize, Serialize};

/// Random number that an entry host draws at each start.
pub type Incarnation = u64;

/// Identifies a share that is leased: one part of an owner's extra slots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareId {
    /// The host to which the share belongs while that host is running.
    pub owner: HostId,
    /// The part of the targets to which the share applies.
    pub part: u16,
}

/// A holder's request that a voter grant or renew shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// The requesting host.
    pub holder: HostId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the holder's round of renewal requests.
    pub round: u64,
    /// The requested shares.
    pub shares: Vec<ShareId>,
}

/// A voter's grant or renewal of shares, for one lease from the time of the
/// holder's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The voting host.
    pub voter: HostId,
    /// The voter's incarnation.
    pub incarnation: Incarnation,
    /// The host whose request is answered.
    pub holder: HostId,
    /// The holder's incarnation.
    pub holder_incarnation: Incarnation,
    /// Sequence number of the round that is answered.
    pub round: u64,
    /// The renewed shares.
    pub shares: Vec<ShareId>,
}

/// Notice that a holder stops for good and has no requests in flight, so that its
/// shares may be granted to others at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRelease {
    /// The stopping host.
    pub holder: HostId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
}

/// A busy host's request for idle slots of another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The requesting host.
    pub borrower: HostId,
    /// The borrower's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the request at the borrower.
    pub number: u64,
    /// Maximum number of slots that the borrower can use.
    pub slots: u16,
}

/// Slots of one target in a loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentSlots {
    /// The target.
    pub target: TargetId,
    /// Number of slots.
    pub slots: u16,
}

/// A lender's loan of idle slots, which begins at the time of the borrower's
/// request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The lending host.
    pub lender: HostId,
    /// The lender's incarnation.
    pub incarnation: Incarnation,
    /// The host whose request is answered.
    pub borrower: HostId,
    /// The borrower's incarnation.
    pub borrower_incarnation: Incarnation,
    /// Sequence number of the loan request that is answered.
    pub request: u64,
    /// Sequence number of the loan at the lender.
    pub number: u64,
    /// Time for which the borrower may start requests, in milliseconds from when it
    /// sent its loan request.
    pub length_ms: u64,
    /// The lent slots.
    pub slots: Vec<LentSlots>,
}

/// Notice that a borrower has stopped using a loan's slots at some targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The lending host.
    pub lender: HostId,
    /// The incarnation of the lender that made the loan.
    pub incarnation: Incarnation,
    /// Sequence number of the loan at the lender.
    pub number: u64,
    /// The targets whose slots are returned.
    pub targets: Vec<TargetId>,
}

/// A message about slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotMessage {
    /// From a holder to a voter.
    RenewalRequest(RenewalRequest),
    /// From a voter to a holder.
    Renewal(Renewal),
    /// From a holder to a voter.
    ShareRelease(ShareRelease),
    /// From a borrower to a lender.
    LoanRequest(LoanRequest),
    /// From a lender to a borrower.
    Loan(Loan),
    /// From a borrower to a lender.
    LoanReturn(LoanReturn),
}

/// A message and the entry host to which it is addressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub message: SlotMessage,
}
