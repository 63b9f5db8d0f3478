package peer

import (
	"context"
	"fmt"
	"time"

	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/pkg/member"
)

// Claims is the replica's side of a claim.
type Claims interface {
	Claim(ctx context.Context, ask ClaimAsk) (ClaimResult, error)
	// Settle tells whether the claim was known.
	Settle(ctx context.Context, s Settlement) (known bool, err error)
	// Take stores copied records and gives the ring revision in force here.
	Take(ctx context.Context, b Batch) (ring uint64, err error)
}

// ClaimAsk asks the incarnation To to accept a claim on a key.
type ClaimAsk struct {
	To      member.ID
	Ring    uint64 // revision under which it is asked
	Service string
	Key     string
	Print   uint64 // fingerprint of the request
	Claim   string
	By      member.ID // entry that would run the request
}

// Verdict is a replica's decision on a claim.
type Verdict uint8

// The verdicts.
const (
	NoVerdict Verdict = iota
	Accepted
	Held
	Settled
	WrongRing
	WrongIncarnation
	Full
	OtherPrint
)

// ClaimResult is a replica's answer to a ClaimAsk.
type ClaimResult struct {
	Verdict Verdict
	Ring    uint64
	Claim   string // claim that holds the key
	By      member.ID
	Answer  *RecordedAnswer // with Settled
}

// Outcome tells what is known of a request.
type Outcome uint8

// The outcomes of a settled claim.
const (
	NoOutcome Outcome = iota
	Ran
	Unknown
)

// Field is one line of an HTTP header.
type Field struct {
	Name  string
	Value string
}

// RecordedAnswer is an answer that was kept for replay.
type RecordedAnswer struct {
	Outcome Outcome
	Status  int
	Header  []Field
	Body    []byte
	Whole   bool // false when the answer was too long to keep
}

// Settlement withdraws a claim or records its outcome.
type Settlement struct {
	To       member.ID
	Service  string
	Key      string
	Claim    string
	Withdraw bool
	Answer   *RecordedAnswer
}

// Record is one key of a replica.
type Record struct {
	Service string
	Key     string
	Print   uint64
	Claim   string
	By      member.ID
	Age     time.Duration   // since the claim
	Answer  *RecordedAnswer // nil while it runs
}

// Batch is a part of a replica's records on the way to another replica.
type Batch struct {
	To      member.ID
	From    member.ID
	Ring    uint64
	Records []Record
	Last    bool // nothing more to copy for this ring
}

func encodeAsk(a ClaimAsk) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Version: Version,
		To:      encodeID(a.To),
		Ring:    a.Ring,
		Service: a.Service,
		Key:     a.Key,
		Print:   a.Print,
		Claim:   a.Claim,
		By:      encodeID(a.By),
	}
}

func decodeAsk(w *wire.ClaimRequest) (a ClaimAsk, err error) {
	a = ClaimAsk{
		To:      decodeID(w.GetTo()),
		Ring:    w.GetRing(),
		Service: w.GetService(),
		Key:     w.GetKey(),
		Print:   w.GetPrint(),
		Claim:   w.GetClaim(),
		By:      decodeID(w.GetBy()),
	}
	return a, require(
		field{"to.name", a.To.Name}, field{"service", a.Service}, field{"key", a.Key},
		field{"claim", a.Claim}, field{"by.name", a.By.Name},
	)
}

func encodeResult(r ClaimResult) *wire.ClaimReply {
	return &wire.ClaimReply{
		Verdict: wire.Verdict(r.Verdict),
		Ring:    r.Ring,
		Claim:   r.Claim,
		By:      encodeID(r.By),
		Answer:  encodeAnswer(r.Answer),
	}
}

func decodeResult(w *wire.ClaimReply) (r ClaimResult, err error) {
	v := w.GetVerdict()
	if _, ok := wire.Verdict_name[int32(v)]; !ok || v == wire.Verdict_VERDICT_NONE {
		return r, &FieldError{Field: "verdict", Found: fmt.Sprint(int32(v)), Expected: "1 to 7"}
	}
	answer, err := decodeAnswer(w.GetAnswer())
	return ClaimResult{
		Verdict: Verdict(v),
		Ring:    w.GetRing(),
		Claim:   w.GetClaim(),
		By:      decodeID(w.GetBy()),
		Answer:  answer,
	}, err
}

func encodeAnswer(a *RecordedAnswer) *wire.Answer {
	if a == nil {
		return nil
	}
	w := &wire.Answer{Outcome: wire.Outcome(a.Outcome), Status: uint32(a.Status), Body: a.Body, Whole: a.Whole}
	for _, f := range a.Header {
		w.Header = append(w.Header, &wire.Field{Name: f.Name, Value: f.Value})
	}
	return w
}

func decodeAnswer(w *wire.Answer) (*RecordedAnswer, error) {
	if w == nil {
		return nil, nil
	}
	o := w.GetOutcome()
	if _, ok := wire.Outcome_name[int32(o)]; !ok || o == wire.Outcome_OUTCOME_NONE {
		return nil, &FieldError{Field: "answer.outcome", Found: fmt.Sprint(int32(o)), Expected: "1 or 2"}
	}
	a := &RecordedAnswer{Outcome: Outcome(o), Status: int(w.GetStatus()), Body: w.GetBody(), Whole: w.GetWhole()}
	for _, f := range w.GetHeader() {
		a.Header = append(a.Header, Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return a, nil
}

func encodeSettlement(s Settlement) *wire.SettleRequest {
	return &wire.SettleRequest{
		Version:  Version,
		To:       encodeID(s.To),
		Service:  s.Service,
		Key:      s.Key,
		Claim:    s.Claim,
		Withdraw: s.Withdraw,
		Answer:   encodeAnswer(s.Answer),
	}
}

func decodeSettlement(w *wire.SettleRequest) (s Settlement, err error) {
	s = Settlement{
		To:       decodeID(w.GetTo()),
		Service:  w.GetService(),
		Key:      w.GetKey(),
		Claim:    w.GetClaim(),
		Withdraw: w.GetWithdraw(),
	}
	if s.Answer, err = decodeAnswer(w.GetAnswer()); err != nil {
		return s, err
	}
	if s.Withdraw == (s.Answer != nil) {
		return s, &FieldError{Field: "answer", Found: fmt.Sprintf("withdraw %t, answer %t", s.Withdraw, s.Answer != nil), Expected: "one of the two"}
	}
	return s, require(
		field{"to.name", s.To.Name}, field{"service", s.Service}, field{"key", s.Key}, field{"claim", s.Claim},
	)
}

type field struct {
	name  string
	value string
}

func require(fields ...field) error {
	for _, f := range fields {
		if f.value == "" {
			return &FieldError{Field: f.name, Found: "nothing", Expected: "a value"}
		}
	}
	return nil
}
