package versionrollout

import (
	"slices"
	"time"
)

const (
	// rateFactor is how much faster than their mean rate since the order requests may come until the deadline,
	// and burstFactor how much faster than their highest recent rate. A burst that has begun is not expected to
	// be doubled by another one: with twice the highest recent rate, rollouts of 5 to 13 s missed the
	// deadline if it fell into a burst of three times the rate.
	rateFactor  = 2
	burstFactor = 1.25
	// minRateWindow and maxRateWindow bound the time over which a rate is measured. Reports come
	// each 250 ms, so a shorter one would measure the arrival of reports.
	minRateWindow = 600 * time.Millisecond
	maxRateWindow = 5 * time.Second
	// firstRateWindow is the time after which a new leader takes the rate that it has seen for known. It knows
	// the mean rate since the order as well, and shortly before the deadline it can't wait longer.
	firstRateWindow = 150 * time.Millisecond
	// recentWindows is the number of windows of which the highest rate counts.
	recentWindows = 4
)

// demand measures the rate of requests at the service.
type demand struct {
	window time.Duration
	// arrived is the number of requests that were reported since the leader began.
	arrived uint64
	samples []demandSample
	rates   []rateSample
	// current is the rate in the last shortest window, which shows a burst at once.
	current float64
}

type demandSample struct {
	at      time.Time
	arrived uint64
}

type rateSample struct {
	at   time.Time
	rate float64
}

func newDemand(duration time.Duration) *demand {
	return &demand{window: min(max(duration/20, minRateWindow), maxRateWindow)}
}

// sample notes the requests reported until now.
func (d *demand) sample(now time.Time) {
	if last := len(d.samples) - 1; last >= 0 && now.Sub(d.samples[last].at) < min(d.window/16, minRateWindow/8) {
		return
	}
	d.samples = append(d.samples, demandSample{at: now, arrived: d.arrived})
	for len(d.samples) > 1 && now.Sub(d.samples[1].at) >= d.window {
		d.samples = d.samples[1:]
	}
	first := d.samples[0]
	if elapsed := now.Sub(first.at); elapsed >= firstRateWindow {
		d.rates = append(d.rates, rateSample{at: now, rate: float64(d.arrived-first.arrived) / elapsed.Seconds()})
	}
	for _, sample := range slices.Backward(d.samples) {
		if elapsed := now.Sub(sample.at); elapsed >= minRateWindow {
			d.current = float64(d.arrived-sample.arrived) / elapsed.Seconds()
			break
		}
	}
	for len(d.rates) > 0 && now.Sub(d.rates[0].at) >= recentWindows*d.window {
		d.rates = d.rates[1:]
	}
}

// highestRecent returns the highest recent rate per second, and false before the first one is known.
func (d *demand) highestRecent() (rate float64, known bool) {
	rate = d.current
	for _, sample := range d.rates {
		rate = max(rate, sample.rate)
	}
	return rate, len(d.rates) > 0
}
