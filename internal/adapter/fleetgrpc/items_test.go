package fleetgrpc

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// itemCounter counts the items that were left out, by kind.
type itemCounter map[string]int

func (c itemCounter) RecordItemDropped(kind string) { c[kind]++ }

// recordingService records the exchanges that it gets and answers with a reply.
type recordingService struct {
	port.ControllerService
	got   port.ExchangeRequest
	reply port.ExchangeReply
}

func (s *recordingService) Exchange(_ context.Context, m port.ExchangeRequest) (port.ExchangeReply, error) {
	s.got = m
	return s.reply, nil
}

// connect returns a client of a server for the service, both with an ItemFilter.
func connect(t *testing.T, s port.ControllerService, logs *bytes.Buffer, dropped itemCounter) *Client {
	is := is.New(t)
	filter := NewItemFilter(slog.New(slog.NewTextHandler(logs, nil)), dropped)
	server := NewServer(s, port.ClockFunc(time.Now), filter.ServerOption())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client, err := NewClient(listener.Addr().String(), nil, port.ClockFunc(time.Now), filter.ClientOption())
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// TestUnencodableItemLeftOut guards against a message that is never sent because one of
// its items has a text that isn't UTF-8, in a request or in an answer. The item is
// counted each time and logged once.
func TestUnencodableItemLeftOut(t *testing.T) {
	is := is.New(t)
	bad, good := registry.Endpoint{ID: "b\xfcro-1", Service: "s"}, registry.Endpoint{ID: "büro-1", Service: "s"}
	service := &recordingService{reply: port.ExchangeReply{
		From: port.Controller{Address: "10.0.0.1:1"}, Grants: []string{"north"}, Endpoints: []registry.Endpoint{bad, good},
	}}
	var logs bytes.Buffer
	dropped := itemCounter{}
	client := connect(t, service, &logs, dropped)
	for range 3 {
		reply, err := client.Exchange(t.Context(), port.ExchangeRequest{
			From: port.Controller{Address: "10.0.0.2:1"}, VoteRequests: []string{"north"}, Endpoints: []registry.Endpoint{good, bad, good},
		})
		is.NoErr(err)
		is.Equal(len(service.got.Endpoints), 2)
		is.Equal(service.got.Endpoints[1].ID, good.ID)
		is.Equal(service.got.VoteRequests, []string{"north"})
		is.Equal(len(reply.Endpoints), 1)
		is.Equal(reply.Grants, []string{"north"})
	}
	is.Equal(dropped["Endpoint"], 6)
	is.Equal(strings.Count(logs.String(), "item-dropped"), 1)
}

// TestEpochStaysWhole guards against an epoch that loses a voter because its address
// can't be encoded: it would be another epoch.
func TestEpochStaysWhole(t *testing.T) {
	is := is.New(t)
	var logs bytes.Buffer
	client := connect(t, &recordingService{}, &logs, itemCounter{})
	epoch := quorum.Epoch{Number: 1, Voters: []quorum.Voter{{ID: "a", Address: "x"}, {ID: "b\xff", Address: "y"}}}
	err := client.Learn(t.Context(), epoch, quorum.Accepted{})
	is.True(errors.Is(err, port.ErrRejected))
}

// TestRejectedMessage guards against a message that its receiver can't handle and that
// counts as a lost connection: it is too large, or its handler fails.
func TestRejectedMessage(t *testing.T) {
	is := is.New(t)
	server := grpc.NewServer(grpc.MaxRecvMsgSize(100))
	fleetv1.RegisterFleetServiceServer(server, &Server{service: &recordingService{}, clock: port.ClockFunc(time.Now)})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client, err := NewClient(listener.Addr().String(), nil, port.ClockFunc(time.Now))
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	_, err = client.Exchange(t.Context(), port.ExchangeRequest{Endpoints: make([]registry.Endpoint, 50)})
	is.True(errors.Is(err, port.ErrRejected))
	_, err = client.Exchange(t.Context(), port.ExchangeRequest{})
	is.NoErr(err)
}

// TestCheckedEndpointSurvives guards against an announcement that is accepted and can't
// be passed on, or is another one when it arrives.
func TestCheckedEndpointSurvives(t *testing.T) {
	c := codec{time.Unix(1_800_000_000, 0)}
	text := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }))
	rapid.Check(t, func(t *rapid.T) {
		e := registry.Endpoint{
			ID: text.Draw(t, "id"), Address: text.Draw(t, "address"), Service: text.Draw(t, "service"), Zone: text.Draw(t, "zone"),
			Slots: rapid.IntRange(1, 1<<16).Draw(t, "slots"), StartedMillis: rapid.Int64().Draw(t, "started"),
			Sequence: rapid.Int64().Draw(t, "sequence"), Leaving: rapid.Bool().Draw(t, "leaving"), LastSeen: c.now,
		}
		encoded, err := proto.Marshal(c.endpointToProto(e))
		if e.Check() != nil {
			return
		}
		if err != nil || !utf8.ValidString(e.ID) {
			t.Fatalf("%+v was accepted and can't be encoded: %v", e, err)
		}
		var m fleetv1.Endpoint
		if err := proto.Unmarshal(encoded, &m); err != nil {
			t.Fatal(err)
		}
		if got := c.endpointFromProto(&m); got != e {
			t.Fatalf("sent %+v, received %+v", e, got)
		}
	})
}

// TestNamesSurvive guards against a configuration that is another one after it has been
// sent to another controller, stored and read back, because of a name at the edges of what
// is allowed.
func TestNamesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"\ufffd", "\u2028<&>", "\x00\x1f\x7f", "😀\U0010ffff", "\u200d\ufeff"}))
		change := fleet.Change{
			Base: rapid.Uint64().Draw(t, "base"), Source: rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "source"),
			Config: fleet.Config{
				Version: rapid.Uint64().Draw(t, "version"), Services: []fleet.Service{{Name: name.Draw(t, "service")}},
				Routes: []fleet.Route{{
					Name: name.Draw(t, "route"), Host: "h", Prefix: "/", Timeout: time.Second, Attempts: 1,
					Parts: []fleet.Part{{Service: name.Draw(t, "part"), Weight: rapid.Float64Range(0, 1e9).Draw(t, "weight")}},
				}},
			},
		}
		m, err := orderToProto(fleet.Order{Change: &change})
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		var received fleetv1.OrderRequest
		if err := proto.Unmarshal(encoded, &received); err != nil {
			t.Fatal(err)
		}
		got, err := orderFromProto(&received)
		if err != nil || !reflect.DeepEqual(*got.Change, change) {
			t.Fatalf("sent %+v, received %+v, %v", change, got.Change, err)
		}
		stored, err := (&fleet.State{Config: change.Config, Source: change.Source}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		state, err := fleet.Decode(stored)
		if err != nil || !reflect.DeepEqual(state.Config, change.Config) || !bytes.Equal(state.Source, change.Source) {
			t.Fatalf("stored %+v, read %+v, %v", change, state, err)
		}
	})
}
