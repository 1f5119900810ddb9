package ownership

import (
	"time"

	"gooseberrylane.example/core"
)

// Claim requests that a member of the own failure domain clears upstreams for the sender.
type Claim struct {
	_         struct{} `cbor:",toarray"`
	From      core.VM
	Upstreams []ClaimedUpstream
	// Digest is the sender's digest of its member list.
	Digest uint64
	// Silent lists the suspect and gone members of the sender; when it is not empty, the answer has ages.
	Silent []core.VMName
}

// ClaimedUpstream is one upstream of a claim. Round distinguishes the claims of one VM for the same upstream.
type ClaimedUpstream struct {
	_        struct{} `cbor:",toarray"`
	Upstream core.UpstreamID
	Round    uint64
}

// Verdict is the answer to the claim of one upstream.
type Verdict int

// Verdicts. Only VerdictCleared allows the claimant to take the upstream.
const (
	VerdictDenied Verdict = iota
	// VerdictPending means that the member holds the upstream and is releasing it.
	VerdictPending
	VerdictCleared
)

// Clear answers a claim.
type Clear struct {
	_    struct{} `cbor:",toarray"`
	From core.VM
	// To is the incarnation of the claimant that the answer is for.
	To      core.Incarnation
	Answers []Answer
	// HasAges is false when the claim did not request ages.
	HasAges bool
	// Ages holds the times since the last contact with other members, without members silent for FenceAfter.
	Ages []Age
}

// Answer is the verdict on one claimed upstream.
type Answer struct {
	_        struct{} `cbor:",toarray"`
	Upstream core.UpstreamID
	Round    uint64
	Verdict  Verdict
	// Others are VMs that may hold the upstream: the member cleared it for them earlier, or they reported that they hold it.
	Others []core.VM
}

// Age is the time since the reporting member's last contact with VM.
type Age struct {
	_   struct{} `cbor:",toarray"`
	VM  core.VM
	Age time.Duration
}

// Holdings reports the upstreams that the sender holds.
type Holdings struct {
	_         struct{} `cbor:",toarray"`
	From      core.VM
	Version   uint64
	Upstreams []core.UpstreamID
}

// Contest reports to a holder that a rival with a higher score holds the same upstream.
type Contest struct {
	_        struct{} `cbor:",toarray"`
	From     core.VM
	To       core.Incarnation
	Upstream core.UpstreamID
	Rival    core.VM
}

// Outgoing is one message to send. Message is of one of the message types of this package.
type Outgoing struct {
	To      core.VM
	Message any
}

// Actions holds the work for the driver of a machine.
type Actions struct {
	Send []Outgoing
	// Release lists upstreams whose work must end; the driver calls Released at the end of each.
	Release []core.UpstreamID
	// Changed is set when the held upstreams or the published owners may have changed.
	Changed bool
}

func (a *Actions) send(to core.VM, message any) {
	a.Send = append(a.Send, Outgoing{To: to, Message: message})
}
