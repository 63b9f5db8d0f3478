package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"

	gatewaypkg "plumpitch.example/plumpitch/internal/gateway"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/platform"
)

// lossVariable makes this test binary run as a gateway that loses a share of the datagrams it
// sends to other gateways, from 0 to 1. TCP connections work.
const lossVariable = "PLUMPITCH_SOAK_LOSS"

// lossyPacketConn loses a share of the datagrams that it is told to send.
type lossyPacketConn struct {
	net.PacketConn
	share float64
}

// WriteTo reports success for a lost datagram, as the network does.
func (c lossyPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if rand.Float64() < c.share {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

// runLossyGateway runs a gateway until SIGTERM, as the program does.
func runLossyGateway(loss string) error {
	share, err := strconv.ParseFloat(loss, 64)
	if err != nil {
		return err
	}
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	handler := logs.New(os.Stdout)
	defer handler.Close()
	g, err := gatewaypkg.New(gatewaypkg.Config{
		Settings: settings, Boot: uint64(time.Now().UnixNano()), MetricsPort: metricsPort,
		Log: (&log.Logger{Handler: handler, Level: log.InfoLevel}).WithField("entry", settings.Name),
		ListenPacket: func(network, address string) (net.PacketConn, error) {
			c, err := net.ListenPacket(network, address)
			return lossyPacketConn{c, share}, err
		},
	})
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			g.Reload(platform.ReadSettings(path))
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return g.Serve(ctx)
}

// unreachablePeer is an address that no gateway listens on.
const unreachablePeer = "127.0.0.1:9"

// separateGroups returns a handler for the store that gives each gateway an unreachable
// address for the gateways of other groups. Each gateway knows then that the others exist,
// but no datagram and no connection reaches them.
func (s *site) separateGroups(next http.Handler) http.Handler {
	if s.groups <= 1 {
		return next
	}
	group := func(name string) int {
		n, _ := strconv.Atoi(strings.TrimPrefix(name, "gateway-"))
		return n % s.groups
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/objects/entries" {
			next.ServeHTTP(w, r)
			return
		}
		recorded := httptest.NewRecorder()
		next.ServeHTTP(recorded, r)
		var list struct {
			Items   []map[string]any `json:"items"`
			HasMore bool             `json:"hasMore"`
			AtRev   uint64           `json:"atRev"`
		}
		body := recorded.Body.Bytes()
		if recorded.Code == http.StatusOK && json.Unmarshal(body, &list) == nil {
			for _, it := range list.Items {
				name, _ := it["metadata"].(map[string]any)["name"].(string)
				if spec, ok := it["spec"].(map[string]any); ok && group(name) != group(r.Header.Get("User-Agent")) {
					spec["peer"] = unreachablePeer
				}
			}
			body, _ = json.Marshal(list)
		}
		for name, values := range recorded.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorded.Code)
		_, _ = bytes.NewReader(body).WriteTo(w)
	})
}
