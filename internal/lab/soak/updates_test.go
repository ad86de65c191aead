package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

const (
	testGateway = "gateway-0"
	testRequest = "request-1"
)

// newCheckedSoak returns a Soak with two engines and a call that was sent to testGateway, and the
// first engine.
func newCheckedSoak(t *testing.T) (*Soak, *runnerstand.Runner) {
	t.Helper()
	store := storestand.New()
	s := &Soak{
		settings: Settings{Out: io.Discard}, store: store, calls: newCallLog(), disturbances: newDisturbances(),
		runners: newFleet(store, newSingleZone()), config: newConfiguration(store),
	}
	t.Cleanup(s.runners.close)
	for _, id := range []string{"e0", "e1"} {
		NewWithT(t).Expect(s.runners.add(id, "engines", 1, runnerstand.Poison{})).To(Succeed())
	}
	s.calls.add(&callRecord{id: testRequest, path: "/stream/1", gatewayName: testGateway, repeatable: true})
	return s, s.runners.all()[0]
}

// sendCallTo sends the call to the runner.
func sendCallTo(t *testing.T, runner *runnerstand.Runner) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+runner.Address+"/stream/1", strings.NewReader("body"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	request.Header.Set(platform.HeaderRequestID, testRequest)
	response, err := http.DefaultClient.Do(request)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
}

// addPast records a disturbance of the subject that ended the given time before the moment.
func (d *disturbances) addPast(moment time.Time, subject string, ago time.Duration) {
	end := moment.Add(-ago)
	d.intervals[subject] = append(d.intervals[subject], interval{from: end.Add(-time.Second), to: end})
}

// updateCase describes what happened before a request: the age of the update, and how long ago the
// subject was last disturbed.
type updateCase struct {
	updateAge           time.Duration
	subject             string
	undisturbedDuration time.Duration
	wantFailure         bool
}

// Guards against a check that misses requests to draining runners, or reports requests of gateways
// that were disturbed.
func TestLateRequestsToDrainingRunnersAreReported(t *testing.T) {
	for name, test := range map[string]updateCase{
		"late":                            {updateAge: maxDrainDelay + 100*time.Millisecond, wantFailure: true},
		"in time":                         {updateAge: maxDrainDelay - 100*time.Millisecond},
		"gateway disturbed":               {updateAge: 2 * maxDrainDelay, subject: testGateway, undisturbedDuration: settleTime - 100*time.Millisecond},
		"gateway disturbed long ago":      {updateAge: 2 * maxDrainDelay, subject: testGateway, undisturbedDuration: settleTime + 100*time.Millisecond, wantFailure: true},
		"its store disturbed":             {updateAge: 2 * maxDrainDelay, subject: gatewayStoreSubject(testGateway), undisturbedDuration: settleTime - 100*time.Millisecond},
		"other gateway disturbed":         {updateAge: 2 * maxDrainDelay, subject: "gateway-1", wantFailure: true},
		"store disturbed":                 {updateAge: 2 * maxDrainDelay, subject: storeSubject, undisturbedDuration: settleTime - 100*time.Millisecond},
		"path to the runner disturbed":    {updateAge: 2 * maxDrainDelay, subject: runnerPathSubject("e0")},
		"path to other runners disturbed": {updateAge: 2 * maxDrainDelay, subject: runnerPathSubject("e1"), wantFailure: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, runner := newCheckedSoak(t)
			s.runners.startDraining(runner)
			sendCallTo(t, runner)
			arrivedAt := runner.ArrivalLog()[0].ReceivedAt
			s.runners.drains[runner.ID][0].from = arrivedAt.Add(-test.updateAge)
			s.disturbances.addPast(arrivedAt, test.subject, test.undisturbedDuration)
			s.checkUpdates()
			expectFailure(t, s, test.wantFailure, "leaving: 1 requests of gateway-0 at e0")
		})
	}
}

