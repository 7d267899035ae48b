package plan

// Profile says how the models of a service are kept and spread.
type Profile struct {
	// CopyTokens is how many prompt tokens a second one copy reads before
	// another is wanted.
	CopyTokens float64
	// CopyRunning is how many requests in progress one copy carries before
	// another is wanted.
	CopyRunning float64
	// SecondCopyRate is the arrivals a second from which a model has a second
	// copy against the loss of an engine, ScarceCopyRate where each place
	// taken costs a rare model its own.
	SecondCopyRate float64
	ScarceCopyRate float64
	// MostCopies bounds the copies of a model.
	MostCopies int
}

// DefaultProfile is for engines that read about 40,000 tokens a second and keep
// a part of most prompts, and that batch several times CopyRunning.
var DefaultProfile = Profile{CopyTokens: 36000, CopyRunning: 14, SecondCopyRate: 1.5, ScarceCopyRate: 4, MostCopies: 6}
