package capacity

import (
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

// counted counts the bytes of answers' bodies.
type counted struct{ bytes int }

func (c *counted) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		res.Body = &countedBody{res.Body, c}
	}
	return res, err
}

type countedBody struct {
	io.ReadCloser
	counted *counted
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.counted.bytes += n
	return n, err
}

// runStore measures the reads that an entry repeats: the VM list and the
// settings. The processor time is that of the client and the stand-in together.
func runStore(_ Config, _ *model, w io.Writer) error {
	listBytes := &series{name: "VM list, B a read"}
	listTime := &series{name: "VM list, us a read, both ends"}
	for _, n := range []int{30, 500, 1000, 2000} {
		bytes, took, err := reads(n, 0, func(ctx context.Context, s *store.Client) error {
			_, err := s.VMs(ctx)
			return err
		})
		if err != nil {
			return err
		}
		listBytes.add(n, bytes)
		listTime.add(n, took)
	}
	write(w, "workers", listBytes, listTime)
	fmt.Fprintln(w)

	treeBytes := &series{name: "settings/tree, B a read"}
	treeTime := &series{name: "settings/tree, us a read, both ends"}
	for _, n := range []int{7, 30, 60, 110} {
		bytes, took, err := reads(0, n, func(ctx context.Context, s *store.Client) error {
			_, err := s.Get(ctx, "settings", "tree")
			return err
		})
		if err != nil {
			return err
		}
		treeBytes.add(n, bytes)
		treeTime.add(n, took)
	}
	write(w, "services", treeBytes, treeTime)
	return nil
}

// reads gives the bytes and the microseconds of one read.
func reads(workers, services int, read func(context.Context, *store.Client) error) (bytes, micros float64, err error) {
	const times = 20
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p := platform.New(platform.Config{})
	for i := range workers {
		p.PutVM(platform.VM{
			ID: fmt.Sprintf("worker-%05d", i), Addr: fmt.Sprintf("10.2.%d.%d:9000", i/250, i%250), Place: "place-01",
			Service: fmt.Sprintf("service-%03d", i/18), Slots: 2, Boot: 1_700_000_000_000_000_000, State: platform.Live,
		})
	}
	srv := httptest.NewServer(p)
	defer srv.Close()
	c := &counted{}
	s := store.New(store.Config{Addr: srv.URL, HTTP: &http.Client{Transport: c}, Reads: rate.NewLimiter(rate.Inf, 1)})
	if services > 0 {
		d, err := document(services)
		if err != nil {
			return 0, 0, err
		}
		if _, err := s.Put(ctx, "settings", "tree", 0, tree.Encode(d)); err != nil {
			return 0, 0, err
		}
	}
	c.bytes = 0
	start := processor()
	for range times {
		if err := read(ctx, s); err != nil {
			return 0, 0, err
		}
	}
	return float64(c.bytes) / times, float64((processor() - start).Microseconds()) / times, nil
}
