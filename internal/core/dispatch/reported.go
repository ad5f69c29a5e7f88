package dispatch

import (
	"math"
	"time"

	"sassafrasreach/internal/core/registry"
)

const (
	// reportFade is the time in which the weight of a reported load falls to 1/e. Phases
	// of about 600 ms were seen in which a machine is slow.
	reportFade = 500 * time.Millisecond
	// reportTerm is the age from which a report is not used at all.
	reportTerm = 3 * time.Second
	// leastSpeed and mostSpeed bound the speed of work that a report can state, relative
	// to the usual one.
	leastSpeed, mostSpeed = 0.125, 4.0
	// maxSlowdown bounds the effect of a report in both directions.
	maxSlowdown = 4.0
	// speedMemory is the time over which an endpoint's mean speed is taken. speedPrior is
	// the time for which it is assumed to have worked at the mean speed of its service
	// before its first report, and speedPriorReports the number of reports over which
	// that is taken.
	speedMemory       = 30 * time.Second
	speedPrior        = 5 * time.Second
	speedPriorReports = 200
	// coldPaceExponent and minWarmPaceExponent are exponents of the reported slowness in the
	// comparison of endpoints, for a run with the object cold and warm. A slow run costs
	// more than its time, as it is more likely to miss its target. Where endpoints have room
	// for more objects, the exponent for a warm run is up to 1 higher: then it is worth while
	// to place the object at another endpoint, too. Without room that evicts other objects,
	// and 2 lowered the share in target by 0.03 in trials.
	coldPaceExponent    = 2.0
	minWarmPaceExponent = 1.0
	// calibrationSmoothing is the weight of the newest run in the means that keep
	// corrected run times as long in the mean as actual ones.
	calibrationSmoothing = 0.02
	// misfitSmoothing is the weight of the newest run in a misfit. With 0.03, the spread
	// of run times let one in ten false reports pass.
	misfitSmoothing = 0.01
	// maxMisfitShare is the misfit, as a share of the mean square of the corrections, up
	// to which reports are used: -1 is expected of true reports, 1 of reports that have
	// nothing to do with the run times. minMisfit is a misfit that doesn't matter.
	maxMisfitShare = 0
	// trustPeriod is the least time between two TrustChanges of an endpoint.
	trustPeriod = 30 * time.Second
	minMisfit   = 0.001
	// maxLogRatio bounds the logarithm of the ratio of a run time to the expected one.
	maxLogRatio = 2.0
	// inFlightPeriod is half the time over which the most requests in flight are taken.
	// Releases by several gateways arrive in another order than the answers.
	inFlightPeriod = 250 * time.Millisecond
)

// reportedLoad is the load that an endpoint reported last, with what follows from all
// its reports. Each report describes the past: its weight falls with its age.
type reportedLoad struct {
	// at is the time of the answer with the newest report; zero if there is none.
	at time.Time
	// waiting counts the requests that wait at the endpoint, and unknown those that it
	// held beyond the pool's own. Both are at most its slots.
	waiting, unknown float64
	// pace is the pace in the newest report; 0 if it stated none.
	pace float64
	// speed is the speed of work at that time, relative to the usual one. work is its
	// integral over the time until then, in seconds.
	speed, work float64
	// speedSum and speedTime are the sum of work and time, in seconds, from which the
	// mean speed is taken.
	speedSum, speedTime float64
	// speedMisfit and countMisfit show whether the run times confirm the reported speeds
	// and requests.
	speedMisfit, countMisfit misfit
	// mistrusted is the last TrustChange, at changedAt.
	mistrusted bool
	changedAt  time.Time
	// runTime and runWork are moving averages of the run times and of the work done in
	// them, in seconds.
	runTime, runWork float64
	inFlight         peak
}

func newReportedLoad() reportedLoad {
	return reportedLoad{speed: 1, speedSum: speedPrior.Seconds(), speedTime: speedPrior.Seconds()}
}

// speedOf returns the speed of work that a report states.
func speedOf(l registry.Load) float64 { return min(max(1/l.Pace, leastSpeed), mostSpeed) }

// meanSpeeds is the mean speed in the latest reports of a service's endpoints.
type meanSpeeds struct {
	reports, mean float64
}

func (m *meanSpeeds) add(speed float64) {
	m.reports = min(m.reports+1, speedPriorReports)
	m.mean += (speed - m.mean) / m.reports
}

// weight returns the weight of the newest report, from 0 to 1.
func (r *reportedLoad) weight(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.at.IsZero() || age > reportTerm {
		return 0
	}
	return math.Exp(-max(0, age.Seconds()) / reportFade.Seconds())
}

func (r *reportedLoad) meanSpeed() float64 { return r.speedSum / r.speedTime }

