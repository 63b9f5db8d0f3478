package account

import (
	"cmp"
	"iter"
	"slices"
)

// Index finds accounts by key and by name. It is immutable and safe for concurrent use.
// Accounts, keys and limits of one version of the configuration make up one index.
// A nil Index has no accounts.
type Index struct {
	accounts []Account // by name
	byKey    map[Digest]*Account
	limited  bool // some account has a limit
}

// New returns the index of these accounts. It returns a *FieldError if an account is invalid
// or a key is held twice.
func New(configs []Config) (x *Index, err error) {
	sorted := slices.Clone(configs)
	slices.SortStableFunc(sorted, func(a, b Config) int { return cmp.Compare(a.Name, b.Name) })
	x = &Index{accounts: make([]Account, 0, len(sorted)), byKey: make(map[Digest]*Account, countKeys(sorted))}
	for i, c := range sorted {
		if i > 0 && sorted[i-1].Name == c.Name {
			return nil, &FieldError{c.Name, FieldName, "found two accounts of this name, expected one"}
		}
		if err := c.check(); err != nil {
			return nil, err
		}
		// Capacity is reserved above, so pointers to earlier accounts stay valid.
		x.accounts = append(x.accounts, c.Account)
		x.limited = x.limited || !c.Limit.Unlimited()
		if err := x.addKeys(&x.accounts[i], c); err != nil {
			return nil, err
		}
	}
	return x, nil
}

func countKeys(configs []Config) (n int) {
	for _, c := range configs {
		n += len(c.Keys) + len(c.Digests)
	}
	return n
}

func (x *Index) addKeys(a *Account, c Config) error {
	for _, key := range c.Keys {
		if key == "" {
			return &FieldError{a.Name, FieldKeys, "found an empty key"}
		}
		if err := x.addDigest(a, NewDigest(key)); err != nil {
			return err
		}
	}
	for _, d := range c.Digests {
		if err := x.addDigest(a, d); err != nil {
			return err
		}
	}
	return nil
}

func (x *Index) addDigest(a *Account, d Digest) error {
	switch holder := x.byKey[d]; holder {
	case nil:
		x.byKey[d] = a
	case a:
		return &FieldError{a.Name, FieldKeys, "found a key twice, expected it once"}
	default:
		return &FieldError{a.Name, FieldKeys, "found a key that account " + quote(holder.Name) + " holds too"}
	}
	return nil
}

// Find returns the account that holds a key, or nil. Its time depends on digests only, so it
// leaks nothing from which a caller could guess a key.
func (x *Index) Find(d Digest) *Account {
	if x == nil {
		return nil
	}
	return x.byKey[d]
}

// Lookup returns the account with a name, or nil.
func (x *Index) Lookup(name string) *Account {
	if x == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(x.accounts, name, func(a Account, name string) int { return cmp.Compare(a.Name, name) })
	if !ok {
		return nil
	}
	return &x.accounts[i]
}

// All returns the accounts by name.
func (x *Index) All() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		if x == nil {
			return
		}
		for i := range x.accounts {
			if !yield(&x.accounts[i]) {
				return
			}
		}
	}
}

// Len returns the number of accounts.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return len(x.accounts)
}

// AnyLimited reports whether any account has a limit.
func (x *Index) AnyLimited() bool {
	return x != nil && x.limited
}
