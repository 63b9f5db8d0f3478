//go:build deps

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/agnivade/levenshtein"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/frankban/quicktest"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/google/uuid"
	_ "github.com/integrii/flaggy"
	_ "github.com/olekukonko/tablewriter"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/schollz/progressbar/v3"
	_ "github.com/tailscale/hujson"
	_ "github.com/thejerf/suture/v4"
	_ "github.com/twitchtv/twirp"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
