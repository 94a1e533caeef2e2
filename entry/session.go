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

// tokenPrefix distinguishes session tokens from session ids chosen by callers.
const tokenPrefix = "pbs1."

// tokenEncoding is strict: each content has one encoding only, so a token can't be altered and stay
// valid.
var tokenEncoding = base64.RawURLEncoding.Strict()

const maxSessionIDBytes = 256

// session is the session state that a request carries. The zero value is a new session.
type session struct {
	callerID string               // session id chosen by the caller; empty with a token
	pins     []contract.VersionID // at most one per model
}

// token is the signed content of a session token.
type token struct {
	Customer string               `json:"c"`
	Pins     []contract.VersionID `json:"p"`
	Expires  int64                `json:"e"` // Unix seconds
}

// readSession parses the session header, which holds a token issued by an entry instance or a session
// id chosen by the caller. It refuses tokens that are invalid, expired or another customer's.
func readSession(header string, customer *contract.Customer, keys [][]byte, pins ledger.Pins, now time.Time) (*session, error) {
	if header == "" {
		return &session{}, nil
	}
	signed, ok := strings.CutPrefix(header, tokenPrefix)
	if !ok {
		if pins == nil || len(header) > maxSessionIDBytes {
			return nil, verdict.Refuse(verdict.SessionInvalid, "the session id is not supported; send the token of an earlier answer")
		}
		return &session{callerID: header}, nil
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

// checkToken verifies a token's signature and returns its content. It does not check the expiry.
func checkToken(signed string, keys [][]byte) (*token, error) {
	invalid := verdict.Refuse(verdict.SessionInvalid, "the session token is not valid")
	payload, signature, ok := strings.Cut(signed, ".")
	if !ok {
		return nil, invalid
	}
	mac, err := tokenEncoding.DecodeString(signature)
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

// issue returns the token that continues the session. It returns "" without signing keys and for a
// session id chosen by the caller.
func (s *session) issue(customer string, keys [][]byte, lifetime time.Duration, now time.Time) string {
	if len(keys) == 0 || s.callerID != "" {
		return ""
	}
	content, err := json.Marshal(token{Customer: customer, Pins: s.pins, Expires: now.Add(lifetime).Unix()})
	if err != nil {
		return ""
	}
	payload := tokenEncoding.EncodeToString(content)
	return tokenPrefix + payload + "." + tokenEncoding.EncodeToString(sign(payload, keys[0]))
}

// pin returns the version of the model to which the session is pinned; the zero value means none.
func (s *session) pin(model string) contract.VersionID {
	for _, pin := range s.pins {
		if pin.Model == model {
			return pin
		}
	}
	return contract.VersionID{}
}

// setPin pins the session to the version, in place of any earlier version of the same model.
func (s *session) setPin(version contract.VersionID) {
	for i := range s.pins {
		if s.pins[i].Model == version.Model {
			s.pins[i] = version
			return
		}
	}
	s.pins = append(s.pins, version)
}

// pinCallerSession pins a session with a caller-chosen id in the ledger: to version, or to the version
// that the ledger already holds for it.
func (s *Server) pinCallerSession(ctx context.Context, customer string, session *session, version contract.VersionID) error {
	if session.callerID == "" || session.pin(version.Model) != (contract.VersionID{}) {
		return nil
	}
	pinned, err := s.Pins.Pin(ctx, customer, version.Model+"/"+session.callerID, version)
	if err != nil {
		return err
	}
	session.setPin(pinned)
	return nil
}

// repinCallerSession moves a session with a caller-chosen id from a withdrawn version to another. If
// another instance has moved it first, that instance's choice stands.
func (s *Server) repinCallerSession(ctx context.Context, customer string, session *session, from, to contract.VersionID) error {
	pinned, err := s.Pins.Repin(ctx, customer, to.Model+"/"+session.callerID, from, to)
	if err != nil {
		return err
	}
	session.setPin(pinned)
	return nil
}

// sessionKeys caches the decoded signing keys of one configuration.
type sessionKeys struct {
	source *contract.Sessions
	keys   [][]byte
}

// signingKeys returns the decoded signing keys, cached per configuration. Validation has already
// refused keys that don't decode.
func (s *Server) signingKeys(sessions *contract.Sessions) [][]byte {
	if cached := s.sessionKeys.Load(); cached != nil && cached.source == sessions {
		return cached.keys
	}
	keys := make([][]byte, 0, len(sessions.SigningKeys))
	for _, text := range sessions.SigningKeys {
		if key, err := base64.StdEncoding.DecodeString(text); err == nil {
			keys = append(keys, key)
		}
	}
	s.sessionKeys.Store(&sessionKeys{source: sessions, keys: keys})
	return keys
}

func sessionLifetime(sessions *contract.Sessions) time.Duration {
	return time.Duration(sessions.LifetimeMinutes) * time.Minute
}