// record records a report of an endpoint with a number of slots, in an answer at a time.
func (r *reportedLoad) record(at time.Time, l registry.Load, slots int, speeds *meanSpeeds) {
	if l.Pace > 0 {
		speeds.add(speedOf(l))
	}
	if at.Before(r.at) {
		return
	}
	if r.at.IsZero() && l.Pace > 0 {
		r.speedSum = speeds.mean * r.speedTime
	}
	speed := r.meanSpeed()
	if l.Pace > 0 {
		speed = speedOf(l)
	}
	if !r.at.IsZero() {
		r.advance(at.Sub(r.at).Seconds(), speed)
	}
	r.at, r.speed, r.pace = at, speed, l.Pace
	r.waiting = float64(min(l.Waiting, slots))
	r.unknown = float64(min(max(0, l.Running+l.Waiting-r.inFlight.most()), slots))
}

// advance integrates the speed over a time, in seconds, at whose end it has a new value.
// Between its two known values the speed is expected to tend to the mean, with the time
// constant reportFade.
func (r *reportedLoad) advance(gap, speed float64) {
	mean, fade := r.meanSpeed(), reportFade.Seconds()
	work := mean*gap + (r.speed+speed-2*mean)*fade*math.Tanh(gap/(2*fade))
	r.work += work
	kept := math.Exp(-gap / speedMemory.Seconds())
	r.speedSum = kept*r.speedSum + work
	r.speedTime = kept*r.speedTime + gap
}

// workUntil returns the integral of the speed until a time, in seconds.
func (r *reportedLoad) workUntil(t time.Time) float64 {
	after, fade := t.Sub(r.at).Seconds(), reportFade.Seconds()
	if r.at.IsZero() || after < 0 {
		return r.work + r.speed*min(after, 0)
	}
	mean := r.meanSpeed()
	return r.work + mean*after + (r.speed-mean)*fade*(1-math.Exp(-after/fade))
}

// slowdown returns the factor on the expected time of a run that begins now, relative to
// one at the endpoint's mean speed.
func (r *reportedLoad) slowdown(now time.Time) float64 {
	if r.at.IsZero() || !r.speedMisfit.small() {
		return 1
	}
	mean := r.meanSpeed()
	ratio := mean / (mean + r.weight(now)*(r.speed-mean))
	return min(max(ratio, 1/maxSlowdown), maxSlowdown)
}

// paceFactor returns the factor on the cost of a run that begins now, by the reported pace.
func (s *server) paceFactor(now time.Time, svc *service, warm bool) float64 {
	slowdown := s.reported.slowdown(now)
	if slowdown == 1 {
		return 1
	}
	if !warm {
		return math.Pow(slowdown, coldPaceExponent)
	}
	room := max(0, 1-svc.meanKept/math.Max(1, float64(svc.kept.limit)))
	return math.Pow(slowdown, minWarmPaceExponent+room)
}

// copyCost returns the cost by which endpoints that keep the object warm are compared with
// each other. A run at any of them evicts no object, so the pace counts more.
func (s *server) copyCost(now time.Time, svc *service, k *kind, gateway string) float64 {
	return s.cost(now, svc, k, true)*s.reported.slowdown(now) + s.connectionCost(now, gateway)
}

// runReport is what reports tell about the speed during a run: the work until its slot
// was granted and until its answer, each at a time.
type runReport struct {
	granted, answered         time.Time
	workGranted, workAnswered float64
	// wait is how long the run was expected to wait at the endpoint, in seconds, because
	// of the requests that the endpoint reported.
	wait float64
}

// misfit shows whether run times fit the expected ones better or worse when they are
// corrected by what an endpoint reported.
type misfit struct {
	// worse is the moving average of the increase of the squared logarithm of the ratio
	// of run time to expected time, and size that of the squared corrections.
	worse, size float64
}

// observe records a run. off is the logarithm of the ratio of its time to the expected
// one, and correction the logarithm of the factor by which the report corrects the time.
func (m *misfit) observe(off, correction float64) {
	m.worse += misfitSmoothing * (correction*(correction+2*off) - m.worse)
	m.size += misfitSmoothing * (correction*correction - m.size)
}

// small reports whether reports are used.
func (m misfit) small() bool { return m.worse <= minMisfit+maxMisfitShare*m.size }

// meanRunTime returns the run time, in seconds, that a run would have had at the
// endpoint's mean speed. expected is the run time that was expected of the endpoint at
// that speed; the comparison shows whether the reported speeds are true.
func (r *reportedLoad) meanRunTime(g runReport, run, expected float64) float64 {
	took := g.answered.Sub(g.granted).Seconds()
	if took <= 0 || run <= 0 {
		return run
	}
	speed := min(max((g.workAnswered-g.workGranted)/took, leastSpeed), mostSpeed)
	r.runTime += calibrationSmoothing * (run - r.runTime)
	r.runWork += calibrationSmoothing * (run*speed - r.runWork)
	ratio := speed * r.runTime / r.runWork
	if expected > 0 {
		off := boundedLog(run / expected)
		r.speedMisfit.observe(off, math.Log(ratio))
		r.countMisfit.observe(off, math.Log(expected/(expected+g.wait)))
	}
	if !r.speedMisfit.small() {
		return run
	}
	return run * ratio
}

