package proof_test

import (
	"context"
	"time"

	"cardamomcourse.example/cardamom/engine"
)

// reports asks every runner that answers for its report, past the proxies.
func (s *site) reports() map[string]*engine.Report {
	reports := make(map[string]*engine.Report)
	client := engine.NewHTTP(time.Second)
	for _, runner := range s.deployment.Runners("") {
		report, err := client.Report(context.Background(), s.Caller(runner.ID))
		if err == nil {
			reports[runner.ID] = report
		}
	}
	return reports
}

// loadedNow returns on how many runners a model is loaded or loading.
func (s *site) loadedNow(model string) int {
	count := 0
	for _, report := range s.reports() {
		for _, loaded := range report.Loaded {
			if string(loaded.Model) == model {
				count++
			}
		}
	}
	return count
}

// loader returns a runner that has or loads the model.
func (s *site) loader(model string) string {
	for id, report := range s.reports() {
		for _, loaded := range report.Loaded {
			if string(loaded.Model) == model {
				return id
			}
		}
	}
	return ""
}
