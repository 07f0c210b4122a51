package share

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

// Packed is a Report as it travels between routers. Every heartbeat tells the reports of all routers
// several times a second, over links of 10 Mbit/s, so teams are told by a hash and rates with a
// precision of a 128th: 5 bytes for a team. As a string it costs little to pass on.
//
// It holds a byte that is 1 if Short is set, Admitted, and for each demand its rank, the counts of
// teams that ask and that are named (uvarint), the rate that is asked for, and the teams.
type Packed string

// hashBytes is the number of bytes by which a team is told. The hashes of 800 teams agree for two of
// them in 2 of 100 deployments, whose demands then count as one.
const hashBytes = 3

// hashOf returns the hash by which a team is told.
func hashOf(id wire.TeamID) uint32 {
	return uint32(xxhash.Sum64String(string(id))) & (1<<(8*hashBytes) - 1)
}

// Pack returns the report as it travels. Rates of teams are rounded down and totals up, so that the
// teams of a demand never ask for more than its total.
func (r Report) Pack() Packed {
	b := make([]byte, 1, 64)
	if r.Short {
		b[0] = 1
	}
	b = appendRate(b, r.Admitted, false)
	for _, d := range r.Demands {
		b = binary.AppendUvarint(b, uint64(d.Rank))
		b = binary.AppendUvarint(b, uint64(d.Count))
		b = binary.AppendUvarint(b, uint64(len(d.Teams)))
		b = appendRate(b, d.Asked, true)
		for _, t := range d.Teams {
			h := hashOf(t.Team)
			b = append(b, byte(h), byte(h>>8), byte(h>>16))
			b = appendRate(b, t.Rate, false)
		}
	}
	return Packed(b)
}

// rateShift is the number of low bits of a float32 that are left out.
const rateShift = 16

// appendRate appends the upper half of a rate as a float32, rounded up or down.
func appendRate(b []byte, r Rate, up bool) []byte {
	bits := math.Float32bits(float32(r))
	if up {
		bits += 1<<rateShift - 1
	}
	return binary.LittleEndian.AppendUint16(b, uint16(bits>>rateShift))
}

// Teams finds the teams of a configuration by what a Packed report tells of them.
type Teams map[uint32]wire.TeamID

// NewTeams returns the Teams of the given IDs.
func NewTeams(ids []wire.TeamID) Teams {
	ts := make(Teams, len(ids))
	for _, id := range ids {
		ts[hashOf(id)] = id
	}
	return ts
}

// Unpack returns the report, without teams that are not known, or false if it is malformed or can't
// be right.
func (p Packed) Unpack(known Teams) (r Report, ok bool) {
	u := unpacker{rest: []byte(p)}
	r.Short = u.next(1)[0] == 1
	r.Admitted = u.rate()
	for len(u.rest) > 0 && !u.failed {
		d := Demand{Rank: u.count(Ranks - 1), Count: u.count(maxTeams)}
		named := u.count(MaxReportTeams)
		d.Asked = u.rate()
		for range named {
			h := u.next(hashBytes)
			id, ok := known[uint32(h[0])|uint32(h[1])<<8|uint32(h[2])<<16]
			if rate := u.rate(); ok {
				d.Teams = append(d.Teams, TeamRate{id, rate})
			}
		}
		r.Demands = append(r.Demands, d)
	}
	if u.failed || !r.IsValid() {
		return Report{}, false
	}
	return r, true
}

// unpacker reads the parts of a Packed report. After one that is missing or out of range it returns
// zeros.
type unpacker struct {
	rest   []byte
	failed bool
}

func (u *unpacker) next(n int) []byte {
	if u.failed || len(u.rest) < n {
		u.failed = true
		return make([]byte, n)
	}
	b := u.rest[:n]
	u.rest = u.rest[n:]
	return b
}

func (u *unpacker) rate() Rate {
	bits := uint32(binary.LittleEndian.Uint16(u.next(2)))
	return Rate(math.Float32frombits(bits << rateShift))
}

// count returns a number up to most.
func (u *unpacker) count(most int) int {
	x, size := binary.Uvarint(u.rest)
	if u.failed || size <= 0 || x > uint64(most) {
		u.failed = true
		return 0
	}
	u.rest = u.rest[size:]
	return int(x)
}
