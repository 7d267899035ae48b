package coord

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// originCopies is how many other instances are told where a stream began.
	originCopies = 3
	// originAsked is how many are asked for it: more than have copies, since instances join
	// and end in the meantime.
	originAsked = 2 * originCopies
	// originTimeout bounds telling and asking; one call takes a few milliseconds.
	originTimeout = 250 * time.Millisecond
	// originQueue bounds the records that wait to be told.
	originQueue = 1024
	// maxAskedOrigins bounds the streams in one message to another instance.
	maxAskedOrigins = 1024
)

// originTeller tells other instances where streams began, in a goroutine of its own.
type originTeller struct {
	records chan origin.Record
	run     func(ctx context.Context)
}

// newOriginTeller returns the teller of a loop.
func newOriginTeller(l *Loop) *originTeller {
	t := &originTeller{records: make(chan origin.Record, originQueue)}
	t.run = func(ctx context.Context) {
		for {
			var batch []origin.Record
			select {
			case <-ctx.Done():
				return
			case record := <-t.records:
				batch = append(batch, record)
			}
			for len(t.records) > 0 && len(batch) < maxAskedOrigins {
				batch = append(batch, <-t.records)
			}
			l.tellOrigins(ctx, batch)
		}
	}
	return t
}

// tell queues a record. One that finds the queue full is not told: its stream then goes on
// only at instances that know it.
func (t *originTeller) tell(record origin.Record) bool {
	select {
	case t.records <- record:
		return true
	default:
		return false
	}
}

// holders returns the members that are told where a stream began, by rendezvous hashing, the
// first choice first. Unlike rank.Order it does not sort all members.
func holders(stream origin.Stream, members []Member, self cardamom.InstanceID, count int) []Member {
	type choice struct {
		member Member
		weight uint64
	}
	chosen := make([]choice, 0, count+1)
	key := binary.LittleEndian.AppendUint64(nil, uint64(stream))
	for _, m := range members {
		if m.ID == self {
			continue
		}
		digest := xxhash.New()
		_, _ = digest.Write(key)
		_, _ = digest.WriteString(string(m.ID))
		next := choice{m, digest.Sum64()}
		at, _ := slices.BinarySearchFunc(chosen, next, func(a, b choice) int { return cmp.Compare(b.weight, a.weight) })
		if at < count {
			chosen = slices.Insert(chosen, at, next)[:min(len(chosen)+1, count)]
		}
	}
	list := make([]Member, 0, len(chosen))
	for _, c := range chosen {
		list = append(list, c.member)
	}
	return list
}

// tellOrigins tells each record to its holders.
func (l *Loop) tellOrigins(ctx context.Context, batch []origin.Record) {
	members := l.View().Members()
	told := make(map[string][]*syncpb.StreamOrigin)
	now := clock.Now()
	for _, record := range batch {
		wire := encodeOrigin(record, now)
		for _, m := range holders(record.Stream, members, l.options.ID, originCopies) {
			told[m.SyncAddress] = append(told[m.SyncAddress], wire)
		}
	}
	for address, list := range told {
		client := l.peers.dial(address)
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, originTimeout)
			defer cancel()
			if _, err := client.Origins(callCtx, &syncpb.OriginsRequest{Told: list}); err != nil {
				l.logger.Debug("origins_not_told", "address", address, "count", len(list), "reason", err)
			}
		}()
	}
}

// StreamBegan records that the first event of a stream's response is about to be passed on,
// and tells other instances unless all of them can infer its version.
func (l *Loop) StreamBegan(service cardamom.ServiceID, request string, began origin.Origin) {
	now := clock.Now()
	record := l.options.Origins.Begin(origin.NewStream(service, request), began, now)
	if _, ok := l.View().SoleVersion(service, now); !ok {
		l.origins.tell(record)
	}
}

