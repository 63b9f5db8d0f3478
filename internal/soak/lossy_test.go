package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"

	gatewaypkg "plumpitch.example/plumpitch/internal/gateway"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/internal/standin/link"
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

// runGateway runs a gateway until SIGTERM. It reloads its settings at SIGHUP only. loss is the
// share of the datagrams that are lost, empty for none; linksPath is the file with the state of
// its links to other gateways, empty if they always work.
func runGateway(loss, linksPath string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	share, err := 0.0, error(nil)
	if loss != "" {
		if share, err = strconv.ParseFloat(loss, 64); err != nil {
			return err
		}
	}
	l := &links{targets: link.New()}
	if linksPath != "" {
		go l.follow(linksPath)
	}
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	handler := logs.New(os.Stdout)
	defer handler.Close()
	cfg := gatewaypkg.Config{
		Settings: settings, Boot: uint64(time.Now().UnixNano()), MetricsPort: metricsPort,
		Log: (&log.Logger{Handler: handler, Level: log.InfoLevel}).WithField("entry", settings.Name),
		ListenPacket: func(network, address string) (net.PacketConn, error) {
			c, err := net.ListenPacket(network, address)
			return linkedPacketConn{lossyPacketConn{c, share}, l}, err
		},
		Dial: l.dial,
	}
	if linksPath != "" {
		cfg.DialTarget = l.targets.Dial
	}
	g, err := gatewaypkg.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			g.Reload(platform.ReadSettings(path))
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return g.Serve(ctx)
}