func boundedLog(ratio float64) float64 {
	return min(max(math.Log(ratio), -maxLogRatio), maxLogRatio)
}

// peak is the most requests in flight within the last one to two inFlightPeriods.
type peak struct {
	since             time.Time
	current, previous int
}

func (p *peak) count(now time.Time, n int) {
	if elapsed := now.Sub(p.since); elapsed > inFlightPeriod {
		p.previous = p.current
		if elapsed > 2*inFlightPeriod {
			p.previous = n
		}
		p.since, p.current = now, n
	}
	p.current = max(p.current, n)
}

func (p *peak) most() int { return max(p.current, p.previous) }

// ObserveLoad records the load that an endpoint reported in its answer, at the time at,
// to the request of a grant. It is called before Release.
func (p *Pool) ObserveLoad(now time.Time, id string, l registry.Load, at time.Time) {
	g, ok := p.grants[id]
	if !ok || !l.Known {
		return
	}
	if at.IsZero() || at.After(now) {
		at = now
	}
	s := g.server
	s.reported.inFlight.count(now, s.inFlight)
	s.reported.record(at, l, s.endpoint.Slots, &g.service.speeds)
	g.report.answered, g.report.workAnswered = at, s.reported.workUntil(at)
	p.grants[id] = g
}

// unknownWork returns the number of requests that the endpoint is expected to hold
// beyond the pool's own.
func (s *server) unknownWork(now time.Time) float64 {
	if !s.reported.countMisfit.small() {
		return 0
	}
	return s.reported.weight(now) * s.reported.unknown
}

// busyWithOthers reports whether the endpoint is expected to have no free slot although
// the pool's own requests leave some.
func (s *server) busyWithOthers(now time.Time) bool {
	return float64(s.inFlight)+s.unknownWork(now) >= float64(s.slots(now))
}

// ahead returns the number of requests that have to end before the endpoint can run one
// more. Below 1 it is the expectation that a slot is in use.
func (s *server) ahead(now time.Time) float64 {
	if !s.reported.countMisfit.small() {
		return float64(max(0, s.inFlight+1-s.slots(now)))
	}
	return s.reportedAhead(now)
}

// reportedAhead is ahead if the reports are true.
func (s *server) reportedAhead(now time.Time) float64 {
	weight := s.reported.weight(now)
	ahead := float64(s.inFlight+1-s.slots(now)) + weight*s.reported.unknown
	return max(0, ahead, weight*s.reported.waiting)
}

// beginReport records what reports tell when a slot is granted, before its request
// counts as in flight.
func (s *server) beginReport(now time.Time, svc *service) runReport {
	s.reported.inFlight.count(now, s.inFlight+1)
	slotTime := s.slowness * svc.slotTime / math.Max(1, float64(s.endpoint.Slots))
	return runReport{granted: now, workGranted: s.reported.workUntil(now), wait: s.reportedAhead(now) * slotTime}
}

// TrustChange says that an endpoint's reports are no longer used, because its run times
// contradict them, or are used again.
type TrustChange struct {
	Endpoint   string
	Mistrusted bool
}

// noteTrust records a change of the trust in an endpoint's reports.
func (p *Pool) noteTrust(now time.Time, s *server) {
	r := &s.reported
	mistrusted := !r.speedMisfit.small() || !r.countMisfit.small()
	if mistrusted == r.mistrusted || now.Sub(r.changedAt) < trustPeriod {
		return
	}
	r.mistrusted, r.changedAt = mistrusted, now
	p.trustChanges = append(p.trustChanges, TrustChange{s.endpoint.ID, mistrusted})
}

// TakeTrustChanges returns the changes since the last call.
func (p *Pool) TakeTrustChanges() []TrustChange {
	out := p.trustChanges
	p.trustChanges = nil
	return out
}

// Reports summarizes the loads that the endpoints of a service report.
type Reports struct {
	// Recent counts the endpoints with a report that is used, and Slow those of them
	// whose pace is at least half above the usual.
	Recent, Slow int
	// Mistrusted counts the endpoints whose reports don't fit their run times.
	Mistrusted int
	// Waiting counts the requests that wait at the endpoints, Unknown those that the
	// pool didn't grant.
	Waiting, Unknown int
}

// slowPace is the pace from which Reports.Slow counts an endpoint.
const slowPace = 1.5

func (r *Reports) add(now time.Time, s *server) {
	if !s.reported.speedMisfit.small() || !s.reported.countMisfit.small() {
		r.Mistrusted++
	}
	if s.reported.weight(now) == 0 {
		return
	}
	r.Recent++
	if s.reported.pace >= slowPace {
		r.Slow++
	}
	r.Waiting += int(s.reported.waiting)
	r.Unknown += int(s.reported.unknown)
}
