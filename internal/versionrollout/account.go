package versionrollout

import "time"

// account adds up how many requests to the target version have been allowed since the order. The sum
// never falls: an allowance that was granted counts as spent for good, because the placer may have
// used it without a report that says so. Allowances are raised in small steps, so little is lost by
// that when a placer is lost or gets no more requests.
type account struct {
	// spentBefore is what earlier leaders had reserved. All of it counts as spent. exposedBefore is the sum of
	// what placers had sent under their permits, which is more only if the store has lost a reservation.
	spentBefore, exposedBefore uint64
	// reserved is the number that the store has accepted.
	reserved uint64
	placers  map[Source]*placerAccount
	// granted is the sum of what this leader allowed at all placers, and total that of their reports.
	granted uint64
	total   counts
}

// placerAccount is the part of the account for one run of a placer.
type placerAccount struct {
	report     Report
	reportedAt time.Time
	// isPromoted is set once the placer has reported to be promoted, until it has been silent for so long that
	// its permit has ended or a pause interrupts the promotion.
	isPromoted bool
	// openOld is the number of its open requests at other versions.
	openOld uint64
	// previousRequests are those of the report before, which tell the present rate of requests.
	previousRequests   uint64
	previousReportedAt time.Time
	// exposedBefore is what the placer had reported before this leader's first grant to it. The
	// reservations of earlier leaders cover it.
	exposedBefore uint64
	// allowance is the largest one granted by this leader, 0 if it granted none.
	allowance uint64
}

func newAccount(reserved uint64) *account {
	return &account{
		spentBefore: reserved, reserved: reserved, placers: map[Source]*placerAccount{},
		total: counts{routes: map[string]RouteTally{}},
	}
}

// record adds a report and returns by how much the placer's count of requests rose. The first report of a
// placer counts as no rise: its requests may have come at any time before.
func (a *account) record(now time.Time, source Source, report Report) (requests uint64) {
	p := a.placers[source]
	isFirst := p == nil
	if isFirst {
		p = &placerAccount{report: Report{Routes: map[string]RouteTally{}}, reportedAt: now}
		a.placers[source] = p
	}
	before, granted, exposedBefore := p.report.Requests, p.granted(), p.exposedBefore
	a.total.raise(&p.report, report)
	requests = p.report.Requests - before
	if isFirst {
		before, requests = p.report.Requests, 0
	}
	if now.After(p.reportedAt) || isFirst {
		p.previousRequests, p.previousReportedAt = before, p.reportedAt
	}
	p.isPromoted = report.Promoted || p.isPromoted && p.isLive(now)
	p.reportedAt, p.openOld = now, report.OpenOld
	if p.allowance == 0 {
		p.exposedBefore = p.report.Exposed
	}
	a.granted += p.granted() - granted
	a.exposedBefore += p.exposedBefore - exposedBefore
	return requests
}

// recordOther notes a reservation of another leader. All of it counts as spent.
func (a *account) recordOther(total uint64) {
	if total > a.reserved {
		a.spentBefore += total - a.reserved
		a.reserved = total
	}
}

// forgetPromoted makes a new promotion wait until the placers have reported to be promoted again.
func (a *account) forgetPromoted() {
	for _, p := range a.placers {
		p.isPromoted = false
	}
}

// granted returns how many requests this leader has allowed at the placer.
func (p *placerAccount) granted() uint64 {
	return max(p.allowance, p.report.Exposed) - p.exposedBefore
}

// used returns how many of them the placer has reported.
func (p *placerAccount) used() uint64 { return p.report.Exposed - p.exposedBefore }

func (p *placerAccount) isLive(now time.Time) bool {
	return now.Sub(p.reportedAt) < PermitDuration
}

// allowed returns the upper bound on all requests to the target version that any leader allowed.
func (a *account) allowed() uint64 { return a.before() + a.granted }

// before returns the upper bound on what earlier leaders allowed.
func (a *account) before() uint64 { return max(a.spentBefore, a.exposedBefore) }

// spent returns the number of requests sent to the target version as far as it is known: what live
// placers reported, and all that was allowed at others and by earlier leaders.
func (a *account) spent(now time.Time) uint64 {
	total := a.before()
	for _, p := range a.placers {
		if p.isLive(now) {
			total += p.used()
		} else {
			total += p.granted()
		}
	}
	return total
}

// openOld returns the number of open requests at other versions than the target.
func (a *account) openOld(now time.Time) (open uint64) {
	for _, p := range a.placers {
		if p.isLive(now) {
			open += p.openOld
		}
	}
	return open
}

// grant raises the placer's allowance to as much of the wanted one as the limit on the whole account
// leaves, and returns it.
func (a *account) grant(p *placerAccount, wanted, limit uint64) uint64 {
	limit = min(limit, a.reserved)
	total, current := a.allowed(), max(p.allowance, p.report.Exposed)
	if wanted > current && total < limit {
		added := min(wanted-current, limit-total)
		p.allowance = current + added
		a.granted += added
	}
	return p.allowance
}
