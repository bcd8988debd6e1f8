//! Messages between entry hosts about slots. They may be lost, delayed,
//! repeated and reordered.

use cyclamenloft_types::{HostId, TargetId};
use serde::{Deserialize, Serialize};

/// Number that an entry host draws anew at each start.
pub type Incarnation = u64;

/// Names a share that goes by lease: one part of an owner's extra slots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareId {
    /// The host whose share it is while it lives.
    pub owner: HostId,
    /// Which part of the targets it is for.
    pub part: u16,
}

/// A holder asks a voter to renew, or first to grant, shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// Who asks.
    pub holder: HostId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Numbers the holder's rounds of asking.
    pub round: u64,
    /// What it asks for.
    pub shares: Vec<ShareId>,
}

/// A voter renews shares of a holder, for one lease length from when the holder
/// asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Who renews.
    pub voter: HostId,
    /// The voter's incarnation.
    pub incarnation: Incarnation,
    /// Whom it renews.
    pub holder: HostId,
    /// The incarnation that it renews.
    pub holder_incarnation: Incarnation,
    /// The round that is answered.
    pub round: u64,
    /// The shares that are renewed.
    pub shares: Vec<ShareId>,
}

/// A holder that stops for good has nothing in flight any more: its shares may
/// be granted to others at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRelease {
    /// Who stops.
    pub holder: HostId,
    /// The incarnation that stops.
    pub incarnation: Incarnation,
}

/// A busy host asks a neighbour for idle slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Who asks.
    pub borrower: HostId,
    /// The borrower's incarnation.
    pub incarnation: Incarnation,
    /// Numbers the borrower's requests.
    pub number: u64,
    /// Most slots that it can use.
    pub slots: u16,
}

/// Slots of one target in a loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentSlots {
    /// The target.
    pub target: TargetId,
    /// How many slots.
    pub slots: u16,
}

/// A lender lends idle slots, from when the borrower asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Who lends.
    pub lender: HostId,
    /// The lender's incarnation.
    pub incarnation: Incarnation,
    /// Whose request is answered.
    pub borrower: HostId,
    /// The borrower's incarnation.
    pub borrower_incarnation: Incarnation,
    /// The request that is answered.
    pub request: u64,
    /// Numbers the lender's loans.
    pub number: u64,
    /// How long the borrower may start requests, in milliseconds from when it asked.
    pub length_ms: u64,
    /// What is lent.
    pub slots: Vec<LentSlots>,
}

/// A borrower has stopped using some of a loan's targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Who lent.
    pub lender: HostId,
    /// The incarnation that lent.
    pub incarnation: Incarnation,
    /// The loan.
    pub number: u64,
    /// The targets whose slots come back.
    pub targets: Vec<TargetId>,
}

/// Any message about slots.
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

/// A message and the entry host that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub message: SlotMessage,
}
