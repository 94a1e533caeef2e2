package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
)

// TestToken checks that a token is accepted if any configured key signed it, until it expires, and that
// a change of any byte makes it invalid.
func TestToken(t *testing.T) {
	c := qt.New(t)
	customer := &contract.Customer{Name: "acme"}
	retired, key := []byte("0123456789abcdefghijklmnopqrstuv"), []byte("vutsrqponmlkjihgfedcba9876543210")
	now := time.Unix(1_000_000, 0)
	issuing := &session{}
	issuing.setPin(contract.VersionID{Model: "small", Name: "v1"})
	token := issuing.issue(customer.Name, [][]byte{retired}, time.Minute, now)
	read := func(token string, keys [][]byte, at time.Time) error {
		parsed, err := readSession(token, customer, keys, nil, at)
		if err == nil {
			c.Assert(parsed.pins, qt.DeepEquals, issuing.pins)
		}
		return err
	}
	c.Assert(read(token, [][]byte{key, retired}, now.Add(59*time.Second)), qt.IsNil)
	c.Assert(read(token, [][]byte{key, retired}, now.Add(time.Minute)), qt.ErrorMatches, ".*expired")
	c.Assert(read(token, [][]byte{key}, now), qt.ErrorMatches, "session_invalid.*")
	for i := range token {
		for _, with := range []byte{'A', 'B', '.'} {
			if changed := token[:i] + string(with) + token[i+1:]; changed != token {
				c.Assert(read(changed, [][]byte{retired}, now), qt.ErrorMatches, "session_invalid.*", qt.Commentf("byte %d", i))
			}
		}
	}
}
