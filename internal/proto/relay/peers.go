package relay

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Member describes a node to its peers.
type Member struct {
	Name       ident.NodeName
	Address    string
	DataCentre ident.DataCentre
	// Cores is the CPU capacity of the node in cores, possibly fractional; zero
	// if unknown.
	Cores float64
	// Isolated is set if the node has lost its links to the endpoints, Leaving if it
	// is stopping. Both are of the moment at which the node sent them.
	Isolated, Leaving bool
	// Streams is set if the node takes the updates of its hub as a stream and hears of
	// other nodes over it. Nodes of older builds don't.
	Streams bool
}

// HeardMember is what a node heard of another one, possibly over others.
type HeardMember struct {
	Member Member
	// Age is the time since the member was last heard of or, if it is lost, since that was
	// found out.
	Age time.Duration
	// Lost is set if the connection to the member broke and can't be opened again.
	Lost bool
}

// AgedRequest is a request in flight at an endpoint. It carries the age of the
// request instead of its start time, because the clocks of nodes differ.
type AgedRequest struct {
	Work works.Request
	Age  time.Duration
}

// AgedStrike is a strike with its age instead of its time.
type AgedStrike struct {
	Strike strik.Strike
	Age    time.Duration
}

// AgedProof is a proof with its age instead of its time.
type AgedProof struct {
	Proof strik.Proof
	Age   time.Duration
}

// AgedPart is what a node knows of a part of requests. Age replaces the time of its last
// strike.
type AgedPart struct {
	State strik.PartState
	Age   time.Duration
	// EndedWell is set if a request with the part ended well after a strike; EndedWellAge
	// replaces the time of that. Nodes of older builds don't set them.
	EndedWell    bool
	EndedWellAge time.Duration
}

// AgedTrial is a trial with its age instead of its start.
type AgedTrial struct {
	Trial strik.Trial
	Age   time.Duration
}

// AgedLimit is the limit of an endpoint with its age instead of its time.
type AgedLimit struct {
	Limit quota.Limit
	Age   time.Duration
}

// StatedAvailability is what an endpoint stated to all nodes. It has the form in which nodes
// of older builds send and expect it.
type StatedAvailability struct {
	State avail.State
}

// RestLeft is a rest with the time left instead of its end.
type RestLeft struct {
	Rest avail.Rest
	Left time.Duration
}

// AgedDecision is a decision on a prompt with its age instead of its time.
type AgedDecision struct {
	Decision bysize.Decision
	Age      time.Duration
}

// Orphans are requests that run at an engine although no living node has sent them.
type Orphans struct {
	Endpoint ident.EndpointName
	Count    int
	// Tokens is the assumed size of each.
	Tokens ident.Tokens
}

// PermitArgs asks a node that has a share of the limit of an endpoint for the
// permission to send one request there.
type PermitArgs struct {
	From Member
	Key  quota.Key
}

// Permit is the answer to PermitArgs. Wait is the time until there may be another one;
// it is set only if Granted is not.
type Permit struct {
	Granted bool
	Wait    time.Duration
}

// Update carries the latest changes at one node to its peers.
type Update struct {
	From Member
	// Joins is set in the first update on a connection: the answer is to tell which nodes
	// the receiver knows. Heard lists what the sender heard of other nodes.
	Joins bool
	Heard []HeardMember
	// Reset is set if Began lists all requests in flight of the node and
	// replaces those that the receiver has recorded for it.
	Reset bool
	// Copied is set, beside Reset, if it is not the node itself that lists its requests but a
	// hub that knows them.
	Copied bool
	// Seq grows with each change of the node's requests in flight; zero from nodes of older
	// builds. By it a receiver finds out that a forwarded list of requests is older than
	// what it knows.
	Seq uint64
	// Began lists requests that the node sends to endpoints, Wrote those that
	// are prefilled and now decode, and Done those that have ended.
	Began []AgedRequest
	Wrote []works.ID
	Done  []works.ID
	// Failed lists the endpoints that the node could not reach, Broke those that live, but broke
	// the connection of a request. Nodes of older builds don't know the latter.
	Failed, Broke []ident.EndpointName
	// Struck lists the strikes that the node recorded: in each, an endpoint crashed with a
	// request in flight.
	Struck []AgedStrike
	// Proofs lists the parts of requests that the node has cleared of strikes, and Parts
	// those that have or recently had strikes; the latter is set only in the first update to
	// a peer.
	Proofs []AgedProof
	Parts  []AgedPart
	// Trials lists the trials of barred parts that the node has begun or ended. Nodes of older
	// builds don't know them.
	Trials []AgedTrial
	// Limits lists the limits that endpoints named, or that have ended.
	Limits []AgedLimit
	// Stated lists what endpoints stated to all nodes about whether they accept
	// requests, Rests what they stated to one.
	Stated []StatedAvailability
	Rests  []RestLeft
	// Decided lists the node's decisions on prompts that may be deferred.
	Decided []AgedDecision
	// Orphans lists the engines at which the node found orphaned requests, and those at
	// which it found none, with a count of zero.
	Orphans []Orphans
	// Reach selects the nodes to which the receiver forwards the update.
	// Forwarded holds updates of other nodes that the sender forwards.
	Reach     Scope
	Forwarded []Update
}

