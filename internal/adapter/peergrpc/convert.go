package peergrpc

import (
	"net/http"
	"slices"
	"time"

	peerv1 "sassafrasreach/api/peer/v1"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/port"
)

func millis(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

func membersToProto(rows []membership.MemberRow) []*peerv1.MemberRow {
	out := make([]*peerv1.MemberRow, len(rows))
	for i, row := range rows {
		out[i] = &peerv1.MemberRow{
			Name:        row.Name,
			Place:       row.Place,
			Incarnation: row.Incarnation,
			Counter:     row.Counter,
			Version:     row.Version,
			Leaving:     row.Leaving,
		}
	}
	return out
}

func membersFromProto(rows []*peerv1.MemberRow) []membership.MemberRow {
	out := make([]membership.MemberRow, len(rows))
	for i, row := range rows {
		out[i] = membership.MemberRow{
			Name:        row.GetName(),
			Place:       row.GetPlace(),
			Incarnation: row.GetIncarnation(),
			Counter:     row.GetCounter(),
			Version:     row.GetVersion(),
			Leaving:     row.GetLeaving(),
		}
	}
	return out
}

func groupsToProto(rows []membership.GroupRow) []*peerv1.GroupRow {
	out := make([]*peerv1.GroupRow, len(rows))
	for i, row := range rows {
		out[i] = &peerv1.GroupRow{
			Service:          row.Service,
			Place:            row.Place,
			Owner:            row.Owner,
			OwnerIncarnation: row.OwnerIncarnation,
			Counter:          row.Counter,
			Endpoints:        uint32(row.Endpoints),
			Slots:            uint32(row.Slots),
			Busy:             uint32(row.Busy),
			Queued:           uint32(row.Queued),
			LatencyMicros:    uint64(row.Latency.Microseconds()),
		}
	}
	return out
}

func groupsFromProto(rows []*peerv1.GroupRow) []membership.GroupRow {
	out := make([]membership.GroupRow, len(rows))
	for i, row := range rows {
		out[i] = membership.GroupRow{
			Service:          row.GetService(),
			Place:            row.GetPlace(),
			Owner:            row.GetOwner(),
			OwnerIncarnation: row.GetOwnerIncarnation(),
			Counter:          row.GetCounter(),
			Endpoints:        int(row.GetEndpoints()),
			Slots:            int(row.GetSlots()),
			Busy:             int(row.GetBusy()),
			Queued:           int(row.GetQueued()),
			Latency:          time.Duration(row.GetLatencyMicros()) * time.Microsecond,
		}
	}
	return out
}

func heartbeatToProto(hb membership.Heartbeat) *peerv1.HeartbeatRequest {
	return &peerv1.HeartbeatRequest{
		From:    hb.From,
		Members: membersToProto(hb.Members),
		Groups:  groupsToProto(hb.Groups),
	}
}

func heartbeatFromProto(r *peerv1.HeartbeatRequest) membership.Heartbeat {
	return membership.Heartbeat{
		From:    r.GetFrom(),
		Members: membersFromProto(r.GetMembers()),
		Groups:  groupsFromProto(r.GetGroups()),
	}
}

func heartbeatToReply(hb membership.Heartbeat) *peerv1.HeartbeatResponse {
	return &peerv1.HeartbeatResponse{
		From:    hb.From,
		Members: membersToProto(hb.Members),
		Groups:  groupsToProto(hb.Groups),
	}
}

func heartbeatFromReply(r *peerv1.HeartbeatResponse) membership.Heartbeat {
	return membership.Heartbeat{
		From:    r.GetFrom(),
		Members: membersFromProto(r.GetMembers()),
		Groups:  groupsFromProto(r.GetGroups()),
	}
}

func headerToProto(header http.Header) []*peerv1.Header {
	out := make([]*peerv1.Header, 0, len(header))
	for name, values := range header {
		field := &peerv1.Header{Name: name, Values: make([][]byte, len(values))}
		for i, v := range values {
			field.Values[i] = []byte(v)
		}
		out = append(out, field)
	}
	return out
}

func headerFromProto(fields []*peerv1.Header) http.Header {
	out := make(http.Header, len(fields))
	for _, field := range fields {
		values := make([]string, len(field.GetValues()))
		for i, v := range field.GetValues() {
			values[i] = string(v)
		}
		out[http.CanonicalHeaderKey(field.GetName())] = values
	}
	return out
}

func forwardToProto(f port.Forward, now time.Time) *peerv1.ForwardRequest {
	req := f.Request
	return &peerv1.ForwardRequest{
		Hop:             peerv1.Hop(f.Hop),
		Id:              req.ID,
		Service:         req.Service,
		Origin:          req.Origin,
		Place:           f.Place,
		Method:          req.Method,
		Target:          []byte(req.Target),
		Header:          headerToProto(req.Header),
		Body:            joinedBody(req),
		OnceOnly:        req.OnceOnly,
		Key:             req.Key,
		RemainingMicros: uint64(max(0, req.Deadline.Sub(now).Microseconds())),
		MaxAnswerBytes:  req.MaxAnswerBytes,
	}
}

// joinedBody returns the body in one piece.
func joinedBody(req *port.Request) []byte {
	if len(req.BodyRest) == 0 {
		return req.Body
	}
	return slices.Concat(req.BodyParts()...)
}

// encodedBytes returns the size of the copies of a body that forwarding it makes.
func encodedBytes(req *port.Request) int64 {
	size := req.BodyBytes()
	if len(req.BodyRest) > 0 {
		return size + bufferBytes(size) // joined, and encoded
	}
	return bufferBytes(size)
}

func forwardFromProto(r *peerv1.ForwardRequest, now time.Time) port.Forward {
	remaining := time.Duration(r.GetRemainingMicros()) * time.Microsecond
	return port.Forward{
		Hop:   port.Hop(r.GetHop()),
		Place: r.GetPlace(),
		Request: &port.Request{
			ID:             r.GetId(),
			Service:        r.GetService(),
			Origin:         r.GetOrigin(),
			Method:         r.GetMethod(),
			Target:         string(r.GetTarget()),
			Header:         headerFromProto(r.GetHeader()),
			Body:           r.GetBody(),
			OnceOnly:       r.GetOnceOnly(),
			Key:            r.GetKey(),
			Deadline:       now.Add(remaining),
			MaxAnswerBytes: r.GetMaxAnswerBytes(),
		},
	}
}

func announcementsToProto(batch []port.Announcement) *peerv1.AnnounceRequest {
	out := make([]*peerv1.Announcement, len(batch))
	for i, a := range batch {
		out[i] = &peerv1.Announcement{
			Id:          a.ID,
			Incarnation: a.Incarnation,
			Service:     a.Service,
			Place:       a.Place,
			Address:     a.Address,
			Slots:       uint32(a.Slots),
			Connections: uint32(a.Connections),
			State:       string(a.State),
			Load:        a.Load,
			Sequence:    a.Sequence,
		}
	}
	return &peerv1.AnnounceRequest{Announcements: out}
}

func announcementsFromProto(r *peerv1.AnnounceRequest) []port.Announcement {
	out := make([]port.Announcement, len(r.GetAnnouncements()))
	for i, a := range r.GetAnnouncements() {
		out[i] = port.Announcement{
			ID:          a.GetId(),
			Incarnation: a.GetIncarnation(),
			Sequence:    a.GetSequence(),
			Service:     a.GetService(),
			Place:       a.GetPlace(),
			Address:     a.GetAddress(),
			Slots:       int(a.GetSlots()),
			Connections: int(a.GetConnections()),
			State:       port.EndpointState(a.GetState()),
			Load:        a.GetLoad(),
		}
	}
	return out
}

func quarantineToProto(rows []port.QuarantineRow) []*peerv1.QuarantineRow {
	out := make([]*peerv1.QuarantineRow, len(rows))
	for i, row := range rows {
		out[i] = &peerv1.QuarantineRow{
			Fingerprint:     row.Fingerprint,
			Service:         row.Service,
			RemainingMillis: uint64(max(0, row.Remaining.Milliseconds())),
			Lifted:          row.Lifted,
			Suspected:       row.Suspected,
			Endpoint:        row.Endpoint,
			Incarnation:     row.Incarnation,
			Version:         row.Version,
		}
	}
	return out
}

func quarantineFromProto(rows []*peerv1.QuarantineRow) []port.QuarantineRow {
	out := make([]port.QuarantineRow, len(rows))
	for i, row := range rows {
		out[i] = port.QuarantineRow{
			Fingerprint: row.GetFingerprint(),
			Service:     row.GetService(),
			Remaining:   millis(row.GetRemainingMillis()),
			Lifted:      row.GetLifted(),
			Suspected:   row.GetSuspected(),
			Endpoint:    row.GetEndpoint(),
			Incarnation: row.GetIncarnation(),
			Version:     row.GetVersion(),
		}
	}
	return out
}

func loanToProto(r port.LoanRequest) *peerv1.BorrowRequest {
	return &peerv1.BorrowRequest{
		Bucket:              r.Bucket,
		Borrower:            r.Borrower,
		BorrowerIncarnation: r.BorrowerIncarnation,
		Units:               r.Units,
		TermMillis:          uint64(r.Term.Milliseconds()),
		DocumentVersion:     r.DocumentVersion,
	}
}

func loanFromProto(r *peerv1.BorrowRequest) port.LoanRequest {
	return port.LoanRequest{
		Bucket:              r.GetBucket(),
		Borrower:            r.GetBorrower(),
		BorrowerIncarnation: r.GetBorrowerIncarnation(),
		Units:               r.GetUnits(),
		Term:                millis(r.GetTermMillis()),
		DocumentVersion:     r.GetDocumentVersion(),
	}
}
