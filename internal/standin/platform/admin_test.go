package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/platform"
)

func TestRequests(t *testing.T) {
	for _, c := range []struct {
		call   string // method, path and body
		status int
		body   string
	}{
		{`PUT /v1/objects/k/n {"version":0,"value":"YQ=="}`, 200, `{"version":2}`},
		{`PUT /v1/objects/k/one {"version":0,"value":"YQ=="}`, 409, `{"version":1}`},
		{`PUT /v1/objects/k/one {"version":1,"value":"Yg=="}`, 200, `{"version":2}`},
		{`PUT /v1/objects/k/one {"version":`, 400, `put: unexpected EOF`},
		{`GET /v1/objects/k/one`, 200, `{"kind":"k","name":"one","version":1,"value":"YQ=="}`},
		{`GET /v1/objects/k/two`, 404, `{"version":0}`},
		{`GET /v1/objects/k`, 200, `{"objects":\[{"kind":"k","name":"one","version":1,"value":"YQ=="}\],"version":1}`},
		{`DELETE /v1/objects/k/one?version=7`, 409, `{"version":1}`},
		{`DELETE /v1/objects/k/one?version=x`, 400, `version: .*`},
		{`DELETE /v1/objects/k/one?version=1`, 200, `{"version":2}`},
		{`GET /v1/watch/k?from=x`, 400, `from: .*`},
		{`PUT /v1/admin/vms/a {"addr":"127.0.0.1:1","slots":2}`, 200, `.*"state":"live".*`},
		{`PUT /v1/admin/vms/a {"state":"gone"}`, 400, `state: found gone, expected live or leaving`},
		{`PUT /v1/admin/faults {"delay":"20ms","lose":2}`, 200, `.*"delay":"20ms","lose":2.*`},
		{`PUT /v1/admin/faults {"lag":"20"}`, 400, `faults: time: missing unit in duration "20"`},
		{`GET /v1/admin/faults`, 200, `{"down":false,"delay":"0s".*`},
		{`GET /v1/admin/counts`, 200, `{"reads":0,"writes":1,"watches":0,"vms":0}`},
		{`PUT /v1/admin/rollback?to=0`, 204, ``},
		{`GET /v1/other`, 404, `404 page not found`},
	} {
		t.Run(c.call, func(t *testing.T) {
			q := qt.New(t)
			p := platform.New(platform.Config{})
			call(p, `PUT /v1/objects/k/one {"version":0,"value":"YQ=="}`)
			status, body := call(p, c.call)
			q.Assert(status, qt.Equals, c.status, qt.Commentf("%s", body))
			q.Assert(strings.TrimSpace(body), qt.Matches, c.body)
		})
	}
}

func call(p *platform.Platform, text string) (status int, body string) {
	method, rest, _ := strings.Cut(text, " ")
	path, sent, _ := strings.Cut(rest, " ")
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(sent)))
	return w.Code, w.Body.String()
}

func TestDownAndFlapping(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name   string
		faults platform.Faults
		after  time.Duration
		status int
	}{
		{"up", platform.Faults{}, 0, http.StatusOK},
		{"down", platform.Faults{Down: true}, 0, http.StatusServiceUnavailable},
		{"flapping, up", platform.Faults{FlapInterval: time.Second}, 900 * time.Millisecond, http.StatusOK},
		{"flapping, down", platform.Faults{FlapInterval: time.Second}, 1100 * time.Millisecond, http.StatusServiceUnavailable},
		{"flapping, up again", platform.Faults{FlapInterval: time.Second}, 2100 * time.Millisecond, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			at := now
			p := platform.New(platform.Config{Now: func() time.Time { return at }})
			p.SetFaults(c.faults)
			at = at.Add(c.after)
			status, _ := call(p, "GET /v1/vms")
			qt.Assert(t, status, qt.Equals, c.status)
		})
	}
}

func TestVMListLag(t *testing.T) {
	q := qt.New(t)
	at := time.Unix(100, 0)
	p := platform.New(platform.Config{Now: func() time.Time { return at }})
	p.SetFaults(platform.Faults{VMListLag: 30 * time.Second})
	p.PutVM(platform.VM{ID: "a", State: platform.Live})
	at = at.Add(20 * time.Second)
	p.PutVM(platform.VM{ID: "a", State: platform.Leaving})
	for _, want := range []string{`{"vms":\[\]}`, `.*"state":"live".*`, `.*"state":"leaving".*`} {
		_, body := call(p, "GET /v1/vms")
		q.Assert(strings.TrimSpace(body), qt.Matches, want)
		at = at.Add(15 * time.Second)
	}
	p.RemoveVM("a")
	at = at.Add(31 * time.Second)
	_, body := call(p, "GET /v1/vms")
	q.Assert(strings.TrimSpace(body), qt.Equals, `{"vms":[]}`)
}

// A lost response must close the connection. With an HTTP status the client would
// know that the write reached the server.
func TestLostResponseClosesConnection(t *testing.T) {
	q := qt.New(t)
	p := platform.New(platform.Config{})
	srv := httptest.NewServer(p)
	defer srv.Close()
	p.SetFaults(platform.Faults{LostResponses: 1})
	put := func() (*http.Response, error) {
		r, err := http.NewRequest(http.MethodPut, srv.URL+"/v1/objects/k/n", strings.NewReader(`{"value":"YQ=="}`))
		q.Assert(err, qt.IsNil)
		return http.DefaultClient.Do(r)
	}
	_, err := put()
	q.Assert(err, qt.ErrorMatches, ".*EOF")
	res, err := put()
	q.Assert(err, qt.IsNil)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	q.Assert(err, qt.IsNil)
	q.Assert(string(body), qt.Equals, "{\"version\":1}\n")
}
