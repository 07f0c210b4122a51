package entry

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// transferStall bounds the time in which nothing of a transfer between routers arrives,
	// and transferTimeout all of it. How long a sound transfer takes depends on its size.
	transferStall   = 1500 * time.Millisecond
	transferTimeout = 15 * time.Second
	// maxConfigBytes bounds a configuration that a peer sends.
	maxConfigBytes = 32 << 20
)

// ConfigRecord is the record of the configuration in force, as a router sends it to a peer
// that has an older one.
type ConfigRecord struct {
	Version  fleet.Version
	Revision fleet.Revision
	Packed   []byte // value of the record, compressed with gzip
}

// record returns the record that c was made from.
func (c *ConfigRecord) record() (r platform.Record, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("unpack configuration %d: %w", c.Version, err)
		}
	}()
	z, err := gzip.NewReader(bytes.NewReader(c.Packed))
	if err != nil {
		return r, err
	}
	value, err := io.ReadAll(io.LimitReader(z, maxConfigBytes+1))
	if err == nil && len(value) > maxConfigBytes {
		err = errors.New("too large")
	}
	return platform.Record{Kind: platform.RecordConfig, Value: value, Revision: c.Revision}, err
}

// configPacker packs the configuration in force, each version once. It is safe for concurrent
// use; the zero value is empty.
type configPacker struct {
	mu     sync.Mutex
	packed ConfigRecord
}

// pack returns the configuration in force of v, which must have one.
func (c *configPacker) pack(v *View) (ConfigRecord, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed.Version == v.Config.Version {
		return c.packed, nil
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return ConfigRecord{}, err
	}
	if _, err = z.Write(v.configFrom.Value); err != nil {
		return ConfigRecord{}, err
	}
	if err = z.Close(); err != nil {
		return ConfigRecord{}, err
	}
	c.packed = ConfigRecord{Version: v.Config.Version, Revision: v.configFrom.Revision, Packed: b.Bytes()}
	return c.packed, nil
}

// followConfig compares the versions in force here and at the peer that sent b, and sends this
// router's to a peer that stays behind. A router that is short of processor, or whose link is,
// can't fetch it in time.
func (p *peers) followConfig(ctx context.Context, b Beat) {
	now, v := time.Now(), p.s.view.Load()
	own := v.version()
	if b.Config == 0 || !p.offers.Due(now, b.From.Name, b.Config, own) {
		return
	}
	p.s.background.Go(func() {
		c, err := p.packer.pack(v)
		if err == nil {
			addr, _ := p.address(b.From.Name) // a heartbeat may leave it out
			err = p.transfer(ctx, addr, "Peer.Configuration", c, new(int))
		}
		if err != nil {
			p.s.log.Info("could not send configuration to peer", "peer", b.From.Name, "version", own, "known", b.Config, "err", err)
			p.s.incCounter("configurations_sent", "outcome", "failed")
			return
		}
		p.s.log.Info("configuration sent to peer", "peer", b.From.Name, "version", own, "known", b.Config, "bytes", len(c.Packed), "took_ms", time.Since(now).Milliseconds())
		p.s.incCounter("configurations_sent", "outcome", "done")
	})
}

// Configuration takes a newer configuration from another router.
func (p *Peer) Configuration(c ConfigRecord, _ *int) error {
	if v := p.s.view.Load(); v.Config != nil && c.Version <= v.Config.Version {
		return nil
	}
	r, err := c.record()
	if err != nil {
		return err
	}
	p.s.log.Info("configuration received from peer", "version", c.Version, "revision", c.Revision)
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	p.s.applyUpdate(ctx, update{state: &State{Memory: Memory{Config: r}}, fromPeer: true})
	return nil
}

// transfer calls a method whose argument or answer is large, over a connection of its own:
// heartbeats would wait behind it, and their time limits close the connection.
func (p *peers) transfer(ctx context.Context, addr wire.Address, method string, args, answer any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("call %s of peer %s: %w", method, addr, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	d := dialer
	d.Timeout = rpcDialTimeout
	conn, err := d.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return err
	}
	c := rpc.NewClient(&peerConn{Conn: stallConn{conn}})
	defer c.Close()
	call := c.Go(method, args, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stallConn is a connection that fails when nothing arrives or can be sent for transferStall.
type stallConn struct{ net.Conn }

// Read implements net.Conn.
func (c stallConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(transferStall)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c stallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(transferStall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
