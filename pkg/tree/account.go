package tree

import (
	"encoding/hex"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/account"
	"plumpitch.example/plumpitch/pkg/ratelimit"
)

// Accounts returns the index of the accounts, or nil if requests need no keys. The document
// must have passed Check.
func (d Document) Accounts() (x *account.Index, err error) {
	defer func() { err = errors.WithMessage(err, "accounts") }()
	root, _, err := d.Resolve(Root)
	if err != nil || !root.Accounts {
		return nil, err
	}
	var configs []account.Config
	for _, path := range d.paths() {
		if d.Nodes[path].Kind != AccountKind {
			continue
		}
		p, _, err := d.Resolve(path)
		if err != nil {
			return nil, err
		}
		_, hasPriority := d.Nodes[path].Values["priority"]
		configs = append(configs, account.Config{
			Account: account.Account{
				Name: Name(path), Priority: p.Priority, HasPriority: hasPriority,
				Limit: ratelimit.Limit{Rate: p.Rate, Burst: p.Burst, Version: d.Revision},
			},
			Digests: parseDigests(p.Keys),
		})
	}
	return account.New(configs)
}

// parseDigests decodes digests that Check has accepted.
func parseDigests(texts []string) []account.Digest {
	digests := make([]account.Digest, len(texts))
	for i, text := range texts {
		_, _ = hex.Decode(digests[i][:], []byte(text)) // matches digestPattern, so it can't fail
	}
	return digests
}