// Guards against a check that misses runs on old weights, or reports those of gateways that were
// disturbed.
func TestLateRunsOnOldWeightsAreReported(t *testing.T) {
	for name, test := range map[string]updateCase{
		"late":                       {updateAge: maxOldWeightsTime + 100*time.Millisecond, wantFailure: true},
		"in time":                    {updateAge: maxOldWeightsTime - 100*time.Millisecond},
		"gateway disturbed":          {updateAge: 2 * maxOldWeightsTime, subject: testGateway, undisturbedDuration: settleTime - 100*time.Millisecond},
		"gateway disturbed long ago": {updateAge: 2 * maxOldWeightsTime, subject: testGateway, undisturbedDuration: settleTime + 100*time.Millisecond, wantFailure: true},
		"other gateway disturbed":    {updateAge: 2 * maxOldWeightsTime, subject: "gateway-1", wantFailure: true},
		"its store disturbed":        {updateAge: 2 * maxOldWeightsTime, subject: gatewayStoreSubject(testGateway), undisturbedDuration: maxOldWeightsTime - 100*time.Millisecond},
		"store disturbed":            {updateAge: 2 * maxOldWeightsTime, subject: storeSubject, undisturbedDuration: maxOldWeightsTime - 100*time.Millisecond},
		"store disturbed long ago":   {updateAge: 2 * maxOldWeightsTime, subject: storeSubject, undisturbedDuration: maxOldWeightsTime + 100*time.Millisecond, wantFailure: true},
		"path disturbed long ago":    {updateAge: 2 * maxOldWeightsTime, subject: runnerPathSubject("e0"), undisturbedDuration: settleTime + 100*time.Millisecond, wantFailure: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, runner := newCheckedSoak(t)
			s.config.bumpWeights()
			sendCallTo(t, runner)
			startedAt := runner.Runs()[0].StartedAt
			s.config.weightChangeTimes[0] = startedAt.Add(-test.updateAge)
			s.disturbances.addPast(startedAt, test.subject, test.undisturbedDuration)
			s.checkUpdates()
			expectFailure(t, s, test.wantFailure, "older weights: 1 requests of gateway-0 at e0")
		})
	}
}

// Guards against a check that excuses every gateway without access to the store. Such a gateway
// learns from the seed gateways, and must know updates in time while one of them is undisturbed.
func TestGatewaysWithoutStoreMustUseOtherGateways(t *testing.T) {
	for name, test := range map[string]struct {
		disturbed   []string
		wantFailure bool
	}{
		"its store disturbed":                                            {[]string{gatewayStoreSubject(testGateway)}, true},
		"its store and the other seed disturbed":                         {[]string{gatewayStoreSubject(testGateway), "gateway-1"}, false},
		"its store and the store of the other seed disturbed":            {[]string{gatewayStoreSubject(testGateway), gatewayStoreSubject("gateway-1")}, false},
		"its store and the store of a gateway that is no seed disturbed": {[]string{gatewayStoreSubject(testGateway), gatewayStoreSubject("gateway-2")}, true},
		"gateway itself disturbed":                                       {[]string{testGateway}, false},
		"store disturbed for all gateways":                               {[]string{storeSubject}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, runner := newCheckedSoak(t)
			s.processes = []*process{{name: testGateway}, {name: "gateway-1"}, {name: "gateway-2"}}
			s.runners.startDraining(runner)
			sendCallTo(t, runner)
			arrivedAt := runner.ArrivalLog()[0].ReceivedAt
			s.runners.drains[runner.ID][0].from = arrivedAt.Add(-2 * maxDrainDelay)
			for _, subject := range test.disturbed {
				s.disturbances.addPast(arrivedAt, subject, settleTime-100*time.Millisecond)
			}
			s.checkUpdates()
			expectFailure(t, s, test.wantFailure, "leaving: 1 requests of gateway-0 at e0")
		})
	}
}

// Guards against a check that restarts the deadline of old weights when a further version is
// requested.
func TestWeightDeadlineStartsAtFirstReplacement(t *testing.T) {
	s, runner := newCheckedSoak(t)
	s.config.bumpWeights()
	s.config.bumpWeights()
	s.config.weightChangeTimes[0] = time.Now().Add(-2 * maxOldWeightsTime)
	sendCallTo(t, runner)
	s.checkUpdates()
	expectFailure(t, s, true, "older weights: 1 requests of gateway-0 at e0")
}

// Guards against a second drain fault that ends the drain of the first, and against requests that
// are reported after a runner has stopped draining.
func TestReturnedRunnersAreNotDraining(t *testing.T) {
	s, runner := newCheckedSoak(t)
	stopDraining := s.runners.startDraining(runner)
	s.runners.drains[runner.ID][0].from = time.Now().Add(-2 * maxDrainDelay)
	s.runners.writeEntry(runner)
	s.runners.startDraining(runner)()
	object, _ := s.store.Get(platform.KindRunners, runner.ID)
	NewWithT(t).Expect(string(object.Spec)).To(ContainSubstring(`"draining"`))
	stopDraining()
	sendCallTo(t, runner)
	s.checkUpdates()
	expectFailure(t, s, false, "")
}

func expectFailure(t *testing.T, s *Soak, wantFailure bool, prefix string) {
	t.Helper()
	g := NewWithT(t)
	if !wantFailure {
		g.Expect(s.failures).To(BeEmpty())
		return
	}
	g.Expect(s.failures).To(HaveLen(1))
	g.Expect(s.failures[0]).To(HavePrefix(prefix))
}
