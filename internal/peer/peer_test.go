package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/pkg/member"
)

var (
	self  = member.ID{Name: "e1", Boot: 7}
	other = member.ID{Name: "e2", Boot: 1 << 40}
)

// fake implements Members and SettingsSource. It echoes messages and counts calls.
type fake struct {
	calls  int
	gossip member.Message
	have   uint64
	change SettingsUpdate
}

func (f *fake) Gossip(_ context.Context, m member.Message) (member.Message, error) {
	f.calls++
	f.gossip = m
	m.From = self
	return m, nil
}

func (f *fake) Ping(_ context.Context, address string) (member.ID, error) {
	f.calls++
	if address != "10.0.0.2:1" {
		return member.ID{}, errors.New("refused")
	}
	return other, nil
}

func (f *fake) ChangesSince(_ context.Context, have uint64) (SettingsUpdate, error) {
	f.calls++
	f.have = have
	return f.change, nil
}

func serve(c *qt.C, f *fake, counters *Counters) string {
	srv := NewServer(ServerConfig{Self: self, Members: f, Settings: f, Counters: counters})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go srv.Serve(counters.Listener(l))
	c.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

func TestCalls(t *testing.T) {
	c := qt.New(t)
	f := &fake{
		change: SettingsUpdate{Revision: 9, Document: []byte("{}"), Edits: [][]byte{[]byte("a"), []byte("b")}},
	}
	counters := &Counters{}
	address := serve(c, f, counters)
	client := NewClient(ClientConfig{Counters: counters})
	defer client.Close()
	ctx := context.Background()

	now := time.Now()
	m := member.Message{
		From: other, Digest: 1 << 63, Revisions: member.Revisions{Settings: 4, Targets: 9}, Join: true,
		Entries: []member.Entry{{
			ID: other, Sequence: 3, State: member.Suspect, Ready: true, Since: now.Add(-time.Minute),
			CallerAddress: "c", PeerAddress: "p", Place: "here", Region: "there", Capacity: 128,
			Condition: member.Condition{Overloaded: true, StoreUnavailable: true},
		}},
		BucketDigests: []uint32{8, 1 << 31}, SuspectDigests: []uint32{7, 1 << 31},
		BucketMask:       1 << 63,
		MissingAddresses: []string{"e9"},
		Rumours: member.Rumours{
			LeavingNotices: []member.LeavingNotice{{Target: "w1", Boot: 2, Time: now.Add(-time.Second)}},
			CrashReports:   []member.CrashReport{{Fingerprint: 1 << 62, Crashes: 2, Time: now.Add(-time.Second), Reporter: "e3", Sequence: 1 << 60}},
		},
	}
	got, err := client.Gossip(ctx, address, m)
	c.Assert(err, qt.IsNil)
	c.Assert(got.From, qt.Equals, self)
	got.From = other
	near := cmp.Options{cmpopts.EquateApproxTime(time.Second), cmpopts.EquateEmpty()}
	c.Assert(f.gossip, qt.CmpEquals(near), m)
	c.Assert(got, qt.CmpEquals(near), m)

	id, err := client.Ping(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, self)
	id, err = client.IndirectPing(ctx, address, "10.0.0.2:1")
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, other)
	id, err = client.IndirectPing(ctx, address, "10.0.0.3:1")
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, member.ID{})

	update, err := client.Settings(ctx, address, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(update, qt.DeepEquals, f.change)
	c.Assert(f.have, qt.Equals, uint64(2))

	for _, n := range counters.Counts() {
		if n.Method != Other {
			c.Assert(n.Calls >= 2 && n.In > 0 && n.Out > 0, qt.IsTrue, qt.Commentf("%v: %+v", n.Method, n))
		}
	}
	// The bytes of the last response are counted in ConnOut before ConnIn.
	for end := time.Now().Add(5 * time.Second); counters.ConnIn.Load() != counters.ConnOut.Load(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("in %d, out %d", counters.ConnIn.Load(), counters.ConnOut.Load()))
	}
}

