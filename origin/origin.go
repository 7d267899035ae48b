// Package origin knows at which version of an upstream's software streams began, so that
// they go on at no other: what two versions write doesn't fit together.
//
// The caller of a stream that broke off may come back at any instance, often because the
// first one ended. A Book has the streams that began at its instance and those that other
// instances told it of. A History says whether a service has had only one version for as
// long as a caller may take to come back; then that version began every stream, whoever
// knows it. A stream that neither knows can't go on.
//
// # Usage
//
//	stream := origin.NewStream("muse-models", request.ID)
//	book.Begin(stream, origin.New(run, upstream.Version), now)
//
//	history.Allow("muse-models", route.Timeout) // streams may last longer than Lifetime
//	book.Allow(route.Timeout)
//
//	found, knowledge := book.Find(stream, now)
//	if knowledge == origin.Unknown {
//	    version, ok := history.Snapshot().Sole("muse-models", now)
//	}
//	if found.Allows(run, upstream.Version) { /* the stream may go on there */ }
//
// Times come from package clock.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/notice"
)

// Lifetime is how long after its first event the caller of a stream may come back to take
// it up, unless streams may last longer: the longest time that a request may last.
const Lifetime = time.Minute

// Stream identifies a stream by its service and the request whose response brought its
// first event.
type Stream uint64

// NewStream returns the stream that a request began.
func NewStream(service cardamom.ServiceID, request string) Stream {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(service))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(request)
	return Stream(digest.Sum64())
}

// Origin is where a stream began. The zero value is that of no stream.
type Origin struct {
	run     notice.Run
	version string
}

// New returns the origin of a stream that began at a run of an upstream, whose software
// has the version, empty if it is not known.
func New(run notice.Run, version string) Origin { return Origin{run: run, version: version} }

// Run returns the run of the upstream.
func (o Origin) Run() notice.Run { return o.run }

// Version returns the version of its software, empty if it is not known.
func (o Origin) Version() string { return o.version }

// Allows reports whether the stream may go on at a run of an upstream with the version of
// the software. An unknown version is that of no other run.
func (o Origin) Allows(run notice.Run, version string) bool {
	if o.version != "" {
		return o.version == version
	}
	return o.run == run && o.run != notice.Run{}
}

// sameVersion reports whether a stream with one origin may go on where the other began.
func (o Origin) sameVersion(other Origin) bool { return o.Allows(other.run, other.version) }
