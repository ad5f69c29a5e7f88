package peergrpc

import (
	peerv1 "sassafrasreach/api/peer/v1"
	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/verdict"
)

func handOverToProto(h claims.HandOver) *peerv1.HandOverRequest {
	rows := make([]*peerv1.ClaimRow, len(h.Rows))
	for i, row := range h.Rows {
		rows[i] = claimToProto(row)
	}
	return &peerv1.HandOverRequest{
		From:        h.From.Entry,
		Incarnation: h.From.Incarnation,
		Claims:      rows,
		Complete:    h.Complete,
	}
}

// handOverFromProto converts a hand-over. Rows that can't be decoded are left
// out, and the hand-over is then marked as incomplete.
func handOverFromProto(r *peerv1.HandOverRequest) claims.HandOver {
	h := claims.HandOver{
		From:     claims.Coordinator{Entry: r.GetFrom(), Incarnation: r.GetIncarnation()},
		Complete: r.GetComplete(),
	}
	for _, claim := range r.GetClaims() {
		row, err := claimFromProto(claim)
		if err != nil {
			h.Complete = false
			continue
		}
		h.Rows = append(h.Rows, row)
	}
	return h
}

func claimToProto(row claims.Row) *peerv1.ClaimRow {
	return &peerv1.ClaimRow{
		Key:         row.Key.String(),
		Fingerprint: row.Fingerprint.String(),
		Verdict:     row.Outcome.Verdict.String(),
		Reason:      string(row.Outcome.Reason),
		Status:      int32(row.Outcome.Status),
		Header:      headerToProto(row.Outcome.Header),
		Body:        row.Outcome.Body,
		Omitted:     row.Outcome.Omitted,
		Finished:    row.Finished,
	}
}

// claimFromProto converts one claim; an unknown verdict becomes MayHaveRun.
func claimFromProto(r *peerv1.ClaimRow) (claims.Row, error) {
	key, err := claims.ParseKey(r.GetKey())
	if err != nil {
		return claims.Row{}, err
	}
	fp, err := fingerprint.Parse(r.GetFingerprint())
	if err != nil {
		return claims.Row{}, err
	}
	v, err := verdict.Parse(r.GetVerdict())
	if err != nil {
		v = verdict.MayHaveRun
	}
	return claims.Row{
		Key:         key,
		Fingerprint: fp,
		Outcome: claims.Outcome{
			Verdict: v,
			Reason:  verdict.Reason(r.GetReason()),
			Status:  int(r.GetStatus()),
			Header:  headerFromProto(r.GetHeader()),
			Body:    r.GetBody(),
			Omitted: r.GetOmitted(),
		},
		Finished: r.GetFinished(),
	}, nil
}
