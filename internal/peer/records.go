package peer

import (
	"fmt"
	"time"

	"plumpitch.example/plumpitch/internal/peer/wire"
)

// MaxRecords bounds the records of one batch.
const MaxRecords = 4096

func encodeBatch(b Batch) *wire.RecordsRequest {
	w := &wire.RecordsRequest{
		Version: Version,
		To:      encodeID(b.To),
		From:    encodeID(b.From),
		Ring:    b.Ring,
		Last:    b.Last,
	}
	for _, r := range b.Records {
		w.Records = append(w.Records, &wire.Record{
			Service: r.Service,
			Key:     r.Key,
			Print:   r.Print,
			Claim:   r.Claim,
			By:      encodeID(r.By),
			Age:     uint64(max(r.Age.Milliseconds(), 0)),
			Answer:  encodeAnswer(r.Answer),
		})
	}
	return w
}

func decodeBatch(w *wire.RecordsRequest) (b Batch, err error) {
	if n := len(w.GetRecords()); n > MaxRecords {
		return b, &FieldError{Field: "records", Found: fmt.Sprint(n), Expected: fmt.Sprintf("at most %d", MaxRecords)}
	}
	b = Batch{To: decodeID(w.GetTo()), From: decodeID(w.GetFrom()), Ring: w.GetRing(), Last: w.GetLast()}
	if err = require(field{"to.name", b.To.Name}, field{"from.name", b.From.Name}); err != nil {
		return b, err
	}
	for i, r := range w.GetRecords() {
		d, err := decodeRecord(r)
		if err != nil {
			return b, fmt.Errorf("records[%d].%w", i, err)
		}
		b.Records = append(b.Records, d)
	}
	return b, nil
}

func decodeRecord(w *wire.Record) (r Record, err error) {
	r = Record{
		Service: w.GetService(),
		Key:     w.GetKey(),
		Print:   w.GetPrint(),
		Claim:   w.GetClaim(),
		By:      decodeID(w.GetBy()),
		Age:     time.Duration(w.GetAge()) * time.Millisecond,
	}
	if r.Answer, err = decodeAnswer(w.GetAnswer()); err != nil {
		return r, err
	}
	return r, require(field{"service", r.Service}, field{"key", r.Key}, field{"claim", r.Claim}, field{"by.name", r.By.Name})
}
