package host

// Behaviour is how an upstream handles one request. A script is a list of
// behaviours that several upstreams consume together: each request, at whichever
// upstream it arrives, removes the first.
type Behaviour string

// Behaviours of an upstream.
const (
	// Answer runs the request and sends a complete answer.
	Answer Behaviour = "answer"
	// CloseEarly runs the request and closes the connection without sending a byte.
	CloseEarly Behaviour = "break"
	// Cut runs the request and closes the connection in the middle of an event.
	Cut Behaviour = "cut"
	// Full refuses the request with 503 and the Not-Run header.
	Full Behaviour = "full"
	// FullLate is Full, and the refusal comes once more where the next response on the
	// connection is expected.
	FullLate Behaviour = "full-late"
	// UnnamedLate is FullLate without the request's id in either refusal.
	UnnamedLate Behaviour = "unnamed-late"
	// UnnamedFull is Full without the request's id.
	UnnamedFull Behaviour = "unnamed-full"
	// AnswerLate is Answer, and the answer comes once more where the next response on the
	// connection is expected.
	AnswerLate Behaviour = "answer-late"
	// AnswerReset runs the request, sends a complete answer and resets the connection at once.
	AnswerReset Behaviour = "answer-reset"
	// UnmarkedRefusal does not run the request and answers 503 without the Not-Run header.
	UnmarkedRefusal Behaviour = "unfounded"
	// InternalError runs the request and answers 500.
	InternalError Behaviour = "err"
	// WrongID runs the request and answers with the ID of another request.
	WrongID Behaviour = "stray"
	// Malformed runs the request and sends bytes that are not an HTTP response.
	Malformed Behaviour = "noise"
	// ExtraResponse runs the request and sends a second response after the answer.
	ExtraResponse Behaviour = "extra"
	// Unframed runs the request, answers without a Content-Length and closes the
	// connection.
	Unframed Behaviour = "unframed"
	// UnframedCut is Unframed, but the connection ends, in order, inside an event.
	UnframedCut Behaviour = "unframed-cut"
	// UnframedShort is Unframed without the last byte, the end of the last event.
	UnframedShort Behaviour = "unframed-short"
	// UnframedEmpty is Unframed, but the connection ends after the header.
	UnframedEmpty Behaviour = "unframed-empty"
	// UnframedReset is Unframed, but the connection is reset in the middle of the body.
	UnframedReset Behaviour = "unframed-reset"
	// UnnumberedCut is UnframedCut with events that have no id.
	UnnumberedCut Behaviour = "unnumbered-cut"
	// LengthCut states the whole length and closes the connection, in order, inside
	// an event.
	LengthCut Behaviour = "length-cut"
	// ChunkCut sends chunks and closes the connection, in order, inside an event.
	ChunkCut Behaviour = "chunk-cut"
	// WholeCut frames as whole a response that ends inside an event.
	WholeCut Behaviour = "whole-cut"
	// HeadCut runs the request and closes the connection, in order, inside a header line, and
	// HeadOpen between the last header line and the blank line after it.
	HeadCut  Behaviour = "head-cut"
	HeadOpen Behaviour = "head-open"
	// ErrorPage runs the request and answers 200 with an error in place of a stream, and
	// NoContent answers 204.
	ErrorPage Behaviour = "error-page"
	NoContent Behaviour = "no-content"
	// UnframedError is Unframed, but the stream breaks off after an event, and the header and
	// the text of an error follow.
	UnframedError Behaviour = "unframed-error"
	// Comment is Unframed with a comment after the last event.
	Comment Behaviour = "comment"
	// EndlessStatus runs the request and sends a status line that never ends.
	EndlessStatus Behaviour = "endless-status"
	// EndlessHeader runs the request and sends header lines without end.
	EndlessHeader Behaviour = "endless-header"
	// EndlessInformational runs the request and sends responses 103 without end.
	EndlessInformational Behaviour = "endless-informational"
	// EndlessChunkLine runs the request and sends the size of a chunk with an extension
	// that never ends.
	EndlessChunkLine Behaviour = "endless-chunk-line"
	// EndlessTrailer runs the request and sends trailers without end.
	EndlessTrailer Behaviour = "endless-trailer"
	// EndlessBody runs the request and sends chunks without end.
	EndlessBody Behaviour = "endless-body"
	// EndlessEvent runs the request and sends an event that never ends.
	EndlessEvent Behaviour = "endless-event"
	// EndlessRefusal is Full with a body that never ends.
	EndlessRefusal Behaviour = "endless-refusal"
	// StalledRefusal is Full with a body that stops before its end.
	StalledRefusal Behaviour = "stalled-refusal"
	// EndlessTail runs the request and sends bytes without end after a whole answer.
	EndlessTail Behaviour = "endless-tail"
	// Slow pauses for slowPause before each further event of a stream.
	Slow Behaviour = "slow"
	// Trickle sends one event of a stream and then a byte every tricklePause, without end.
	Trickle Behaviour = "trickle"
	// Misdirected answers 421: the upstream doesn't have the model, or the request
	// is meant for another upstream.
	Misdirected Behaviour = "misdirected"
	// Hang runs the request and never answers.
	Hang Behaviour = "hang"
	// Crash begins to answer the request, and the upstream's process ends.
	Crash Behaviour = "crash"
)

// refuses reports whether the behaviour is an answer without running the request.
func (b Behaviour) refuses() bool {
	switch b {
	case Full, FullLate, UnnamedFull, UnnamedLate, EndlessRefusal, StalledRefusal, Misdirected, UnmarkedRefusal:
		return true
	default:
		return false
	}
}

// silentBehaviours are those that run a request and write no answer.
var silentBehaviours = map[Behaviour]bool{CloseEarly: true, Hang: true}