// StreamOrigin returns where a stream began, by what this instance knows or else other
// instances.
func (l *Loop) StreamOrigin(ctx context.Context, service cardamom.ServiceID, request string) (origin.Origin, origin.Knowledge) {
	stream := origin.NewStream(service, request)
	found, knowledge := l.options.Origins.Find(stream, clock.Now())
	if knowledge != origin.Unknown {
		return found, knowledge
	}
	asked := holders(stream, l.View().Members(), l.options.ID, originAsked)
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	replies := make(chan []origin.Record, len(asked))
	for _, m := range asked {
		client := l.peers.dial(m.SyncAddress)
		go func() {
			began := clock.Now()
			reply, err := client.Origins(ctx, &syncpb.OriginsRequest{Asked: []uint64{uint64(stream)}})
			if err != nil {
				l.logger.Debug("origin_not_asked", "instance", m.ID, "reason", err)
			}
			replies <- decodeOrigins(reply.GetKnown(), began)
		}()
	}
	for range asked {
		l.options.Origins.Merge(<-replies, clock.Now())
		if found, knowledge = l.options.Origins.Find(stream, clock.Now()); knowledge != origin.Unknown {
			return found, knowledge
		}
	}
	return found, knowledge
}

// Origins implements syncpb.Sync.
func (s *Server) Origins(_ context.Context, request *syncpb.OriginsRequest) (*syncpb.OriginsReply, error) {
	book := s.loop.options.Origins
	now := clock.Now()
	book.Merge(decodeOrigins(request.GetTold(), now), now)
	asked := request.GetAsked()
	streams := make([]origin.Stream, 0, min(len(asked), maxAskedOrigins))
	for _, stream := range asked[:min(len(asked), maxAskedOrigins)] {
		streams = append(streams, origin.Stream(stream))
	}
	reply := &syncpb.OriginsReply{}
	for _, record := range book.Records(streams, now) {
		reply.Known = append(reply.Known, encodeOrigin(record, now))
	}
	return reply, nil
}

// stepOrigins tells the streams that began here once others can't infer their versions any
// more: a second version has come, or the upstreams have not been listed for long.
func (l *Loop) stepOrigins(now time.Time) {
	view := l.View()
	sole := make(map[cardamom.ServiceID]bool)
	for service := range view.services {
		if _, ok := view.SoleVersion(service, now); ok {
			sole[service] = true
		}
	}
	ended := false
	for service := range l.soleServices {
		ended = ended || !sole[service]
	}
	l.soleServices = sole
	if !ended {
		return
	}
	for _, record := range l.options.Origins.Own(now) {
		if !l.origins.tell(record) {
			return
		}
	}
}

// confirmVersions records that the present upstreams are all that were listed at a time.
func (l *Loop) confirmVersions(at time.Time) {
	for _, upstream := range l.state.upstreams {
		l.state.history.See(upstream.Service, upstream.Version, at)
	}
	l.state.history.Confirm(at)
	l.viewChanged = true
}

func encodeOrigin(record origin.Record, now time.Time) *syncpb.StreamOrigin {
	run := record.Origin.Run()
	return &syncpb.StreamOrigin{
		Stream: uint64(record.Stream), Run: &syncpb.UpstreamRun{Upstream: string(run.ID()), Born: run.StartedMs()}, Version: record.Origin.Version(),
		Disputed: record.Knowledge == origin.Disputed, AgeMs: ageMS(record.At, now),
	}
}

func decodeOrigins(list []*syncpb.StreamOrigin, now time.Time) []origin.Record {
	records := make([]origin.Record, 0, len(list))
	for _, wire := range list {
		run := notice.NewRun(cardamom.UpstreamID(wire.GetRun().GetUpstream()), wire.GetRun().GetBorn())
		record := origin.Record{Stream: origin.Stream(wire.GetStream()), Origin: origin.New(run, wire.GetVersion()), Knowledge: origin.Known, At: before(wire.GetAgeMs(), now)}
		if wire.GetDisputed() {
			record.Knowledge = origin.Disputed
		}
		records = append(records, record)
	}
	return records
}

