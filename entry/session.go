package entry

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/verdict"
)

// tokenPrefix tells session tokens from bare session ids.
const tokenPrefix = "pbs1."

// tokenEncoding accepts one text for each content only.
var tokenEncoding = base64.RawURLEncoding.Strict()

const maxSessionID = 256 // bytes

// session is what a request brings of its session. Its zero value is a new session.
type session struct {
	bareID string
	pins   []contract.VersionID // at most one per model
}

// token is the signed content of a session token.
type token struct {
	Customer string               `json:"c"`
	Pins     []contract.VersionID `json:"p"`
	Expires  int64                `json:"e"` // Unix seconds
}

// readSession reads the session header: a token of ours, or the caller's own session id.
func readSession(header string, customer *contract.Customer, keys [][]byte, pins ledger.Pins, now time.Time) (*session, error) {
	if header == "" {
		return &session{}, nil
	}
	signed, ok := strings.CutPrefix(header, tokenPrefix)
	if !ok {
		if pins == nil || len(header) > maxSessionID {
			return nil, verdict.Refuse(verdict.SessionInvalid, "the session id is not supported; send the token of an earlier answer")
		}
		return &session{bareID: header}, nil
	}
	content, err := checkToken(signed, keys)
	if err != nil {
		return nil, err
	}
	if content.Customer != customer.Name {
		return nil, verdict.Refuse(verdict.SessionInvalid, "the session belongs to another customer")
	}
	if now.Unix() >= content.Expires {
		return nil, verdict.Refuse(verdict.SessionInvalid, "the session has expired")
	}
	return &session{pins: content.Pins}, nil
}

func checkToken(signed string, keys [][]byte) (*token, error) {
	invalid := verdict.Refuse(verdict.SessionInvalid, "the session token is not valid")
	payload, sum, ok := strings.Cut(signed, ".")
	if !ok {
		return nil, invalid
	}
	mac, err := tokenEncoding.DecodeString(sum)
	if err != nil || !signedByAny(payload, mac, keys) {
		return nil, invalid
	}
	data, err := tokenEncoding.DecodeString(payload)
	if err != nil {
		return nil, invalid
	}
	content := &token{}
	if json.Unmarshal(data, content) != nil {
		return nil, invalid
	}
	return content, nil
}

func signedByAny(payload string, mac []byte, keys [][]byte) bool {
	for _, key := range keys {
		if hmac.Equal(mac, sign(payload, key)) {
			return true
		}
	}
	return false
}

func sign(payload string, key []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write([]byte(tokenPrefix + payload))
	return hash.Sum(nil)
}

// issue returns the token that continues the session, or "" without signing keys.
func (s *session) issue(customer string, keys [][]byte, lifetime time.Duration, now time.Time) string {
	if len(keys) == 0 || s.bareID != "" {
		return ""
	}
	content, err := json.Marshal(token{Customer: customer, Pins: s.pins, Expires: now.Add(lifetime).Unix()})
	if err != nil {
		return ""
	}
	payload := tokenEncoding.EncodeToString(content)
	return tokenPrefix + payload + "." + tokenEncoding.EncodeToString(sign(payload, keys[0]))
}

// pin returns the session's version of a model; the zero value means none yet.
func (s *session) pin(model string) contract.VersionID {
	for _, pin := range s.pins {
		if pin.Model == model {
			return pin
		}
	}
	return contract.VersionID{}
}

// keep pins the version for the rest of the session.
func (s *session) keep(version contract.VersionID) {
	for i := range s.pins {
		if s.pins[i].Model == version.Model {
			s.pins[i] = version
			return
		}
	}
	s.pins = append(s.pins, version)
}

// pinBare fetches the version of a session that the caller names by its own id.
func (s *Server) pinBare(ctx context.Context, customer string, session *session, version contract.VersionID) error {
	if session.bareID == "" || session.pin(version.Model) != (contract.VersionID{}) {
		return nil
	}
	pinned, err := s.Pins.Pin(ctx, customer, version.Model+"/"+session.bareID, version)
	if err != nil {
		return err
	}
	session.keep(pinned)
	return nil
}

// repinBare moves such a session from a withdrawn version to another one.
func (s *Server) repinBare(ctx context.Context, customer string, session *session, from, to contract.VersionID) error {
	pinned, err := s.Pins.Repin(ctx, customer, to.Model+"/"+session.bareID, from, to)
	if err != nil {
		return err
	}
	session.keep(pinned)
	return nil
}

// sessionKeys are the decoded signing keys of one configuration.
type sessionKeys struct {
	of   *contract.Sessions
	keys [][]byte
}

// signingKeys decodes the configured keys once per configuration; validation has checked them.
func (s *Server) signingKeys(sessions *contract.Sessions) [][]byte {
	if cached := s.sessionKeys.Load(); cached != nil && cached.of == sessions {
		return cached.keys
	}
	keys := make([][]byte, 0, len(sessions.SigningKeys))
	for _, text := range sessions.SigningKeys {
		if key, err := base64.StdEncoding.DecodeString(text); err == nil {
			keys = append(keys, key)
		}
	}
	s.sessionKeys.Store(&sessionKeys{of: sessions, keys: keys})
	return keys
}

func sessionLifetime(sessions *contract.Sessions) time.Duration {
	return time.Duration(sessions.LifetimeMinutes) * time.Minute
}
