package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// suspectNews writes records for other routers.
func suspectNews(now time.Time, records []quarantine.Record) *wire.SuspectNews {
	return &wire.SuspectNews{Records: suspectMessages(now, records)}
}

// suspectMessages writes records with ages in place of moments: clocks differ.
func suspectMessages(now time.Time, records []quarantine.Record) []*wire.SuspectRecord {
	messages := make([]*wire.SuspectRecord, 0, len(records))
	for _, record := range records {
		message := &wire.SuspectRecord{Tenant: record.Content.Tenant, Digest: record.Content.Digest, Outlived: !record.SurvivedAt.IsZero()}
		if message.Outlived {
			message.OutlivedAgeMillis = wire.AgeToMillis(now.Sub(record.SurvivedAt))
		}
		for _, end := range record.Crashes {
			message.Ends = append(message.Ends, &wire.RunnerEnd{
				Runner: end.Runner.ID, Incarnation: end.Runner.Incarnation,
				AgeMillis: wire.AgeToMillis(now.Sub(end.DetectedAt)), BeganAgeMillis: wire.AgeToMillis(now.Sub(end.SentAt)),
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// recordsOf reads what suspectMessages wrote.
func recordsOf(now time.Time, messages []*wire.SuspectRecord) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(messages))
	for _, message := range messages {
		record := quarantine.Record{Content: quarantine.ContentID{Tenant: message.GetTenant(), Digest: message.GetDigest()}}
		if message.GetOutlived() {
			record.SurvivedAt = now.Add(-wire.AgeFromMillis(message.GetOutlivedAgeMillis()))
		}
		for _, end := range message.GetEnds() {
			record.Crashes = append(record.Crashes, quarantine.Crash{
				Runner:     quarantine.Runner{ID: end.GetRunner(), Incarnation: end.GetIncarnation()},
				DetectedAt: now.Add(-wire.AgeFromMillis(end.GetAgeMillis())), SentAt: now.Add(-wire.AgeFromMillis(end.GetBeganAgeMillis())),
			})
		}
		records = append(records, record)
	}
	return records
}
