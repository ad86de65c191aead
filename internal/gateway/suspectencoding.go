package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// encodeSuspectNews returns the message that broadcasts the records.
func encodeSuspectNews(now time.Time, records []quarantine.Record) *wire.SuspectNews {
	return &wire.SuspectNews{Records: encodeSuspects(now, records)}
}

// encodeSuspects encodes records for the wire, with ages instead of times because the clocks of
// routers differ.
func encodeSuspects(now time.Time, records []quarantine.Record) []*wire.SuspectRecord {
	messages := make([]*wire.SuspectRecord, 0, len(records))
	for _, record := range records {
		message := &wire.SuspectRecord{Tenant: record.Subject.Tenant, Digest: record.Subject.Digest, Outlived: !record.SurvivedAt.IsZero()}
		if message.Outlived {
			message.OutlivedAgeMillis = wire.AgeToMillis(now.Sub(record.SurvivedAt))
		}
		for _, crash := range record.Crashes {
			message.Ends = append(message.Ends, &wire.RunnerEnd{
				Runner: crash.Runner.ID, Incarnation: crash.Runner.Incarnation,
				AgeMillis: wire.AgeToMillis(now.Sub(crash.DetectedAt)), BeganAgeMillis: wire.AgeToMillis(now.Sub(crash.SentAt)),
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// decodeSuspects returns the records that encodeSuspects encoded.
func decodeSuspects(now time.Time, messages []*wire.SuspectRecord) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(messages))
	for _, message := range messages {
		record := quarantine.Record{Subject: quarantine.Subject{Tenant: message.GetTenant(), Digest: message.GetDigest()}}
		if message.GetOutlived() {
			record.SurvivedAt = now.Add(-wire.AgeFromMillis(message.GetOutlivedAgeMillis()))
		}
		for _, crash := range message.GetEnds() {
			record.Crashes = append(record.Crashes, quarantine.Crash{
				Runner:     quarantine.Runner{ID: crash.GetRunner(), Incarnation: crash.GetIncarnation()},
				DetectedAt: now.Add(-wire.AgeFromMillis(crash.GetAgeMillis())), SentAt: now.Add(-wire.AgeFromMillis(crash.GetBeganAgeMillis())),
			})
		}
		records = append(records, record)
	}
	return records
}
