package gateway

import (
	"net/http"
	"time"

	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// reported reads what a target reports of itself at the end of a dispatch, whatever
// becomes of the response.
func (g *Gateway) reported(target string, res result) slot.Report {
	switch {
	case res.answer != nil:
		return g.report(target, res.answer.Status, res.answer.Header)
	case res.fail != nil && res.fail.Header != nil:
		return g.report(target, res.fail.Status, res.fail.Header)
	}
	return slot.Report{}
}

// report reads what a target reports of itself in a response.
func (g *Gateway) report(target string, status int, h http.Header) slot.Report {
	r, err := platform.Report(status, h)
	if err != nil {
		g.refused.response(time.Now(), target, err)
	}
	return r
}