// encodeHistory returns a history for another instance, nil if there is none.
func encodeHistory(account origin.Account, now time.Time) *syncpb.VersionHistory {
	if account.Confirmed.IsZero() {
		return nil
	}
	wire := &syncpb.VersionHistory{FromStart: account.Since.IsZero(), SinceAgeMs: ageMS(account.Since, now), ConfirmedAgeMs: ageMS(account.Confirmed, now)}
	for _, s := range account.Sightings {
		wire.Sightings = append(wire.Sightings, &syncpb.VersionSighting{Service: string(s.Service), Version: s.Version, AgeMs: ageMS(s.Last, now), FirstAgeMs: ageMS(s.First, now)})
	}
	return wire
}

// mergeHistory merges the history in the reply to a call that began at a time.
func (l *Loop) mergeHistory(wire *syncpb.VersionHistory, began time.Time) {
	if wire == nil {
		return
	}
	account := origin.Account{Confirmed: before(wire.GetConfirmedAgeMs(), began)}
	if !wire.GetFromStart() {
		account.Since = before(wire.GetSinceAgeMs(), began)
	}
	for _, s := range wire.GetSightings() {
		account.Sightings = append(account.Sightings, origin.Sighting{
			Service: cardamom.ServiceID(s.GetService()), Version: s.GetVersion(),
			First: before(max(s.GetFirstAgeMs(), s.GetAgeMs()), began), Last: before(s.GetAgeMs(), began),
		})
	}
	l.state.history.Merge(account)
}

// wireVersions is what the lease row has of the software versions of upstreams. Ages are in
// milliseconds before the row was written.
type wireVersions struct {
	FromStart   bool           `json:"from_start,omitempty"`
	SinceMS     int64          `json:"since_ms,omitempty"`
	ConfirmedMS int64          `json:"confirmed_ms"`
	Seen        []wireSighting `json:"seen"`
}

type wireSighting struct {
	Service string `json:"service"`
	Version string `json:"version"`
	SeenMS  int64  `json:"seen_ms"`
	// FirstMS is the age of the first listing, 0 in rows of older builds.
	FirstMS int64 `json:"first_ms,omitempty"`
}

// encodeStoredVersions returns a history for the lease row, nil if there is none.
func encodeStoredVersions(account origin.Account, now time.Time) *wireVersions {
	if account.Confirmed.IsZero() {
		return nil
	}
	stored := &wireVersions{FromStart: account.Since.IsZero(), SinceMS: ageMS(account.Since, now), ConfirmedMS: ageMS(account.Confirmed, now)}
	for _, s := range account.Sightings {
		stored.Seen = append(stored.Seen, wireSighting{string(s.Service), s.Version, ageMS(s.Last, now), ageMS(s.First, now)})
	}
	return stored
}

// mergeStoredVersions merges the history in a lease row that was written at a time on the
// store's clock, in milliseconds. Without that time, or from a row of another incarnation
// of the store, the ages in it mean nothing.
func (l *Loop) mergeStoredVersions(stored *wireVersions, incarnation uint64, renewedMS int64) {
	now := clock.Now()
	storeMS, clockIncarnation, ok := l.options.Clock(now)
	if stored == nil || !ok || renewedMS <= 0 || incarnation != clockIncarnation || storeMS < renewedMS {
		return
	}
	written := before(storeMS-renewedMS, now)
	account := origin.Account{Confirmed: before(stored.ConfirmedMS, written)}
	if !stored.FromStart {
		account.Since = before(stored.SinceMS, written)
	}
	for _, s := range stored.Seen {
		account.Sightings = append(account.Sightings, origin.Sighting{
			Service: cardamom.ServiceID(s.Service), Version: s.Version, First: before(max(s.FirstMS, s.SeenMS), written), Last: before(s.SeenMS, written),
		})
	}
	l.state.history.Merge(account)
}
