package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
)

// prober sends probes. Whether one may be sent is the pool's decision, within
// the budget.
type prober struct {
	client *http.Client
	sent   atomic.Uint64
	spent  atomic.Int64 // nanoseconds that probes took
}

// maxProbeBody bounds what is read of a probe's answer, in bytes.
const maxProbeBody = 4 << 10

func newProber() *prober {
	return &prober{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}}}
}

// Probes returns how many probes the entry has sent and what they took.
func (e *Entry) Probes() (sent uint64, took time.Duration) {
	return e.prober.sent.Load(), time.Duration(e.prober.spent.Load())
}

// probe asks a target for its health and tells the pool. The time limit is
// what the budget has paid for.
func (e *Entry) probe(s *service, a pool.Action) {
	p := s.policy.Load()
	ctx, cancel := context.WithTimeout(context.Background(), p.ProbeCost)
	defer cancel()
	began := time.Now()
	load, ok := e.prober.ask(ctx, "http://"+a.Addr+p.ProbePath)
	took := time.Since(began)
	e.prober.sent.Add(1)
	e.prober.spent.Add(int64(took))
	s.metrics.probes.Inc(1)
	s.probed(time.Now(), pool.Probed{Target: a.Target, OK: ok, Took: took, Load: load})
}

func (p *prober) ask(ctx context.Context, url string) (load pool.Load, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return load, false
	}
	res, err := p.client.Do(req)
	if err != nil {
		return load, false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody))
	if l, known := forward.ParseLoad(res.Header.Get(call.HeaderLoad)); known {
		load = loadOf(l)
	}
	return load, res.StatusCode < http.StatusInternalServerError
}