// Scope is the set of nodes that an update is meant for.
type Scope int

// Scopes of an update.
const (
	// ScopePeer is the receiver alone.
	ScopePeer Scope = iota
	// ScopeDataCentre is all nodes of the receiver's data centre.
	ScopeDataCentre
	// ScopeAll is all nodes.
	ScopeAll
	// ScopeGroup is the nodes to which the receiver sends as their hub.
	ScopeGroup
	// ScopeRedirected is all nodes, for an update that a node took for a hub has passed on
	// to its own hub.
	ScopeRedirected
)

// Empty reports whether the update contains no changes at the node From. It
// ignores Forwarded and Heard.
func (u *Update) Empty() bool {
	return !u.Reset && len(u.Began)+len(u.Wrote)+len(u.Done)+len(u.Failed)+len(u.Broke)+len(u.Struck)+len(u.Proofs)+len(u.Parts)+len(u.Trials)+len(u.Limits)+len(u.Stated)+len(u.Rests)+len(u.Decided)+len(u.Orphans) == 0
}

// UpdateReply is the answer to an update.
type UpdateReply struct {
	// Members lists the nodes known to the peer, itself included. It is set only if the
	// update had Reset set and came from a node that doesn't take Heard.
	Members []Member
	// Heard lists the nodes that the peer heard of, itself first. It is set only if the
	// update had Joins set.
	Heard []HeardMember
}

// StateArgs requests a peer's copy of the configuration and of the endpoint
// list.
type StateArgs struct {
	From    Member
	Version ident.Version
	// Base is the ID of the configuration that the answer's change is to apply to.
	// Format is topol.ChangeFormat of the requesting node; zero if it takes only
	// documents.
	Base   topol.ID
	Format int
	// List is the ID of the endpoint list that the requesting node has.
	List uint64
	// Starts is set if the requesting node is starting and needs to know what the peer's
	// answer holds in Parts.
	Starts bool
}

// State is a peer's copy of the configuration and of the endpoint list. Ages
// are measured at the time of the peer's answer.
type State struct {
	// Era is the highest era of the platform's store that the peer knows.
	Era uint64
	// CompleteEra is the highest era in which the platform's store is known to hold again
	// what it had lost; zero if none is known, as at peers of older builds.
	CompleteEra uint64
	Version     ident.Version
	// Raw is the configuration document. It is set only if it is newer than
	// StateArgs.Version and the requesting node does not take changes.
	Raw []byte
	// Change is the encoded change from StateArgs.Base to the configuration. It is
	// set only if it is small. If the configuration is newer than StateArgs.Version
	// and neither Raw nor Change is set, the change must be requested in parts.
	Change []byte
	// Proven is set if the configuration has been confirmed to be the newest;
	// ProvenAge is the time since the last confirmation.
	Proven    bool
	ProvenAge time.Duration
	// ConfigEra and ConfigNext are the position in the platform's store after the
	// configuration and the evacuations; ConfigEra is zero if it isn't known.
	ConfigEra  uint64
	ConfigNext ident.Offset
	// EvacuationsKnown is set if the peer knows which data centres are evacuated: those in
	// Evacuated. The records of those in Lapsing, which are evacuated too, were lost by the
	// store; they end in LapseIn. EvacuationsEra and EvacuationsNext are the position in
	// the store up to which the set reflects it, EvacuationsAge is the time since it was
	// last confirmed to be the newest. Peers of older builds don't know it.
	EvacuationsKnown   bool
	Evacuated, Lapsing []ident.DataCentre
	LapseIn            time.Duration
	EvacuationsEra     uint64
	EvacuationsNext    ident.Offset
	EvacuationsAge     time.Duration
	// Recovering is set instead of Listed during the grace period after an outage of
	// the store.
	Recovering bool
	// Listed is set if the peer has an endpoint list and is outside the grace
	// period. List is the ID of the list, ListedAge the time since it was last
	// confirmed to be the newest. Endpoints is left empty if the requesting node
	// already has that list.
	Listed    bool
	ListedAge time.Duration
	List      uint64
	Endpoints []topol.Endpoint
	// ListBase is the ID of the list that Endpoints and Removed are a change of:
	// Endpoints then holds what was added or changed, and Removed what was removed.
	// It is zero if Endpoints is the whole list. Only nodes of the same
	// topol.ChangeFormat get changes.
	ListBase uint64
	Removed  []ident.EndpointName
	// Parts lists the parts of requests that have or recently had strikes. It is set only if
	// StateArgs.Starts is. Peers of older builds don't set it.
	Parts []AgedPart
}
