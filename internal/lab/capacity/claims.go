package capacity

import (
	"context"
	"fmt"
	"io"
	"net"

	"plumpitch.example/plumpitch/internal/peer"
)

// replica accepts every claim.
type replica struct{}

func (replica) Claim(_ context.Context, a peer.ClaimAsk) (peer.ClaimResult, error) {
	return peer.ClaimResult{Verdict: peer.Accepted, Ring: a.Ring, Claim: a.Claim, By: a.By}, nil
}
func (replica) Settle(context.Context, peer.Settlement) (bool, error)     { return true, nil }
func (replica) Take(context.Context, peer.Batch) (ring uint64, err error) { return 0, nil }

// runClaims measures a claim and its settlement at one replica, the decision of
// the replica left out.
func runClaims(cfg Config, _ *model, w io.Writer) (err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	counters := &peer.Counters{}
	srv := peer.NewServer(peer.ServerConfig{Self: sample(0).ID, Members: echo{}, Claims: replica{}})
	go srv.Serve(l)
	defer srv.Close()
	client := peer.NewClient(peer.ClientConfig{Counters: counters})
	defer client.Close()

	bytes := &series{name: "claim and settle, B both ways, HTTP included"}
	cpu := &series{name: "processor time of both ends, us", digits: 1}
	self := sample(0).ID
	ask := peer.ClaimAsk{
		To: self, Ring: 1000, Service: "deposit-ledger", Key: "018bcfe5-6800-7000-8000-000000000001", Print: 1 << 63,
		Claim: "8000000000000000entry-000#1700000000000.1f", By: self,
	}
	for _, body := range []int{0, 256, 1024, 4096} {
		answer := &peer.RecordedAnswer{
			Outcome: peer.Ran, Status: 201, Body: make([]byte, body), Whole: true,
			Header: []peer.Field{{Name: "Content-Type", Value: "application/json"}},
		}
		settle := peer.Settlement{To: self, Service: ask.Service, Key: ask.Key, Claim: ask.Claim, Answer: answer}
		before, start := counters.ConnIn.Load()+counters.ConnOut.Load(), processor()
		for range cfg.Rounds {
			if _, err := client.Claim(context.Background(), l.Addr().String(), ask); err != nil {
				return err
			}
			if _, err := client.Settle(context.Background(), l.Addr().String(), settle); err != nil {
				return err
			}
		}
		rounds := float64(cfg.Rounds)
		bytes.add(body, float64(counters.ConnIn.Load()+counters.ConnOut.Load()-before)/rounds)
		cpu.add(body, float64((processor()-start).Nanoseconds())/rounds/1000)
	}
	fmt.Fprintf(w, "%d rounds of each size, at one replica; a keyed request has three\n\n", cfg.Rounds)
	write(w, "B of the answer kept", bytes, cpu)
	return nil
}
