package gateway

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// resultReport returns the load report in the response of a dispatch, if it has the request's
// ID. It is also read from a response that is not forwarded.
func (g *Gateway) resultReport(target string, res result) slot.Report {
	switch {
	case res.response != nil && res.response.Identity != forward.OwnID:
		return slot.Report{}
	case res.response != nil:
		return g.parseReport(target, res.response.Status, res.response.Header)
	case res.failure != nil && res.failure.Header != nil:
		return g.parseReport(target, res.failure.Status, res.failure.Header)
	}
	return slot.Report{}
}

// parseReport returns the load report in a target's response.
func (g *Gateway) parseReport(target string, status int, h http.Header) slot.Report {
	report, err := platform.ParseReport(status, h)
	if err != nil {
		g.parseErrors.Header(time.Now(), target, err)
	}
	return report
}
