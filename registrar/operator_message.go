package registrar

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// lateInAnswerMax bounds the late instances that an answer lists for each domain.
const lateInAnswerMax = 20

func rowText(rw Row) *registrarpb.RowText {
	return &registrarpb.RowText{
		Workspace:    rw.Text(ColumnWorkspace),
		Route:        rw.Text(ColumnRoute),
		Service:      rw.Text(ColumnService),
		Open:         rw.Text(ColumnOpen),
		Importance:   rw.Text(ColumnImportance),
		Weight:       rw.Text(ColumnWeight),
		Rate:         rw.Text(ColumnRate),
		Burst:        rw.Text(ColumnBurst),
		Retries:      rw.Text(ColumnRetries),
		RetryPercent: rw.Text(ColumnRetryPercent),
		Idempotent:   rw.Text(ColumnIdempotent),
		Deadline:     rw.Text(ColumnDeadline),
		Objective:    rw.Text(ColumnObjective),
		CutOff:       rw.Text(ColumnCutOff),
		Number:       rw.Number,
		Latency:      rw.Text(ColumnLatency),
		Attempts:     rw.Text(ColumnAttempts),
		ColdRate:     rw.Text(ColumnColdRate),
	}
}

func inForceMessage(nf InForce) *registrarpb.InForce {
	ms := &registrarpb.InForce{
		Revision:            nf.Change.Revision,
		Everywhere:          nf.Everywhere,
		EverywhereOrRefused: nf.EverywhereOrRefused,
		Text:                nf.Text(),
	}
	for _, dm := range nf.Domains {
		dms := &registrarpb.DomainInForce{
			Domain:    string(dm.Domain),
			Instances: uint32(dm.Instances),
			Confirmed: uint32(dm.Instances - len(dm.Late)),
		}
		for _, lt := range dm.Late[:min(len(dm.Late), lateInAnswerMax)] {
			late := &registrarpb.LateInstance{Instance: string(lt.Instance), Revision: lt.Revision}
			if !lt.Heard.IsZero() {
				late.Heard = lt.Heard.UTC().Format(time.RFC3339)
			}
			dms.Late = append(dms.Late, late)
		}
		ms.Domains = append(ms.Domains, dms)
	}
	return ms
}