// A peer of another version, or with a fault, sends invalid messages. The error names
// the invalid field if the message can be decoded, and the message doesn't reach Members
// or SettingsSource.
func TestInvalidRequests(t *testing.T) {
	ident := &wire.Ident{Name: "e1", Boot: 7}
	tests := []struct {
		name   string
		method string
		body   proto.Message
		raw    []byte
		status int
		want   string
	}{
		{"no version", "Ping", &wire.PingRequest{}, nil, 412, "version: found 0, expected 1 to 1"},
		{"later version", "Settings", &wire.SettingsRequest{Version: 9}, nil, 412, "version: found 9, expected 1 to 1"},
		{"not protobuf", "Gossip", nil, []byte("\xff\xff\xff"), 400, "could not be decoded"},
		{"too long", "Gossip", nil, bytes.Repeat([]byte{0}, MaxRequest+1), 400, "body: found 4194305 bytes, expected at most 4194304"},
		{"no sender", "Gossip", &wire.GossipRequest{Version: 1}, nil, 400, "from.name: found nothing, expected the name of an entry"},
		{"nameless entry", "Gossip", &wire.GossipRequest{Version: 1, Gossip: &wire.Gossip{From: ident, Entries: []*wire.Entry{{}}}}, nil, 400, `entries[0].ident.name: found nothing`},
		{"unknown state", "Gossip", &wire.GossipRequest{Version: 1, Gossip: &wire.Gossip{From: ident, Entries: []*wire.Entry{{Ident: ident, State: 9}}}}, nil, 400, "entries[0].state: found 9, expected 0 to 4"},
		{"too many entries", "Gossip", &wire.GossipRequest{Version: 1, Gossip: &wire.Gossip{From: ident, Entries: make([]*wire.Entry, member.MaxJoin+1)}}, nil, 400, "entries: found 4097, expected at most 4096"},
		{"indirect ping without a peer", "Reach", &wire.ReachRequest{Version: 1}, nil, 400, "peer: found nothing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := &fake{}
			address := serve(c, f, &Counters{})
			raw := tt.raw
			if tt.body != nil {
				var err error
				raw, err = proto.Marshal(tt.body)
				c.Assert(err, qt.IsNil)
			}
			resp, err := http.Post("http://"+address+wire.PeerPathPrefix+tt.method, "application/protobuf", bytes.NewReader(raw))
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", text))
			c.Assert(string(text), qt.Contains, tt.want)
			c.Assert(f.calls, qt.Equals, 0)
		})
	}
}

// The peer dies after it has read a message on a kept-alive connection. Go's
// transport retries requests on reused connections that it considers replayable.
// A retry here would deliver the message twice.
func TestNoResendOnReusedConnection(t *testing.T) {
	c := qt.New(t)
	var received atomic.Int32
	srv := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if len(body) == 0 || received.Add(1) == 1 {
			w.Header().Set("Content-Type", "application/protobuf")
			b, _ := proto.Marshal(&wire.GossipReply{Version: Version, Gossip: &wire.Gossip{From: encodeID(self)}})
			w.Write(b)
			return
		}
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go srv.Serve(l)
	defer srv.Close()
	client := NewClient(ClientConfig{})
	m := member.Message{From: other}
	_, err = client.Gossip(context.Background(), l.Addr().String(), m)
	c.Assert(err, qt.IsNil)
	_, err = client.Gossip(context.Background(), l.Addr().String(), m)
	c.Assert(err, qt.ErrorMatches, "gossip with .*EOF.*")
	c.Assert(received.Load(), qt.Equals, int32(2))
}

// A call to a peer that accepts the connection and never responds ends after the
// timeout. A call to a peer that sends an endless response ends after MaxReply bytes.
func TestBoundedCalls(t *testing.T) {
	c := qt.New(t)
	srv := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == wire.PeerPathPrefix+"Ping" {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go srv.Serve(l)
	defer srv.Close()
	client := NewClient(ClientConfig{Timeout: 100 * time.Millisecond})
	_, err = client.Ping(context.Background(), l.Addr().String())
	c.Assert(err, qt.ErrorMatches, "ping .*deadline exceeded.*")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = client.Settings(ctx, l.Addr().String(), 0)
	c.Assert(err, qt.ErrorMatches, "settings from .*message too long.*")
}
