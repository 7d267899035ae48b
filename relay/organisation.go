package relay

import (
	"context"
	"net/http"
	"time"

	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// creditWaitPercent is the percentage of a route's latency target until which a request
	// waits for its organisation's quota instead of being refused. maxCreditWait bounds it.
	creditWaitPercent = 50
	maxCreditWait     = time.Second
	// creditRetryInterval is the time between two questions for credit while no coordinator
	// answers.
	creditRetryInterval = 60 * time.Millisecond
	// creditMargin is the time before the caller leaves in which a request gives up to ask
	// for credit, so that its answer may still arrive in time.
	creditMargin = 1200 * time.Millisecond
	// minCreditPatience is how long after its arrival a request asks at least.
	minCreditPatience = 300 * time.Millisecond
)

// Credits decides whether the quotas of organisations allow their requests.
type Credits interface {
	Credit(ctx context.Context, need coord.CreditNeed) coord.CreditResult
	// ReturnCredit gives back what was granted for a request that no upstream ran.
	ReturnCredit(grant quota.Grant)
}

// authenticate finds the organisation that the request's key names, or ends the request. It
// reports whether the request goes on.
//
// The view was read after the request arrived. So a key that was taken away longer than
// KeyMaxAge before the request was sent is either missing in the view's catalog, or that
// catalog was confirmed too long before the arrival.
func (x *exchange) authenticate(view *coord.View) bool {
	catalog := view.Catalog()
	x.checkedVersion, x.organisation = catalog.Version(), nil
	if !catalog.HasOrganisations() {
		return true
	}
	x.hideKeys = true
	if x.route.Anonymous {
		return true
	}
	s := x.server
	age := x.arrivedAt.Sub(view.CatalogConfirmed())
	if s.KeyMaxAge > 0 && age > s.KeyMaxAge {
		x.logKeyRefusal("keys_outdated", age, catalog.Version())
		x.giveUp("keys_outdated")
		return false
	}
	if len(x.info.Keys) != 1 {
		reason := "no_key"
		if len(x.info.Keys) > 1 {
			reason = "several_keys"
		}
		x.logKeyRefusal(reason, age, catalog.Version())
		x.fail(http.StatusUnauthorized, reason)
		return false
	}
	organisation, ok := catalog.Organisation(x.info.Keys[0])
	switch {
	case ok:
		x.organisation = organisation
		return true
	case age <= s.ConfigurationInForce:
		x.logKeyRefusal("unknown_key", age, catalog.Version())
		x.fail(http.StatusUnauthorized, "unknown_key")
	default:
		x.logKeyRefusal("unconfirmed_key", age, catalog.Version())
		x.giveUp("unconfirmed_key")
	}
	return false
}

// logKeyRefusal logs why a request was refused for its key, without the key.
func (x *exchange) logKeyRefusal(reason string, age time.Duration, version uint64) {
	x.log.Info("key_refused", "request", x.info.ID, "reason", reason, "catalog_age_ms", age.Milliseconds(), "version", version)
}

// isStillAuthorised reports whether the request's key still names an organisation, and ends
// the request otherwise. The catalog may have changed while the request waited.
func (x *exchange) isStillAuthorised() bool {
	view := x.server.Views.View()
	if view.Catalog() == nil || view.Catalog().Version() == x.checkedVersion {
		return true
	}
	if x.authenticate(view) {
		return true
	}
	x.markEnded()
	return false
}

// organisationName returns for whom the request runs, empty if for nobody in particular.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name()
}

// urgency returns the request's urgency, 0 first.
func (x *exchange) urgency() int {
	if x.organisation != nil {
		if priority, ok := x.organisation.Priority(); ok {
			return x.route.UrgencyAt(priority)
		}
	}
	return x.route.Urgency()
}

// obtainCredit reports whether the organisation's quota allows the request. Otherwise it has
// waited or, over the limit, has ended. A request counts once, however often it is sent.
func (x *exchange) obtainCredit() bool {
	if x.organisation == nil || x.credit != nil || !x.organisation.Quota().Limited() {
		return true
	}
	s := x.server
	limit := x.organisation.Quota()
	need := coord.CreditNeed{
		Allowance: quota.NewAllowance(x.organisation.Name(), x.checkedVersion, limit.PerSecond, limit.Burst),
		Amount:    limit.Amount(x.info.PromptTokens+x.info.OutputTokens, x.info.HasTokens),
		Patience:  min(x.route.TargetLatency*creditWaitPercent/100, maxCreditWait) - time.Since(x.arrived),
	}
	began := time.Now()
	result := s.Credits.Credit(x.ctx, need)
	defer func() {
		if x.mayContinue() {
			x.waited += time.Since(began)
		}
	}()
	s.Metrics.CountCredit(result.Source.String(), result.Granted)
	switch {
	case result.Granted:
		x.credit = &result.Grant
		sleep.For(x.ctx, result.Wait)
		if x.endIfOver() {
			x.markEnded()
			return false
		}
		return true
	case result.Source != quota.Unanswered:
		x.refuseOverQuota(need, result)
	case x.remaining(time.Now()) > creditMargin || time.Since(x.arrived) < minCreditPatience:
		x.sleep(creditRetryInterval)
	default:
		x.markEnded()
		x.giveUp("quota_unknown")
	}
	return false
}

// refuseOverQuota ends a request that its organisation's quota does not allow.
func (x *exchange) refuseOverQuota(need coord.CreditNeed, result coord.CreditResult) {
	x.log.Info("quota_refused", "request", x.info.ID, "organisation", need.Allowance.Organisation(), "amount", need.Amount,
		"limit", need.Allowance.PerSecond(), "left", result.Left, "expected_ms", result.Wait.Milliseconds(), "decided_by", result.Source, "version", x.checkedVersion)
	x.markEnded()
	x.refuseQuota(result.Wait)
}

// refuseQuota answers that the request is over its organisation's quota and has not run.
func (x *exchange) refuseQuota(wait time.Duration) {
	if x.runs > 0 {
		x.fail(http.StatusBadGateway, "over_quota")
		return
	}
	x.server.Dialect.SetRetryAfter(x.w.Header(), quota.RetryAfter(wait))
	x.writeError(http.StatusTooManyRequests, "refused", "over_quota")
}

// returnCredit gives the credit of a request back that no upstream has run.
func (x *exchange) returnCredit() {
	if x.credit != nil && x.runs == x.from.runs && x.sends == 0 {
		x.server.Credits.ReturnCredit(*x.credit)
	}
}
