package peergrpc

import (
	"context"
	"fmt"
	"net"

	registerv1 "sassafrasreach/api/register/v1"
	"sassafrasreach/internal/port"
)

// ControlClient fetches the document from control VMs. It implements
// port.ControlClient.
type ControlClient struct {
	conns *conns
	clock port.Clock
}

var _ port.ControlClient = (*ControlClient)(nil)

// NewControlClient returns a client without open connections. It dials from the
// IP address local; if that is nil, the operating system chooses the address.
func NewControlClient(clock port.Clock, local net.IP) *ControlClient {
	return &ControlClient{conns: newConns(clock, local), clock: clock}
}

// Fetch requests a document newer than q.CurrentVersion from one control VM, and
// sends it the reports of entry VMs in q.
func (c *ControlClient) Fetch(ctx context.Context, address string, q port.FetchQuery) (port.FetchAnswer, error) {
	conn, err := c.conns.get(ctx, address, requireAny)
	if err != nil {
		return port.FetchAnswer{}, fmt.Errorf("control VM %s: %w", address, err)
	}
	defer conn.release()
	response, err := registerv1.NewConfigServiceClient(conn.cc).Fetch(ctx, fetchToProto(q))
	if err != nil {
		c.conns.dropOnFailure(address, conn, err)
		return port.FetchAnswer{}, fmt.Errorf("control VM %s: %w", address, err)
	}
	conn.recordSuccess(c.clock.Now())
	return port.FetchAnswer{
		Config: port.Config{
			Version:  response.GetVersion(),
			Digest:   response.GetDigest(),
			Document: response.GetDocument(),
		},
		Quorum:            response.GetQuorum(),
		LiftedQuarantines: response.GetLiftedQuarantines(),
	}, nil
}

func fetchToProto(q port.FetchQuery) *registerv1.FetchRequest {
	entries := make([]*registerv1.EntryReport, len(q.Entries))
	for i, report := range q.Entries {
		entries[i] = &registerv1.EntryReport{
			Name:        report.Name,
			Place:       report.Place,
			Incarnation: report.Incarnation,
			Version:     report.Version,
			Quarantined: report.Quarantined,
		}
	}
	return &registerv1.FetchRequest{HaveVersion: q.CurrentVersion, Entries: entries}
}
