package soak

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// Guards against checks of planned stops that pass whatever gateways do. The gateway stops at 1 s.
func TestStopChecks(t *testing.T) {
	const never = time.Duration(0) // the target still works when the request has ended
	tests := []struct {
		name       string
		sent, took time.Duration
		status     int // 0: the connection ended
		ran        bool
		worked     time.Duration // at the target
		found      int
	}{
		{"answered", 2 * second, 100 * ms, 200, true, 50 * ms, 0},
		{"before the stop", 0, 100 * ms, 0, true, never, 0},
		{"cut while it runs", 2 * second, 100 * ms, 0, true, never, 1},
		{"cut after it ran", 2 * second, 100 * ms, 0, true, 50 * ms, 1},
		{"cut and perhaps not read", 2 * second, 100 * ms, 0, false, 0, 0},
		{"read and cut", 2 * second, 300 * ms, 0, false, 0, 1},
		{"refused", 2 * second, 10 * ms, 503, false, 0, 0},
		{"given up while it runs", 2 * second, 500 * ms, 502, true, never, 1},
		{"given up after it ran", 2 * second, 500 * ms, 502, true, 100 * ms, 0},
		{"long work, late in the grace", 2500 * ms, 3600 * ms, 502, true, never, 0},
		{"late request, late in the grace", 4500 * ms, 1600 * ms, 502, true, never, 1},
		{"deadline reached", 1500 * ms, 4 * second, 504, true, never, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecords()
			r.g.plannedStops = []interval{r.during(second, 7*second)}
			a := r.send(tt.sent, "", tt.status)
			a.kind = requestKind{timeout: 4 * second}
			a.deadline, a.connected, a.bodySentAt, a.endedAt = a.kind.timeout, true, a.sentAt, a.sentAt.Add(tt.took)
			if tt.status == 0 {
				a.err = io.ErrUnexpectedEOF
			}
			if tt.ran {
				run := worker.Run{Request: a.id, StartedAt: a.sentAt}
				if tt.worked != never {
					run.EndedAt = a.sentAt.Add(tt.worked)
				}
				r.addRuns(r.k, []worker.Run{run}, true)
			}
			r.checkStop(a, stopGrace)
			qt.Assert(t, r.violations, qt.HasLen, tt.found)
		})
	}
}

// Guards against checks of responses that pass a part of a response, or that to an earlier request
// with the same ID.
func TestResponseChecks(t *testing.T) {
	const none = -1
	tests := []struct {
		name          string
		first, second int // statuses that the client got for an ID; none: it wasn't sent again
		ran, ranAgain int // statuses that the target sent; none: it didn't run
		found         int
	}{
		{"success", 200, none, 200, none, 0},
		{"part of a success", 200, none, 0, none, 1},
		{"status that is none", 600, none, 0, none, 1},
		{"failure", 500, none, 500, none, 0},
		{"refused, then served", 503, 200, none, 200, 0},
		{"refused and ran", 503, none, 200, none, 1},
		{"refused twice, ran again", 503, 503, none, 200, 1},
		{"failure of the earlier one", 500, 500, 500, 200, 1},
		{"success of the earlier one", 200, 200, 200, none, 1},
		{"success of the earlier one, and a failure", 200, 200, 200, 500, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecords()
			a := r.sendSigned(0, tt.first, nil)
			b := a
			if tt.second != none {
				b = r.sendSigned(second, tt.second, a)
			}
			for i, status := range []int{tt.ran, tt.ranAgain} {
				if status != none {
					at := r.start.Add(time.Duration(i)*second + ms)
					r.addRuns(r.k, []worker.Run{{Request: a.id, StartedAt: at, Status: status}}, true)
				}
			}
			r.checkResponse(a)
			if b != a {
				r.checkResponse(b)
			}
			qt.Assert(t, r.violations, qt.HasLen, tt.found, qt.Commentf("%v", r.violations))
		})
	}
}

// sendSigned records a request that must not run twice, with a response of the target, or a refusal.
// It has the ID of an earlier one unless that is nil.
func (r *records) sendSigned(at time.Duration, status int, earlier *attempt) *attempt {
	a := r.send(at, "", status)
	a.path, a.runOnce, a.earlier = "/p", true, earlier
	if earlier != nil {
		a.id = earlier.id
		r.byID[a.id] = a
	}
	a.responseID, a.responseBody = a.id, "ran /p "
	if !impliesNotRun(status) {
		a.signer = r.k.ID
	}
	return a
}

// Guards against a request that is sent again under its ID with another body, which would seem to be the
// gateway's doing.
func TestUploadSentAgain(t *testing.T) {
	a := &attempt{id: "q1", kind: requestKind{uploadBytes: 1 << 20}}
	a.setUpload(a.id, 1<<20)
	b := &attempt{id: "q2", kind: a.kind}
	b.setUpload(a.id, a.uploadBytes)
	qt.Assert(t, b.upload.text, qt.Equals, a.upload.text)
	qt.Assert(t, b.requestBody, qt.Equals, a.requestBody)
}
