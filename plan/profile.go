package plan

// Profile sets how many replicas the models of a service get.
type Profile struct {
	// CopyTokens is how many prompt tokens per second one replica reads before
	// another is wanted.
	CopyTokens float64
	// CopyRunning is how many requests in flight one replica serves before another
	// is wanted.
	CopyRunning float64
	// SecondCopyRate is the arrivals per second from which a model gets a second
	// replica in case an engine is lost.
	SecondCopyRate float64
	// ScarceCopyRate is the same while memory is scarce, where each replica evicts
	// a rare model.
	ScarceCopyRate float64
	// MostCopies is the maximum number of replicas of a model.
	MostCopies int
}

// DefaultProfile suits engines that read about 40,000 tokens per second, have a
// part of most prompts cached, and batch several times the requests given here.
var DefaultProfile = Profile{CopyTokens: 36000, CopyRunning: 14, SecondCopyRate: 1.5, ScarceCopyRate: 4, MostCopies: 6}
