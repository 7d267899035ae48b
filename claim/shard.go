// Package claim makes a request with an idempotency key run at most once.
//
// A claim is the record of one key: which request it was granted to and how that
// request ended. Claims are spread over shards by the hash of the key. One
// instance, the owner, has the hold (a lease, see package hold) on a shard and
// grants each key once. A second instance, the witness, keeps a copy of the
// shard: the owner stores each grant there before it returns the grant. A resend
// gets the stored result, or a verdict that the request ran or may have run.
//
// # Usage
//
//	shard := claim.NewShard(keep)
//	answer := shard.Ask(claim.GrantRequest{Key: "label-17", Grant: "entry-1/9"}, now)
//	if answer.Verdict == claim.Granted { ... }
//	shard.Settle(claim.Settlement{Key: "label-17", Grant: "entry-1/9", Outcome: cardamom.Served}, now)
package claim

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// MaxResultBytes is the size of the largest result that is kept for a resend.
const MaxResultBytes = 16 << 10

// Verdict is the owner's decision about a request.
type Verdict uint8

// The verdicts.
const (
	// Granted means the request may run now.
	Granted Verdict = iota + 1
	// Running means an earlier send was granted and has not ended.
	Running
	// Ran means an earlier send was served.
	Ran
	// MayHaveRun means an earlier send failed after it may have run.
	MayHaveRun
	// KeyReused means the key was used for another request.
	KeyReused
	// ClaimsLost means that claims were lost, so that an earlier send may have run.
	ClaimsLost
	// Unavailable means the owner can't grant now; nothing was granted.
	Unavailable
)

// Result is the response of a served request, kept for resends.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// GrantRequest is a request for a grant.
type GrantRequest struct {
	// Key is the request's idempotency key.
	Key string
	// Fingerprint is a hash of the request, which shows whether a key is reused
	// for another request.
	Fingerprint uint64
	// Issue is the issue number that the caller sent with the request, 0 if none.
	// The caller has it from an address response, which carries the newest hold
	// version known.
	Issue uint64
	// Grant identifies this attempt. An Ask that is repeated for the same attempt
	// has the same Grant.
	Grant string
}

// Settlement describes how a granted request ended. Result is set if the request
// was served.
type Settlement struct {
	Key     string
	Grant   string
	Outcome cardamom.Outcome
	Result  Result
}

// Answer is the reply to an Ask, with the result if one is kept.
type Answer struct {
	Verdict Verdict
	Result  Result
}

// claim is the state of one key. verdict is the answer to a resend.
type claim struct {
	fingerprint uint64
	grant       string
	verdict     Verdict
	result      Result
	expires     time.Time
}

// Shard is the state of one shard's keys. It is owned by one goroutine.
type Shard struct {
	claims   map[string]*claim
	keepTime time.Duration
	// lossVersion is the version of the shard's hold at which claims were lost, 0
	// if none were.
	lossVersion uint64
	// lostAt is when this shard learned of the loss.
	lostAt  time.Time
	sweptAt time.Time
	// changes are the changed entries that Changes has not returned yet.
	changes []hold.Entry
}

// NewShard returns a shard without claims. Each claim is kept for the keep time
// after its last change.
func NewShard(keepTime time.Duration) *Shard {
	return &Shard{claims: make(map[string]*claim), keepTime: keepTime}
}

// MarkLost records that the claims made before the given version of the hold are
// lost. Until the keep time has passed, an unknown key is granted only if the
// request's issue number is at least the version, which shows that the key is new.
func (s *Shard) MarkLost(version uint64, now time.Time) {
	if version <= s.lossVersion {
		return
	}
	s.lossVersion = version
	s.lostAt = now
}

