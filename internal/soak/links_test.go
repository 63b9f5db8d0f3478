package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/link"
)

// linksVariable makes this test binary run as a gateway whose links to other gateways are in
// the state that the file named by it contains.
const linksVariable = "PLUMPITCH_SOAK_LINKS"

// linkState is the state of the links from one gateway to the others.
type linkState struct {
	Loss float64  `json:"loss"` // share of the datagrams that are lost
	Cut  []string `json:"cut"`  // IP addresses of the gateways that it can't reach
	// Targets is what happens to its connections to targets.
	Targets link.Mode `json:"targets"`
}

// links applies a linkState in the process of a gateway. What is sent to a gateway that can't
// be reached is dropped, as in a network that is divided.
type links struct {
	state   atomic.Pointer[linkState]
	targets *link.Links
}

// follow reads the file again and again, as it changes while the gateway runs.
func (l *links) follow(path string) {
	const period = 10 * time.Millisecond
	for ; ; time.Sleep(period) {
		var s linkState
		if data, err := os.ReadFile(path); err == nil && json.Unmarshal(data, &s) == nil {
			if before := l.state.Swap(&s); before == nil || before.Targets != s.Targets {
				l.targets.Set(s.Targets)
			}
		}
	}
}

func (l *links) cut(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	s := l.state.Load()
	return s != nil && slices.Contains(s.Cut, host)
}

// dial connects to another gateway. While that one can't be reached it waits until ctx ends.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.cut(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return linkedConn{c, l, address}, nil
}

// linkedConn is a connection to another gateway.
type linkedConn struct {
	net.Conn
	links   *links
	address string
}

func (c linkedConn) Write(data []byte) (int, error) {
	if c.links.cut(c.address) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// linkedPacketConn is the socket for datagrams to other gateways.
type linkedPacketConn struct {
	net.PacketConn
	links *links
}

func (c linkedPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if s := c.links.state.Load(); c.links.cut(to.String()) || s != nil && rand.Float64() < s.Loss {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

func (g *gateway) linksPath() string { return filepath.Join(filepath.Dir(g.settingsPath), "links") }

// setLinks sets the state of the links of all gateways: the share of lost datagrams, and for
// each gateway a group outside of which it reaches none.
func (s *site) setLinks(loss float64, group func(number int) int) {
	for i, g := range s.gateways {
		state := linkState{Loss: loss}
		for j, other := range s.gateways {
			if group(i) != group(j) {
				state.Cut = append(state.Cut, other.ip)
			}
		}
		g.writeLinks(state)
	}
}

// writeLinks sets the state of the gateway's links.
func (g *gateway) writeLinks(state linkState) {
	data, err := json.Marshal(state)
	g.site.q.Check(err, qt.IsNil)
	g.site.q.Check(os.WriteFile(g.linksPath()+".new", data, 0o600), qt.IsNil)
	g.site.q.Check(os.Rename(g.linksPath()+".new", g.linksPath()), qt.IsNil)
}
