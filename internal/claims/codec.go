package claims

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
)

// recordJSON is the stored form of a record.
type recordJSON struct {
	Fingerprint      string        `json:"print"` // hexadecimal, since JSON numbers can't hold all 64-bit integers
	ID               string        `json:"id"`
	ClaimedAt        int64         `json:"at"`    // Unix ms of the claim
	DispatchDeadline int64         `json:"until"` // Unix ms of the dispatch deadline
	Response         *responseJSON `json:"answer,omitempty"`
}

type responseJSON struct {
	Ran      bool        `json:"ran"` // false if the outcome is unknown
	Status   int         `json:"status"`
	Header   [][2]string `json:"header"`
	Body     []byte      `json:"body"`
	Complete bool        `json:"whole"`
}

// maxStoredBody is the maximum size of a response body in a record, in bytes. The store
// accepts values of at most 1 MB, and JSON encodes a body a third larger.
const maxStoredBody = 512 << 10

func encodeRecord(r claim.Record) []byte {
	j := recordJSON{
		Fingerprint: strconv.FormatUint(r.Fingerprint, 16), ID: r.ID, ClaimedAt: r.ClaimedAt.UnixMilli(), DispatchDeadline: r.DispatchDeadline.UnixMilli(),
	}
	if a := r.Response; a != nil {
		j.Response = &responseJSON{Ran: a.Outcome == call.Ran, Status: a.Status, Complete: a.Complete && len(a.Body) <= maxStoredBody}
		for _, f := range a.Header {
			j.Response.Header = append(j.Response.Header, [2]string{f.Name, f.Value})
		}
		if j.Response.Complete {
			j.Response.Body = a.Body
		}
	}
	b, err := json.Marshal(j)
	if err != nil {
		panic(err) // can't fail: strings, numbers and bytes always encode
	}
	return b
}

func decodeRecord(b []byte) (r claim.Record, err error) {
	defer func() { err = errors.WithMessage(err, "claim record") }()
	var j recordJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return r, err
	}
	if r.Fingerprint, err = strconv.ParseUint(j.Fingerprint, 16, 64); err != nil {
		return r, errors.Errorf("print: found %q, expected a hexadecimal number", j.Fingerprint)
	}
	if j.ID == "" {
		return r, errors.New("id: found nothing, expected a value")
	}
	r.ID, r.ClaimedAt, r.DispatchDeadline = j.ID, time.UnixMilli(j.ClaimedAt), time.UnixMilli(j.DispatchDeadline)
	if a := j.Response; a != nil {
		r.Response = &claim.Response{Outcome: call.Unknown, Status: a.Status, Body: a.Body, Complete: a.Complete}
		if a.Ran {
			r.Response.Outcome = call.Ran
		}
		for _, f := range a.Header {
			r.Response.Header = append(r.Response.Header, claim.Field{Name: f[0], Value: f[1]})
		}
	}
	return r, nil
}
