package port

import "fmt"

// The changes of an ExchangeRequest are its endpoints, suspicions and limits. They are
// repeated until the receiver has acknowledged them, and hold without each other.

// ChangeCount returns the number of changes in the message.
func (m *ExchangeRequest) ChangeCount() int {
	return len(m.Endpoints) + len(m.Suspicions) + len(m.Limits)
}

// WithoutChanges returns the message without its changes.
func (m *ExchangeRequest) WithoutChanges() ExchangeRequest {
	out := *m
	out.Endpoints, out.Suspicions, out.Limits = nil, nil, nil
	return out
}

// OnlyChanges returns a message with the changes and nothing that the receiver acts on
// besides.
func (m *ExchangeRequest) OnlyChanges() ExchangeRequest {
	return ExchangeRequest{
		From: m.From, EpochNumber: m.EpochNumber, VoteRequests: m.VoteRequests, Report: m.Report, ReportUnchanged: true,
		Endpoints: m.Endpoints, Suspicions: m.Suspicions, Limits: m.Limits,
	}
}

// Halves returns two messages, each with a half of the changes and all else.
func (m *ExchangeRequest) Halves() [2]ExchangeRequest {
	first, second := *m, *m
	first.Endpoints, second.Endpoints = halves(m.Endpoints, 0)
	first.Suspicions, second.Suspicions = halves(m.Suspicions, len(m.Endpoints))
	first.Limits, second.Limits = halves(m.Limits, len(m.Endpoints)+len(m.Suspicions))
	return [2]ExchangeRequest{first, second}
}

// halves divides a list in the middle. before is the number of changes in the lists before
// it: the odd elements of all lists go to the two halves in turn, so that neither half gets
// all of two or more changes.
func halves[T any](all []T, before int) (first, second []T) {
	n := (len(all) + 1 - before%2) / 2
	return all[:n], all[n:]
}

// FirstChange returns the kind of the message's first change and a text that names it.
func (m *ExchangeRequest) FirstChange() (kind, item string) {
	switch {
	case len(m.Endpoints) > 0:
		e := m.Endpoints[0]
		return "Endpoint", fmt.Sprintf("id=%+q service=%+q address=%+q", e.ID, e.Service, e.Address)
	case len(m.Suspicions) > 0:
		return "Suspicion", fmt.Sprintf("fingerprint=%s endpoint=%+q", m.Suspicions[0].Fingerprint, m.Suspicions[0].Endpoint)
	case len(m.Limits) > 0:
		return "Limit", fmt.Sprintf("endpoint=%+q", m.Limits[0].Endpoint)
	default:
		return "", ""
	}
}
