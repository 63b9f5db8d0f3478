// Package load is a load generator. It sends a bounded load to a site and checks that
// each response is complete and belongs to its own request. Like a caller, it queries an
// entry for the entries of a service, caches the response for its TTL and connects to
// these entries.
package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/pkg/call"
)

// Config describes a load.
type Config struct {
	Entries  []string // host:port of callers' listeners, queried in turn for locate
	Direct   []string // host:port of targets; when set, requests bypass the entries
	Services []string // chosen at random with equal probability
	Rate     float64  // requests per second, open loop
	Requests int      // total number of requests; 0 sends until Length has passed
	Length   time.Duration
	Writes   float64 // share of requests that are non-idempotent, 0 to 1
	Keyless  bool    // send these without idempotency keys
	Timeout  time.Duration
	Seed     uint64
}

// Report counts what happened to the requests of a load.
type Report struct {
	Sent     int
	Answered int
	Refused  int // outcome not-run
	Unknown  int // outcome unknown
	Failed   int // error responses of the target
	Crossed  int // response that doesn't belong to the request
	Lost     int // no complete response
	Latency  *hdrhistogram.Histogram
	Keys     []string // idempotency keys sent, to compare with the targets' logs
	Example  string   // reason of the first request that wasn't answered, or of the last crossed one
}

// Range and precision of the latency histogram.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// maxInFlight bounds the requests in flight. Requests beyond it are delayed, not dropped.
const maxInFlight = 2048

type runner struct {
	cfg       Config
	client    *http.Client
	locations *locateCache

	mu     sync.Mutex
	report Report
}

// Run sends the load and waits until every request has ended.
func Run(ctx context.Context, cfg Config) (report Report, err error) {
	defer func() { err = errors.WithMessage(err, "load") }()
	if len(cfg.Services) == 0 {
		return report, errors.New("services: none given, expected at least one")
	}
	if cfg.Rate <= 0 {
		return report, errors.Errorf("rate: found %v, expected more than 0 requests a second", cfg.Rate)
	}
	client := newClient()
	defer client.CloseIdleConnections()
	r := &runner{cfg: cfg, client: client, locations: newLocateCache(client, cfg.Entries)}
	r.report.Latency = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	r.send(ctx)
	return r.report, nil
}

// maxResponseBytes limits each response.
const maxResponseBytes = 64 << 20

// connectTimeout is the timeout of a TCP connection.
const connectTimeout = 2 * time.Second

func newClient() *http.Client {
	dialer := dial.New(dial.Config{Timeout: connectTimeout})
	return &http.Client{Transport: reply.Transport{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxInFlight,
		MaxConnsPerHost:     maxInFlight,
	}}}
}

// send sends the requests as a Poisson process and waits until the last one has ended.
func (r *runner) send(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	slots := make(chan struct{}, maxInFlight)
	var inFlight sync.WaitGroup
	start := time.Now()
	next := start
	for n := 0; r.hasNext(ctx, n, start); n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		service := r.cfg.Services[rnd.IntN(len(r.cfg.Services))]
		write := rnd.Float64() < r.cfg.Writes
		id := strconv.FormatUint(rnd.Uint64(), 36)
		slots <- struct{}{}
		inFlight.Go(func() {
			defer func() { <-slots }()
			r.sendOne(service, id, write)
		})
	}
	inFlight.Wait()
}

func (r *runner) hasNext(ctx context.Context, n int, start time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	if r.cfg.Requests > 0 && n >= r.cfg.Requests {
		return false
	}
	return r.cfg.Length == 0 || time.Since(start) < r.cfg.Length
}

// sendOne sends a request and records its result.
func (r *runner) sendOne(service, id string, write bool) {
	key := ""
	if write && !r.cfg.Keyless {
		key = uuid.Must(uuid.NewV7()).String()
	}
	began := time.Now()
	v := r.attempt(service, id, write, key)
	r.record(v, key, time.Since(began))
}

// result is the outcome of one request, with the reason unless it was answered.
type result struct {
	outcome outcome
	reason  string
}

type outcome int

const (
	answered outcome = iota
	refused
	unknown
	failed
	crossed
	lost
)

func (r *runner) attempt(service, id string, write bool, key string) result {
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.Timeout)
	defer cancel()
	addr, path, err := r.locate(ctx, service)
	if err != nil {
		return result{lost, "locate: " + err.Error()}
	}
	req, err := newRequest(ctx, addr+path, id, write, key)
	if err != nil {
		return result{lost, err.Error()}
	}
	res, err := r.client.Do(req)
	if err != nil {
		r.locations.dropAddress(service)
		return result{lost, err.Error()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, res.Body, maxResponseBytes))
	if err != nil {
		return result{lost, "body: " + err.Error()}
	}
	return classify(res, string(body), id)
}

func (r *runner) locate(ctx context.Context, service string) (addr, path string, err error) {
	if n := len(r.cfg.Direct); n > 0 {
		return r.cfg.Direct[rand.IntN(n)], "/hello", nil
	}
	addr, err = r.locations.address(ctx, service)
	return addr, "/v1/call/" + service + "/hello", err
}

func newRequest(ctx context.Context, url, id string, write bool, key string) (req *http.Request, err error) {
	method := http.MethodGet
	if write {
		method = http.MethodPost
	}
	req, err = http.NewRequestWithContext(ctx, method, "http://"+url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", id)
	if key != "" {
		req.Header.Set(call.HeaderKey, key)
	}
	if write {
		// A body that can't be replayed prevents http.Transport from resending the
		// request.
		req.Body = io.NopCloser(strings.NewReader("x"))
		req.ContentLength = 1
	}
	return req, nil
}

func classify(res *http.Response, body, id string) result {
	reason := res.Header.Get(call.HeaderReason)
	switch res.Header.Get(call.HeaderOutcome) {
	case call.NotRun.String():
		return result{refused, reason}
	case call.Unknown.String():
		return result{unknown, reason}
	}
	if res.StatusCode != http.StatusOK {
		return result{failed, res.Status}
	}
	if !strings.HasPrefix(body, "id="+id+" ") || !strings.HasSuffix(body, "\n") {
		return result{crossed, "sent id " + id + ", found " + strconv.Quote(body)}
	}
	return result{outcome: answered}
}

func (r *runner) record(v result, key string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.report
	p.Sent++
	if key != "" {
		p.Keys = append(p.Keys, key)
	}
	switch v.outcome {
	case answered:
		p.Answered++
		_ = p.Latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
	case refused:
		p.Refused++
	case unknown:
		p.Unknown++
	case failed:
		p.Failed++
	case crossed:
		p.Crossed++
	case lost:
		p.Lost++
	}
	if v.outcome != answered && (p.Example == "" || v.outcome == crossed) {
		p.Example = v.reason
	}
}
