package gateway

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// resultReport returns the load report in the response of a dispatch. It is also read
// from a response that is not forwarded.
func (g *Gateway) reported(target string, res result) slot.Report {
	switch {
	case res.answer != nil:
		return g.report(target, res.answer.Status, res.answer.Header)
	case res.fail != nil && res.fail.Header != nil:
		return g.report(target, res.fail.Status, res.fail.Header)
	}
	return slot.Report{}
}

// parseReport returns the load report in a target's response.
func (g *Gateway) report(target string, status int, h http.Header) slot.Report {
	report, err := platform.Report(status, h)
	if err != nil {
		g.refused.response(time.Now(), target, err)
	}
	return report
}
