package namings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against older weights that are used beyond the deadline because news of newer ones was
// late, and against older weights that are refused without need after the store was unavailable to
// all routers.
func TestOlderWeightsExpireByObservation(t *testing.T) {
	config := testConfig
	const lifetime, withdrawalLifetime = 7250 * time.Millisecond, 7750 * time.Millisecond
	now := time.Unix(1_000, 0)
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	failures := func(first, last float64) Span { return Span{ago(first), ago(last)} }
	for name, test := range map[string]struct {
		observation Observation
		want        time.Time
	}{
		"no delay":                             {Observation{StartedAt: ago(100), NotNamedAt: ago(0.3)}, ago(0.3).Add(lifetime)},
		"lost watch":                           {Observation{StartedAt: ago(100), NotNamedAt: ago(2.4)}, ago(2.4).Add(lifetime)},
		"lost watch and a failed call":         {Observation{StartedAt: ago(100), NotNamedAt: ago(2.4), StoreFailures: failures(2, 1)}, ago(2.4).Add(lifetime)},
		"long delay without a failure":         {Observation{StartedAt: ago(100), NotNamedAt: ago(5)}, ago(5).Add(lifetime)},
		"store unavailable":                    {Observation{StartedAt: ago(100), NotNamedAt: ago(5), StoreFailures: failures(4.5, 0.2)}, ago(0.2).Add(lifetime)},
		"store unavailable to a single router": {Observation{StartedAt: ago(100), NotNamedAt: ago(5), StoreFailures: failures(4.5, 0.2), SingleRouter: true}, ago(0.2).Add(settleDelay)},
		"process paused":                       {Observation{StartedAt: ago(100), NotNamedAt: ago(5), StoreFailures: failures(0.1, 0.1)}, ago(0.1).Add(settleDelay)},
		"store unavailable to one router according to a report": {Observation{StartedAt: ago(100), NotNamedAt: ago(3), Reported: true, StoreFailures: failures(4.5, 0.2)}, ago(3).Add(lifetime)},
		"just started":                       {Observation{StartedAt: ago(1)}, ago(1).Add(settleDelay)},
		"started with the store unavailable": {Observation{StartedAt: ago(9), StoreFailures: failures(8, 0.5)}, ago(0.5).Add(settleDelay)},
		"learned late after a start":         {Observation{StartedAt: ago(9)}, now},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			test.observation.LearnedAt = now
			deadlines := OlderVersionDeadlines(config, test.observation)
			g.Expect(deadlines.Expiry).To(BeTemporally("==", test.want))
			g.Expect(deadlines.WithdrawAt).To(BeTemporally(">=", deadlines.Expiry))
			g.Expect(deadlines.WithdrawAt).To(BeTemporally("<=", deadlines.Expiry.Add(withdrawalLifetime-lifetime)))
		})
	}
}

// Guards against requests that begin on older weights after the settle period. A router whose
// process was started 30 ms before its code ran let a request begin 3.0002 s after the start, where
// 3 s are allowed.
func TestOlderWeightsExpireBeforeSettlePeriodEnds(t *testing.T) {
	const startupTime, withdrawalTime = 50 * time.Millisecond, 150 * time.Millisecond
	launchedAt := time.Unix(1_000, 0)
	for name, observation := range map[string]Observation{
		"naming time unknown":           {StartedAt: launchedAt.Add(startupTime)},
		"deadline of the naming passed": {StartedAt: launchedAt.Add(startupTime), NotNamedAt: launchedAt.Add(-time.Hour)},
		"failed call at the start":      {StartedAt: launchedAt.Add(startupTime), StoreFailures: Span{launchedAt.Add(startupTime), launchedAt.Add(startupTime)}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			observation.LearnedAt = launchedAt.Add(startupTime)
			deadlines := OlderVersionDeadlines(testConfig, observation)
			g.Expect(deadlines.WithdrawAt.Add(withdrawalTime)).To(BeTemporally("<=", launchedAt.Add(testConfig.SettlePeriod)))
			g.Expect(deadlines.Expiry).To(BeTemporally("<=", deadlines.WithdrawAt))
		})
	}
}
