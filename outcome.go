package cardamom

// Outcome is the final result of a request. Every response carries exactly one.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeUnknown is the zero value and never sent.
	OutcomeUnknown Outcome = iota
	// Served means the whole answer was delivered.
	Served
	// NotRun means no upstream started the request.
	NotRun
	// MayHaveRun means an upstream ran the request or may have run it.
	MayHaveRun
)

// OutcomeHeader is the response header that carries the outcome.
const OutcomeHeader = "Cardamom-Outcome"

var outcomeNames = [...]string{"unknown", "served", "not-run", "may-have-run"}

// String returns the outcome as it is written in the header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[OutcomeUnknown]
}

// ParseOutcome returns the outcome with the name, OutcomeUnknown if there is none.
func ParseOutcome(name string) Outcome {
	for i, known := range outcomeNames {
		if known == name {
			return Outcome(i)
		}
	}
	return OutcomeUnknown
}
