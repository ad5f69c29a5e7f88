package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	registerv1 "sassafrasreach/api/register/v1"
	"sassafrasreach/internal/adapter/peergrpc"
	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/app/control"
	"sassafrasreach/internal/port"
)

const (
	// fetchers is the number of concurrent clients.
	fetchers = 16
	// pollsEach and documentsEach are the numbers of fetches per client, without
	// and with a document in the answer.
	pollsEach     = 1000
	documentsEach = 30
	// voteLimit bounds the time to accept the first document, for which the single
	// member needs only its own vote.
	voteLimit = 5 * time.Second
)

// fetchCase is one kind of fetch: with the size of the document and the number
// of entry reports in the request.
type fetchCase struct {
	documentKB, reports int
	// needsDocument reports whether the client lacks the document, so that the
	// answer contains it.
	needsDocument bool
}

func fetchCases() []fetchCase {
	cases := []fetchCase{{1, 1, false}, {1, 16, false}, {1, 63, false}}
	for _, kb := range []int{1, 100, 500, 1800} {
		cases = append(cases, fetchCase{kb, 1, true})
	}
	return cases
}

// fetchCost is the cost of one fetch. in and out are the bytes of the request
// and of the answer.
type fetchCost struct {
	fetchCase
	in, out int
	// handler is the processor time of making and encoding the answer; total is
	// that of the member and the client together, over gRPC on loopback.
	handler, total time.Duration
}

func (c fetchCost) row() string {
	return fmt.Sprintf("| %t | %d | %d | %d | %d | %.1f | %.1f |", c.needsDocument, c.documentKB, c.reports, c.in, c.out,
		float64(c.handler.Nanoseconds())/1e3, float64(c.total.Nanoseconds())/1e3)
}

// printFetches measures all cases, each with its own control member, and prints
// them with their slopes.
func printFetches(w io.Writer) error {
	_, _ = fmt.Fprintln(w, "| needs the document | document KB | reports | bytes in | bytes out | handler µs | member and client µs |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	var polls, documents []fetchCost
	for _, c := range fetchCases() {
		cost, err := measureFetch(c)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(w, cost.row())
		if c.needsDocument {
			documents = append(documents, cost)
		} else {
			polls = append(polls, cost)
		}
	}
	byReports := func(c fetchCost) float64 { return float64(c.reports) }
	byKB := func(c fetchCost) float64 { return float64(c.documentKB) }
	if err := printFetchSlope(w, "report in a poll", polls, byReports); err != nil {
		return err
	}
	return printFetchSlope(w, "KB of document that is fetched", documents, byKB)
}

func printFetchSlope(w io.Writer, what string, costs []fetchCost, axis func(fetchCost) float64) error {
	var xs, handler, total []float64
	for _, c := range costs {
		xs = append(xs, axis(c))
		handler = append(handler, float64(c.handler.Nanoseconds())/1e3)
		total = append(total, float64(c.total.Nanoseconds())/1e3)
	}
	own, err := leastSquares(xs, handler)
	if err != nil {
		return err
	}
	all, err := leastSquares(xs, total)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "- slope per %s: handler %.2f µs, member and client %.2f µs\n", what, own, all)
	return err
}

// measureFetch starts a member with a document and fetches from it.
func measureFetch(c fetchCase) (fetchCost, error) {
	member, err := startMember(c.documentKB * kilobyte)
	if err != nil {
		return fetchCost{}, err
	}
	defer member.stop()
	query := port.FetchQuery{CurrentVersion: 1}
	each := pollsEach
	if c.needsDocument {
		query.CurrentVersion, each = 0, documentsEach
	}
	request := &registerv1.FetchRequest{HaveVersion: query.CurrentVersion}
	for n := range c.reports {
		r := port.EntryReport{Name: fmt.Sprintf("place-00-e%02d", n), Place: placeName(0), Incarnation: 1_800_000_000_000, Version: 1234}
		query.Entries = append(query.Entries, r)
		request.Entries = append(request.Entries, &registerv1.EntryReport{
			Name: r.Name, Place: r.Place, Incarnation: r.Incarnation, Version: r.Version,
		})
	}
	cost := fetchCost{fetchCase: c, in: proto.Size(request)}
	if cost.handler, cost.out, err = member.handle(request, each); err != nil {
		return fetchCost{}, err
	}
	cost.total, err = member.fetch(query, each)
	return cost, err
}

// member is the only member of a control group, on loopback, with one document.
type member struct {
	server  *registergrpc.Server
	address string
	stop    func()
}

func startMember(documentBytes int) (*member, error) {
	dir, err := os.MkdirTemp("", "controlcost")
	if err != nil {
		return nil, err
	}
	clock := port.ClockFunc(time.Now)
	node, err := control.New(control.Config{
		Name: "control-1", Incarnation: 1, Peers: []control.Peer{{Name: "control-1", Address: "127.0.0.1:1"}},
		DataDir: dir, Validate: func([]byte) error { return nil }, Clock: clock, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // on loopback, at once
	if err != nil {
		return nil, err
	}
	server := grpc.NewServer(registergrpc.ServerOptions()...)
	node.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = server.Serve(listener) })
	loops.Go(func() { _ = node.Run(ctx) })
	m := &member{server: registergrpc.NewServer(node, 0), address: listener.Addr().String()}
	m.stop = func() {
		server.Stop()
		cancel()
		loops.Wait()
		_ = os.RemoveAll(dir)
	}
	if err := submit(ctx, node, documentBytes); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

func submit(ctx context.Context, node *control.Node, documentBytes int) error {
	ctx, cancel := context.WithTimeout(ctx, voteLimit)
	defer cancel()
	text := bytes.Repeat([]byte("x"), documentBytes)
	out, err := node.Submit(ctx, port.Change{ID: "first", Operator: "measure", Document: text})
	if err == nil && out.State != port.ChangeAccepted {
		err = fmt.Errorf("the first document was not accepted: its state is %s", out.State)
	}
	return err
}

// handle calls the server's handler without a network. It returns the processor
// time of making and encoding one answer, and the answer's size in bytes.
func (m *member) handle(request *registerv1.FetchRequest, each int) (time.Duration, int, error) {
	var encoded []byte
	n := each * fetchers
	begin := processorTime()
	for range n {
		response, err := m.server.Fetch(context.Background(), request)
		if err != nil {
			return 0, 0, err
		}
		encoded, err = proto.MarshalOptions{}.MarshalAppend(encoded[:0], response)
		if err != nil {
			return 0, 0, err
		}
	}
	return (processorTime() - begin) / time.Duration(n), len(encoded), nil
}

// fetch lets all clients fetch concurrently, each over its own connection, and
// returns the processor time of one fetch at client and member together.
func (m *member) fetch(query port.FetchQuery, each int) (time.Duration, error) {
	clients := make([]*peergrpc.ControlClient, fetchers)
	for i := range clients {
		clients[i] = peergrpc.NewControlClient(port.ClockFunc(time.Now), nil)
		if _, err := clients[i].Fetch(context.Background(), m.address, query); err != nil {
			return 0, err
		}
	}
	failed := make([]error, fetchers)
	begin := processorTime()
	var calls sync.WaitGroup
	for i, client := range clients {
		calls.Go(func() {
			for n := 0; n < each && failed[i] == nil; n++ {
				_, failed[i] = client.Fetch(context.Background(), m.address, query)
			}
		})
	}
	calls.Wait()
	spent := processorTime() - begin
	for _, err := range failed {
		if err != nil {
			return 0, err
		}
	}
	return spent / time.Duration(each*fetchers), nil
}
