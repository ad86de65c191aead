package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// signalMessages writes records with ages in place of moments: clocks differ.
func signalMessages(now time.Time, records []backpressure.Record) []*wire.RunnerSignal {
	messages := make([]*wire.RunnerSignal, 0, len(records))
	for _, record := range records {
		message := &wire.RunnerSignal{Runner: record.ID, Incarnation: record.Incarnation, Rate: record.Rate}
		message.Leaving, message.LeavingAgeMillis = ageOf(now, record.LeavingAt)
		message.Named, message.NamedAgeMillis = ageOf(now, record.LimitReportedAt)
		message.Lifted, message.LiftedAgeMillis = ageOf(now, record.LimitLiftedAt)
		messages = append(messages, message)
	}
	return messages
}

// ageOf writes a moment as its age, or false for none.
func ageOf(now, moment time.Time) (known bool, ageMillis uint64) {
	if moment.IsZero() {
		return false, 0
	}
	return true, wire.AgeToMillis(now.Sub(moment))
}

// signalsOf reads what signalMessages wrote.
func signalsOf(now time.Time, messages []*wire.RunnerSignal) []backpressure.Record {
	records := make([]backpressure.Record, 0, len(messages))
	for _, message := range messages {
		record := backpressure.Record{
			Runner:        backpressure.Runner{ID: message.GetRunner(), Incarnation: message.GetIncarnation()},
			LeavingAt:     momentOf(now, message.GetLeaving(), message.GetLeavingAgeMillis()),
			LimitLiftedAt: momentOf(now, message.GetLifted(), message.GetLiftedAgeMillis()),
		}
		if backpressure.ValidRate(message.GetRate()) {
			record.Rate, record.LimitReportedAt = message.GetRate(), momentOf(now, message.GetNamed(), message.GetNamedAgeMillis())
		}
		records = append(records, record)
	}
	return records
}

// momentOf reads what ageOf wrote.
func momentOf(now time.Time, known bool, ageMillis uint64) time.Time {
	if !known {
		return time.Time{}
	}
	return now.Add(-wire.AgeFromMillis(ageMillis))
}
