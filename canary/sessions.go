package canary

import "time"

// maxSessions bounds the sessions remembered.
const maxSessions = 20_000

// sessions remembers which sessions were on the old version, and when last.
type sessions struct {
	old map[string]time.Time
}

func newSessions() sessions { return sessions{old: make(map[string]time.Time)} }

// keepOld notes a request of the session on the old version.
func (s *sessions) keepOld(session string, now time.Time) {
	if session == "" {
		return
	}
	if len(s.old) >= maxSessions {
		clear(s.old)
	}
	s.old[session] = now
}

// onOld says whether the session was on the old version within the pause that ends a session.
func (s *sessions) onOld(session string, now time.Time, pause time.Duration) bool {
	at, ok := s.old[session]
	return ok && now.Sub(at) <= pause
}