// Ask decides whether the request may run.
func (s *Shard) Ask(ask GrantRequest, now time.Time) Answer {
	s.sweep(now)
	known, ok := s.claims[ask.Key]
	if !ok {
		if s.mayBeLost(ask, now) {
			return Answer{Verdict: ClaimsLost}
		}
		known = &claim{fingerprint: ask.Fingerprint, grant: ask.Grant, verdict: Running}
		s.put(ask.Key, known, now)
		return Answer{Verdict: Granted}
	}
	if known.fingerprint != ask.Fingerprint {
		return Answer{Verdict: KeyReused}
	}
	if known.verdict == Running && known.grant == ask.Grant {
		return Answer{Verdict: Granted}
	}
	return Answer{Verdict: known.verdict, Result: known.result}
}

func (s *Shard) mayBeLost(ask GrantRequest, now time.Time) bool {
	if s.lossVersion == 0 || now.Sub(s.lostAt) > s.keepTime {
		return false
	}
	return ask.Issue < s.lossVersion
}

// Settle records how a granted request ended. A request that was not run may
// be granted again. Settling another grant than the current one changes nothing.
func (s *Shard) Settle(settle Settlement, now time.Time) {
	known, ok := s.claims[settle.Key]
	if !ok || known.grant != settle.Grant || known.verdict != Running {
		return
	}
	switch settle.Outcome {
	case cardamom.NotRun:
		delete(s.claims, settle.Key)
		s.changes = append(s.changes, hold.Entry{ID: settle.Key, Removed: true})
		return
	case cardamom.Served:
		known.verdict = Ran
		if len(settle.Result.Body) <= MaxResultBytes {
			known.result = settle.Result
		}
	default:
		known.verdict = MayHaveRun
	}
	s.put(settle.Key, known, now)
}

func (s *Shard) put(key string, c *claim, now time.Time) {
	c.expires = now.Add(s.keepTime)
	s.claims[key] = c
	s.changes = append(s.changes, hold.Entry{ID: key, Body: c.encode()})
}

// sweepInterval is the least time between two removals of expired claims.
const sweepInterval = time.Second

func (s *Shard) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for key, c := range s.claims {
		if c.expires.Before(now) {
			delete(s.claims, key)
			s.changes = append(s.changes, hold.Entry{ID: key, Removed: true})
		}
	}
}

// Changes returns the entries that changed since the last call.
func (s *Shard) Changes() []hold.Entry {
	changes := s.changes
	s.changes = nil
	return changes
}

// Entries returns all claims as entries for the witness.
func (s *Shard) Entries() []hold.Entry {
	entries := make([]hold.Entry, 0, len(s.claims))
	for key, c := range s.claims {
		entries = append(entries, hold.Entry{ID: key, Body: c.encode()})
	}
	return entries
}

// Len returns the number of claims.
func (s *Shard) Len() int { return len(s.claims) }

type claimWire struct {
	Fingerprint uint64 `json:"f"`
	Grant       string `json:"g"`
	Verdict     uint8  `json:"v"`
	Status      int    `json:"s,omitempty"`
	ContentType string `json:"t,omitempty"`
	Body        []byte `json:"b,omitempty"`
}

func (c *claim) encode() []byte {
	body, err := json.Marshal(claimWire{
		Fingerprint: c.fingerprint, Grant: c.grant, Verdict: uint8(c.verdict),
		Status: c.result.Status, ContentType: c.result.ContentType, Body: c.result.Body,
	})
	if err != nil {
		return nil
	}
	return body
}

// Adopt adds the claims that a witness stored. Their keep time starts anew.
func (s *Shard) Adopt(entries []hold.Entry, now time.Time) error {
	for _, entry := range entries {
		var wire claimWire
		if err := json.Unmarshal(entry.Body, &wire); err != nil {
			return eris.Wrapf(err, "decode claim %s", entry.ID)
		}
		s.claims[entry.ID] = &claim{
			fingerprint: wire.Fingerprint, grant: wire.Grant, verdict: Verdict(wire.Verdict),
			result:  Result{Status: wire.Status, ContentType: wire.ContentType, Body: wire.Body},
			expires: now.Add(s.keepTime),
		}
	}
	return nil
}
