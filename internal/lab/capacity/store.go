package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// countingTransport counts the bytes of responses, including their headers.
type countingTransport struct{ bytes int }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	var header bytes.Buffer
	_ = res.Header.Write(&header)
	c.bytes += header.Len()
	res.Body = &countingBody{res.Body, c}
	return res, nil
}

type countingBody struct {
	io.ReadCloser
	transport *countingTransport
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.transport.bytes += n
	return n, err
}

// readRepeats is the number of times that each read is made.
const readRepeats = 20

// runStore measures the reads that an entry makes periodically, of the VM list
// and of the settings: a full read, and a read that finds no change since the
// previous one. The CPU time is the sum of the client and the fake platform.
func runStore(_ Config, _ *messageSizes, w io.Writer) error {
	vms := func(ctx context.Context, s *store.Client) error {
		_, err := s.VMs(ctx)
		return err
	}
	get := func(ctx context.Context, s *store.Client) error {
		_, err := s.Get(ctx, "settings", "tree")
		return err
	}
	err := writeReadCosts(w, "VM list", "workers", []int{30, 500, 1000, 2000}, func(n int) (readCosts, error) {
		return measureReads(n, 0, vms)
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(w)
	return writeReadCosts(w, "settings/tree", "services", []int{7, 30, 60, 110}, func(n int) (readCosts, error) {
		return measureReads(0, n, get)
	})
}

func writeReadCosts(w io.Writer, what, unit string, sizes []int, measure func(n int) (readCosts, error)) error {
	whole := &series{name: what + ", B a whole read"}
	wholeTime := &series{name: what + ", us a whole read, both ends"}
	same := &series{name: what + ", B an unchanged read"}
	sameTime := &series{name: what + ", us an unchanged read, both ends"}
	for _, n := range sizes {
		r, err := measure(n)
		if err != nil {
			return err
		}
		whole.add(n, r.full.bytes)
		wholeTime.add(n, r.full.micros)
		same.add(n, r.unchanged.bytes)
		sameTime.add(n, r.unchanged.micros)
	}
	writeTable(w, unit, whole, wholeTime, same, sameTime)
	return nil
}

// readCosts holds the cost of a full read and of a read that finds no change.
type readCosts struct {
	full      readCost
	unchanged readCost
}

type readCost struct {
	bytes  float64
	micros float64 // CPU time
}

// measureReads measures a read at a platform with a number of workers and of
// services in the settings. The client of the unchanged reads has nothing cached
// at its first read, so the cost of a full read is subtracted.
func measureReads(workers, services int, read func(context.Context, *store.Client) error) (r readCosts, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	srv := httptest.NewServer(platformWithVMs(workers))
	defer srv.Close()
	if services > 0 {
		if err := storeSettings(ctx, srv.URL, services); err != nil {
			return r, err
		}
	}
	r.full, err = meanCost(srv.URL, func(c func() *store.Client) error { return read(ctx, c()) })
	if err != nil {
		return r, err
	}
	var shared *store.Client
	r.unchanged, err = meanCost(srv.URL, func(c func() *store.Client) error {
		if shared == nil {
			shared = c()
			return read(ctx, shared)
		}
		return read(ctx, shared)
	})
	r.unchanged.bytes = (r.unchanged.bytes*readRepeats - r.full.bytes) / (readRepeats - 1)
	r.unchanged.micros = (r.unchanged.micros*readRepeats - r.full.micros) / (readRepeats - 1)
	return r, err
}

// meanCost calls step readRepeats times and returns the mean cost of a call. The
// function passed to step creates a client whose responses are counted.
func meanCost(url string, step func(client func() *store.Client) error) (cost readCost, err error) {
	c := &countingTransport{}
	client := func() *store.Client {
		return store.New(store.Config{Addr: url, HTTP: &http.Client{Transport: c}, Reads: rate.NewLimiter(rate.Inf, 1)})
	}
	start := cpuTime()
	for range readRepeats {
		if err := step(client); err != nil {
			return cost, err
		}
	}
	spent := cpuTime() - start
	return readCost{float64(c.bytes) / readRepeats, float64(spent.Microseconds()) / readRepeats}, nil
}

// platformWithVMs returns a fake platform that lists a number of workers.
func platformWithVMs(workers int) *platform.Platform {
	p := platform.New(platform.Config{})
	for i := range workers {
		p.PutVM(platform.VM{
			ID: fmt.Sprintf("worker-%05d", i), Addr: fmt.Sprintf("10.2.%d.%d:9000", i/250, i%250), Place: "place-01",
			Service: fmt.Sprintf("service-%03d", i/18), Slots: 2, Boot: 1_700_000_000_000_000_000, State: platform.Live,
		})
	}
	return p
}

// storeSettings writes settings with a number of services to the store.
func storeSettings(ctx context.Context, url string, services int) error {
	d, err := newDocument(services)
	if err != nil {
		return err
	}
	_, err = store.New(store.Config{Addr: url}).Put(ctx, "settings", "tree", 0, tree.Encode(d))
	return err
}
