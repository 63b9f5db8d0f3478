package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/probe"
)

// prober sends probes. The balancer decides when to send one, within the probe
// budget.
type prober struct {
	client     *http.Client
	sent       atomic.Uint64
	totalNanos atomic.Int64 // total duration of the probes, in nanoseconds
}

// Times of the probe budget.
const (
	probeWindow     = 100 * time.Millisecond
	probeSettleTime = 5 * time.Second // until all entries have learned of a membership change
)

// setProbeShare sets the probe budget of the service: a share of the time of all
// its slots in any window, divided by rank between its preferred entries. A new
// budget starts without a share and gets one only after probeSettleTime, when the
// other entries have given up theirs. A change of settings or targets therefore
// never exceeds the total budget.
func (s *service) setProbeShare(now time.Time, share probe.Share) {
	p := s.policy.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := 0
	for _, t := range s.targetList {
		n := t.Slots
		if n == 0 {
			n = p.Slots
		}
		slots += n
	}
	cfg := probe.Config{
		Window:     probeWindow,
		Budget:     time.Duration(p.ProbeShare * float64(slots) * float64(probeWindow)),
		Cost:       p.ProbeCost,
		SettleTime: probeSettleTime,
	}
	if cfg != s.probeConfig {
		s.probeConfig = cfg
		*s.probeBudget = *probe.New(cfg)
	}
	s.probeBudget.SetShare(now, share)
}

// maxProbeBody is the longest valid body of a probe response, in bytes.
const maxProbeBody = 4 << 10

// maxOutsideHeader limits the heads of responses of targets to probes, and of the store, in bytes.
const maxOutsideHeader = 64 << 10

func newProber() *prober {
	return &prober{client: &http.Client{Transport: reply.Transport{Transport: &http.Transport{
		DialContext:         dial.New(dial.Config{}).DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second, MaxResponseHeaderBytes: maxOutsideHeader,
	}}}}
}

// Probes returns how many probes the entry has sent and their total duration.
func (e *Entry) Probes() (sent uint64, took time.Duration) {
	return e.prober.sent.Load(), time.Duration(e.prober.totalNanos.Load())
}

// probe sends a health probe to a target and reports the result to the balancer.
// Its time limit is the cost that was charged to the probe budget.
func (e *Entry) probe(s *service, a pool.Action) {
	p := s.policy.Load()
	ctx, cancel := context.WithTimeout(context.Background(), p.ProbeCost)
	defer cancel()
	began := time.Now()
	load, ok := e.prober.send(ctx, "http://"+a.Addr+p.ProbePath)
	took := time.Since(began)
	e.prober.sent.Add(1)
	e.prober.totalNanos.Add(int64(took))
	s.metrics.probes.Inc(1)
	s.probeDone(time.Now(), pool.ProbeResult{Target: a.Target, OK: ok, Took: took, Load: load})
}

func (p *prober) send(ctx context.Context, url string) (load pool.Load, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return load, false
	}
	res, err := p.client.Do(req)
	if err != nil {
		return load, false
	}
	defer res.Body.Close()
	if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody+1)); err != nil || n > maxProbeBody {
		return load, false
	}
	if l, known := forward.ParseLoad(res.Header.Get(call.HeaderLoad)); known {
		load = poolLoad(l)
	}
	return load, res.StatusCode < http.StatusInternalServerError
}
