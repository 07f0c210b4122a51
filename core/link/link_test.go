package link

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/certs"
	"hornbeamcove.example/core/wire"
)

func hello(role wire.Role, name wire.HostID) wire.Hello {
	return wire.Hello{Role: role, Name: name, Centre: "palermo", Incarnation: wire.Incarnation(name) + "-1", Epoch: 1, Version: Version}
}

func issue(t *testing.T, a *certs.Authority, role wire.Role, name wire.HostID, ttl time.Duration) *certs.Source {
	t.Helper()
	m, err := a.Issue(certs.Identity{Role: role, Centre: "palermo", Name: name}, time.Now().Add(ttl))
	assert.NilError(t, err)
	s, err := certs.NewSource(m)
	assert.NilError(t, err)
	return s
}

func listen(t *testing.T, src *certs.Source, role wire.Role, name wire.HostID, roles ...wire.Role) *QUIC {
	t.Helper()
	q, err := Listen("127.0.0.1:0", src, hello(role, name), roles...)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = q.Close() })
	return q
}

func connect(t *testing.T, from, to *QUIC, h wire.Hello) (near, far Session) {
	t.Helper()
	near, err := from.Dial(t.Context(), to.Addr(), h)
	assert.NilError(t, err)
	far, err = to.Accept(t.Context())
	assert.NilError(t, err)
	return near, far
}

// expectExchange sends one frame each way over a new stream.
func expectExchange(t *testing.T, near, far Session) {
	t.Helper()
	ref := wire.Ref{Request: "r", Stage: "s", Attempt: 1}
	st, err := near.Open(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, st.Send(&wire.Frame{Ack: &wire.Ack{Ref: ref}}))
	got, err := far.Accept(t.Context())
	assert.NilError(t, err)
	f, err := got.Recv(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, f.Ack.Ref, ref)
	assert.NilError(t, got.Send(&wire.Frame{Accept: &wire.Accept{Ref: ref}}))
	f, err = st.Recv(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, f.Accept.Ref, ref)
	got.Reset()
	_, err = st.Recv(t.Context())
	assert.ErrorIs(t, err, ErrReset)
}

func TestQUIC(t *testing.T) {
	a, err := certs.NewAuthority()
	assert.NilError(t, err)
	agent := listen(t, issue(t, a, wire.RoleAgent, "u1", time.Hour), wire.RoleAgent, "u1", wire.RoleRouter)
	src := issue(t, a, wire.RoleRouter, "r1", time.Hour)
	router := listen(t, src, wire.RoleRouter, "r1", wire.RoleRouter)
	near, far := connect(t, router, agent, hello(wire.RoleRouter, "r1"))
	expectExchange(t, near, far)
	t.Run("rotation keeps open sessions", func(t *testing.T) {
		m, err := a.Issue(certs.Identity{Role: wire.RoleRouter, Centre: "palermo", Name: "r1"}, time.Now().Add(2*time.Hour))
		assert.NilError(t, err)
		assert.NilError(t, src.Load(m))
		expectExchange(t, near, far)
		near2, far2 := connect(t, router, agent, hello(wire.RoleRouter, "r1"))
		expectExchange(t, near2, far2)
	})
	t.Run("close reaches the peer", func(t *testing.T) {
		near.Close("done")
		<-far.Done()
		_, err := far.Accept(t.Context())
		assert.Assert(t, err != nil)
	})
}

// TestQUICRefuses guards against work from, or for, a process without the right
// identity.
func TestQUICRefuses(t *testing.T) {
	ours, err := certs.NewAuthority()
	assert.NilError(t, err)
	theirs, err := certs.NewAuthority()
	assert.NilError(t, err)
	agent := listen(t, issue(t, ours, wire.RoleAgent, "u1", time.Hour), wire.RoleAgent, "u1", wire.RoleRouter)
	expired := listen(t, issue(t, ours, wire.RoleAgent, "u2", -time.Minute), wire.RoleAgent, "u2", wire.RoleRouter)
	for name, c := range map[string]struct {
		src   *certs.Source
		hello wire.Hello
		to    *QUIC
	}{
		"foreign authority": {issue(t, theirs, wire.RoleRouter, "r1", time.Hour), hello(wire.RoleRouter, "r1"), agent},
		"expired router":    {issue(t, ours, wire.RoleRouter, "r1", -time.Minute), hello(wire.RoleRouter, "r1"), agent},
		"agent as router":   {issue(t, ours, wire.RoleAgent, "u3", time.Hour), hello(wire.RoleAgent, "u3"), agent},
		"another's name":    {issue(t, ours, wire.RoleRouter, "r1", time.Hour), hello(wire.RoleRouter, "r2"), agent},
		"expired agent":     {issue(t, ours, wire.RoleRouter, "r1", time.Hour), hello(wire.RoleRouter, "r1"), expired},
	} {
		t.Run(name, func(t *testing.T) {
			q := listen(t, c.src, c.hello.Role, c.hello.Name, wire.RoleRouter)
			s, err := q.Dial(t.Context(), c.to.Addr(), c.hello)
			if err == nil {
				s.Close("unexpected")
			}
			assert.ErrorContains(t, err, "certificate")
		})
	}
}

// TestNet guards the faults that the fault matrix relies on.
func TestNet(t *testing.T) {
	n := NewNet()
	ln := n.Listen("10.0.0.1:1", hello(wire.RoleAgent, "u1"))
	near, err := n.Dial(t.Context(), ln.Addr(), hello(wire.RoleRouter, "r1"))
	assert.NilError(t, err)
	far, err := ln.Accept(t.Context())
	assert.NilError(t, err)
	expectExchange(t, near, far)
	t.Run("silence loses frames of open sessions only", func(t *testing.T) {
		n.Blackhole("r1", "u1")
		st, err := near.Open(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, st.Send(&wire.Frame{Reserve: &wire.Reserve{Team: "t"}}))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = far.Accept(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		near, err = n.Dial(t.Context(), ln.Addr(), hello(wire.RoleRouter, "r1"))
		assert.NilError(t, err)
		far, err = ln.Accept(t.Context())
		assert.NilError(t, err)
		expectExchange(t, near, far)
	})
	t.Run("kill ends sessions", func(t *testing.T) {
		n.Kill("u1")
		<-near.Done()
		_, err := n.Dial(t.Context(), ln.Addr(), hello(wire.RoleRouter, "r1"))
		assert.ErrorIs(t, err, errUnreachable)
	})
}

// TestTraffic guards against a socket whose traffic is not counted, which would
// show a control overhead of nothing.
func TestTraffic(t *testing.T) {
	a, err := certs.NewAuthority()
	assert.NilError(t, err)
	rt := listen(t, issue(t, a, wire.RoleRouter, "r", time.Hour), wire.RoleRouter, "r", wire.RoleRouter)
	ag := listen(t, issue(t, a, wire.RoleAgent, "a", time.Hour), wire.RoleAgent, "a", wire.RoleRouter)
	near, far := connect(t, rt, ag, hello(wire.RoleRouter, "r"))
	before := rt.Traffic()
	expectExchange(t, near, far)
	after, other := rt.Traffic(), ag.Traffic()
	for _, n := range []int64{
		after.SentBytes - before.SentBytes, after.SentMessages - before.SentMessages,
		after.RecvBytes - before.RecvBytes, after.RecvMessages - before.RecvMessages, other.SentBytes, other.RecvBytes,
	} {
		assert.Assert(t, n > 0, "before %+v, after %+v, other end %+v", before, after, other)
	}
}
