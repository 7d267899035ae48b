package relay

import "time"

// Metrics records the outcomes of requests and the durations of their stages.
type Metrics interface {
	CountRequest(kind, outcome, reason string)
	// CountResponse counts a finished request by the framing of the upstream's last
	// response. cut means that the response ended inside an event.
	CountResponse(kind, framing string, cut bool)
	// CountRetry counts a retry by service and by whether the budget allowed it.
	CountRetry(service string, allowed bool)
	// CountBorrowing counts the times that other instances were asked for credit of the
	// retry budget, by whether they lent enough.
	CountBorrowing(enough bool)
	// CountResumption counts a stream that goes on: within its response, or after its
	// caller came back.
	CountResumption(by string)
	// CountHop counts a request that was sent through another instance, by whether that
	// answered.
	CountHop(answered bool)
	// CountRejection counts an answer that the request has not run, by whether it names the
	// request and whether its connection had an earlier one.
	CountRejection(named, reused bool)
	// CountForeign counts a response that is not the answer to the request at hand, by kind.
	CountForeign(kind string)
	// CountCredit counts the answers on credit of organisations' quotas, by who answered.
	CountCredit(source string, granted bool)
	// CountPermit counts the answer to a request for a permit.
	CountPermit(answer string)
	// CountReservation counts the answer of a scheduler by kind and by whether this instance is
	// the scheduler; none means that the request is decided on locally.
	CountReservation(answer string, own bool)
	// CountRateLimit counts a change of the rate limit of an upstream.
	CountRateLimit(change string)
	// CountPartVerdict counts a change of the verdict on a part of prompts.
	CountPartVerdict(refused bool)
	// CountNotice counts what an upstream newly says of itself, by kind.
	CountNotice(kind string)
	// CountLate counts a response that missed its route's targets.
	CountLate(kind, cause string)
	ObserveDuration(stage string, duration time.Duration)
}
