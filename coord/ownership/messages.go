package ownership

import (
	"time"

	"gooseberrylane.example/core"
)

// Claim asks a member of the own failure domain to clear upstreams for the sender.
type Claim struct {
	_     struct{} `cbor:",toarray"`
	From  core.VM
	Wants []Want
	// Digest is the digest of the members that the sender knows.
	Digest uint64
	// Silent lists the members that the sender did not hear lately; the answer tells how long ago they were heard.
	Silent []core.VMName
}

// Want is one upstream of a claim. Round tells the claims of one VM for the same upstream apart.
type Want struct {
	_        struct{} `cbor:",toarray"`
	Upstream core.UpstreamID
	Round    uint64
}

// Verdict is the answer to one want.
type Verdict int

// Verdicts. Only VerdictCleared lets the claimant go on.
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
	// Aged is false when the claim did not ask for ages.
	Aged bool
	// Ages tells how long ago the member heard others; members that it did not hear within FenceAfter are left out.
	Ages []Age
}

// Answer is the verdict on one want.
type Answer struct {
	_        struct{} `cbor:",toarray"`
	Upstream core.UpstreamID
	Round    uint64
	Verdict  Verdict
	// Others are VMs that may hold the upstream as far as the member knows: it cleared it for them earlier, or they
	// said that they hold it.
	Others []core.VM
}

// Age is the silence of one member as seen by another.
type Age struct {
	_   struct{} `cbor:",toarray"`
	VM  core.VM
	Age time.Duration
}

// Holdings tells a member what the sender holds.
type Holdings struct {
	_         struct{} `cbor:",toarray"`
	From      core.VM
	Version   uint64
	Upstreams []core.UpstreamID
}

// Contest tells a holder that a rival with a higher score holds the same upstream.
type Contest struct {
	_        struct{} `cbor:",toarray"`
	From     core.VM
	To       core.Incarnation
	Upstream core.UpstreamID
	Rival    core.VM
}

// Outgoing is one message to send. Message is a Claim, Clear or Contest.
type Outgoing struct {
	To      core.VM
	Message any
}

// Actions is what the driver of a machine has to do.
type Actions struct {
	Send []Outgoing
	// Release lists upstreams whose work must end; the driver reports the end of each with Released.
	Release []core.UpstreamID
	// Changed is set when the held upstreams or believed owners may have changed.
	Changed bool
}

func (a *Actions) send(to core.VM, message any) {
	a.Send = append(a.Send, Outgoing{To: to, Message: message})
}
