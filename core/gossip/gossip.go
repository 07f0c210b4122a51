// Package gossip decides what a router's heartbeat tells a neighbour about the members of the
// fleet: all of them, or those whose content changed or whose liveness must be refreshed since
// what the neighbour is known to have. It does no I/O and keeps no time of its own.
//
// It answers the load of fleets with dozens to hundreds of routers: a heartbeat with all members
// costs processor time and bytes that grow with the square of the routers, also when nothing
// changes. Neighbours exchange digests instead, as in the anti-entropy of Demers et al. (1987)
// and van Renesse et al. (Scuttlebutt, 2008): each tells which heartbeat of every member it knows.
package gossip

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

const (
	// digestLifetime is the age of a neighbour's digest above which the neighbour is told
	// everything. It is the time of some lost heartbeats.
	digestLifetime = 2 * time.Second
	// fullInterval is the time after which a neighbour is told everything again, whatever its
	// digest says. It bounds the effect of a digest that is misread: sequence numbers in a
	// digest repeat after 255 heartbeats.
	fullInterval = 10 * time.Second
	// MaxMembers bounds the members of a digest.
	MaxMembers = 4096
)

// Run is one run of a router.
type Run struct {
	Name wire.HostID
	Boot int64 // start time in Unix nanoseconds
}

// Version says how new the content of a member is.
type Version struct {
	Seq     uint64 // number of the run's heartbeat that told it, from 1; 0 if unknown
	Changed uint64 // number of the heartbeat in which the content last changed
}

// Next returns the version of the next heartbeat of a run.
func (v Version) Next(changed bool) Version {
	v.Seq++
	if changed {
		v.Changed = v.Seq
	}
	return v
}

// Digest tells a neighbour what its sender knows. The zero value, which routers of builds
// without digests send, says nothing.
type Digest struct {
	Set  uint64 // hash of the runs that the sender knows, in the order of names
	Seqs []byte // the last heartbeat known of each, as shorten returns it
}

// Check returns an error if the digest is too large.
func (d Digest) Check() error {
	if len(d.Seqs) > MaxMembers {
		return fmt.Errorf("digest of %d members, more than %d", len(d.Seqs), MaxMembers)
	}
	return nil
}

// Hash returns the hash of runs in the order of names, for Digest.Set. It is not zero.
func Hash(runs []Run) uint64 {
	h := xxhash.New()
	var boot [8]byte
	for _, r := range runs {
		_, _ = h.WriteString(string(r.Name))
		binary.LittleEndian.PutUint64(boot[:], uint64(r.Boot))
		_, _ = h.Write(boot[:])
	}
	return max(h.Sum64(), 1)
}

// NewDigest returns the digest of members whose runs have the hash set.
func NewDigest(set uint64, members []Version) Digest {
	d := Digest{Set: set, Seqs: make([]byte, len(members))}
	for i, m := range members {
		d.Seqs[i] = shorten(m.Seq)
	}
	return d
}

// seqPeriod is the number of sequence numbers that a digest distinguishes.
const seqPeriod = 255

// shorten returns a sequence number for a digest, 0 if it is unknown.
func shorten(seq uint64) byte {
	if seq == 0 {
		return 0
	}
	return byte(seq%seqPeriod) + 1
}

// Refreshes tells that members, given by their places in the order of names, have sent
// heartbeats since, with the content that the receiver knows.
type Refreshes struct {
	Set    uint64 // Digest.Set of the receiver, to which the places belong
	Places []uint16
	Seqs   []uint64
	Ages   []uint16 // time since the sender heard of the member, in ms
}

// Check returns an error if the lists differ in length.
func (r *Refreshes) Check() error {
	if len(r.Places) != len(r.Seqs) || len(r.Places) != len(r.Ages) {
		return fmt.Errorf("refreshes of %d places, %d numbers and %d ages", len(r.Places), len(r.Seqs), len(r.Ages))
	}
	return nil
}

// Add adds a member that was heard of at the given age.
func (r *Refreshes) Add(place int, seq uint64, age time.Duration) {
	r.Places = append(r.Places, uint16(place))
	r.Seqs = append(r.Seqs, seq)
	r.Ages = append(r.Ages, uint16(min(max(age.Milliseconds(), 0), 1<<16-1)))
}

// Neighbour is what a router knows of what a neighbour has been told. The zero value is a
// neighbour that has not been heard of.
type Neighbour struct {
	boot    int64
	digest  Digest
	heardAt time.Time // when the digest arrived
	fullAt  time.Time // when everything was last told
}

// Heard records the digest of a heartbeat or answer of the neighbour's run.
func (n *Neighbour) Heard(now time.Time, boot int64, d Digest) {
	if boot != n.boot {
		*n = Neighbour{boot: boot}
	}
	n.digest, n.heardAt = d, now
}

// Plan is what to tell a neighbour.
type Plan struct {
	Full    bool   // everything, because of Reason
	Reason  string // why everything is told, empty if it is not
	Changed []int  // members whose content changed
	Fresh   []int  // members whose content is known to the neighbour, but not that they are alive
}

// Call returns the part of a plan that a heartbeat tells, given the place of its sender: the
// sender's own state, and all if everything is to be told. What else the neighbour lacks it gets
// as the answer to its own heartbeat, whose digest is current. The last digest that the sender
// has of it is as old as the last heartbeat, and others have told it most of that since.
func (p Plan) Call(self int) Plan {
	others := func(i int) bool { return i != self }
	p.Changed, p.Fresh = slices.DeleteFunc(p.Changed, others), slices.DeleteFunc(p.Fresh, others)
	return p
}

// Values of Plan.Reason.
const (
	ReasonUnknown  = "unknown"  // no digest of the neighbour's run is known
	ReasonSilent   = "silent"   // the digest is old
	ReasonRuns     = "runs"     // the neighbour knows other runs
	ReasonPeriodic = "periodic" // nothing but changes was told for a while
)

// Tell returns what to tell the neighbour. members are the versions of the known members in the
// order of names, the router itself included, and set is the hash of their runs. A member of
// unknown version is told always.
func (n *Neighbour) Tell(now time.Time, set uint64, members []Version) Plan {
	reason := ""
	switch {
	case n.digest.Set == 0:
		reason = ReasonUnknown
	case now.Sub(n.heardAt) > digestLifetime:
		reason = ReasonSilent
	case n.digest.Set != set || len(n.digest.Seqs) != len(members):
		reason = ReasonRuns
	case now.Sub(n.fullAt) >= fullInterval:
		reason = ReasonPeriodic
	}
	if reason != "" {
		n.fullAt = now
		return Plan{Full: true, Reason: reason}
	}
	var p Plan
	for i, m := range members {
		switch lag, ok := behind(m.Seq, n.digest.Seqs[i]); {
		case !ok || lag > 0 && m.Seq < m.Changed+lag:
			p.Changed = append(p.Changed, i)
		case lag > 0:
			p.Fresh = append(p.Fresh, i)
		}
	}
	return p
}

// behind returns by how many heartbeats a neighbour is behind, 0 if it is not, and false if that
// is unknown.
func behind(seq uint64, theirs byte) (lag uint64, ok bool) {
	if seq == 0 || theirs == 0 {
		return 0, false
	}
	lag = (seq%seqPeriod + seqPeriod - uint64(theirs-1)) % seqPeriod
	if lag > seqPeriod/2 {
		return 0, true // the neighbour knows a later one
	}
	return lag, true
}
