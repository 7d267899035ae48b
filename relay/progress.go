package relay

import "strings"

// progress is how much of an answer a send has got.
type progress uint8

const (
	// unanswered means that nothing came.
	unanswered progress = iota
	// answerBegun means that the header came.
	answerBegun
	// hasEvents means that a whole event of the stream came, or the whole answer.
	hasEvents
)

// String returns the name of the progress in log lines.
func (p progress) String() string {
	switch p {
	case answerBegun:
		return "header"
	case hasEvents:
		return "events"
	default:
		return "none"
	}
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the shared parts of the request's prompt as in log lines.
func (x *exchange) loggedParts() string {
	return strings.Join(x.info.SharedParts[:min(len(x.info.SharedParts), maxLoggedParts)], ",")
}
